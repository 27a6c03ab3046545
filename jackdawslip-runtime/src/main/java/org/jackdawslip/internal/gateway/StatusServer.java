package org.jackdawslip.internal.gateway;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Function;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.jackdawslip.internal.limits.ClientLimits;
import org.jackdawslip.internal.limits.ConnectionBudget;

/**
 * Serves pages such as readiness and metrics. A connection has one request at a time, of which only the header fields
 * are kept that the codec needs, and a body is not kept. Confined to the event loop, except for {@link #start}.
 */
final class StatusServer {

    private static final int MAX_HEADER_BYTES = 8 * 1024;
    /** Longest body that is discarded; the connection closes at a longer one. */
    private static final int MAX_BODY_BYTES = 16 * 1024;
    /** Time from the first byte of a request until its response was read by the client. */
    private static final long MAX_EXCHANGE_MILLIS = 5_000;
    /** Time for which a connection may stay open without a request. Load balancers check every few seconds. */
    private static final long MAX_IDLE_MILLIS = 60_000;

    private static final long DEADLINE_CHECK_INTERVAL_MILLIS = 500;
    /** Header fields that are kept. */
    private static final Set<String> USED_FIELDS = Set.of("connection", "content-length", "transfer-encoding");
    /** Number of kept fields; a request with more of them is not an ordinary one. */
    private static final int MAX_USED_FIELDS = 8;

    /**
     * A response. Immutable and thread-safe.
     *
     * @param status the HTTP status
     * @param text the body
     */
    record Page(int status, String text) {}

    private final GatewayContext context;
    private final String name;
    private final Function<String, Page> pages;
    private final ConnectionBudget budget;
    private final Set<Connection> connections = new HashSet<>();

    /**
     * Creates a server.
     *
     * @param name name of the server in metrics and log events
     * @param pages returns the page for the path and query of a request; called on the event loop
     */
    StatusServer(GatewayContext context, String name, ClientLimits limits, Function<String, Page> pages) {
        this.context = context;
        this.name = name;
        this.pages = pages;
        budget = new ConnectionBudget(limits.statusConnections());
    }

    /** Binds an address and serves status pages. */
    void start(EventLoopGroup loop, InetSocketAddress address, GatewayMetrics metrics) {
        metrics.registerGauge(name + ".connections", budget::open);
        metrics.registerGauge(name + ".connections.limit", budget::limit);
        metrics.registerGauge(name + ".connections.replaced", budget::replaced);
        context.every(DEADLINE_CHECK_INTERVAL_MILLIS, name + "-deadlines", this::checkDeadlines);
        CallerServer.bind(loop, address, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                Connection connection = new Connection(channel);
                if (!budget.tryOpen(connection)) {
                    channel.close();
                    return;
                }
                connections.add(connection);
                channel.closeFuture().addListener(closed -> {
                    connections.remove(connection);
                    budget.close(connection);
                });
                HttpDecoderConfig decoder = new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_HEADER_BYTES)
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setHeadersFactory(new ClientHttpCodec.HeadersFactory(UsedHeaders::new));
                connection.codec = new ClientHttpCodec(decoder, connection);
                channel.pipeline()
                        .addLast(new ClientReadGate(connection::onBytesReceived), connection.codec, connection);
            }
        });
    }

    private void checkDeadlines() {
        long now = context.clock().millis();
        List.copyOf(connections).forEach(connection -> connection.checkDeadline(now));
    }

    /** One connection. Confined to the event loop. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject>
            implements ClientHttpCodec.Gate, ConnectionBudget.Connection {
        private final Channel channel;
        private final Object address;
        private ClientHttpCodec codec;
        private boolean responsePending;
        private boolean bodyAwaited;
        private boolean closing;
        private boolean requestCompleted;
        private long bodyBytes;
        private long lastActiveAt = context.clock().millis();
        /** Time of the first byte of the request that is open, or 0. */
        private long exchangeStartedAt;

        Connection(Channel channel) {
            this.channel = channel;
            address = CallerServer.addressOf(channel);
        }

        private void onBytesReceived(int bytes) {
            if (exchangeStartedAt == 0) {
                exchangeStartedAt = context.clock().millis();
            }
        }

        private void checkDeadline(long now) {
            long startedAt = exchangeStartedAt == 0 ? now : exchangeStartedAt;
            if (now - startedAt > MAX_EXCHANGE_MILLIS || now - lastActiveAt > MAX_IDLE_MILLIS) {
                channel.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ignored, HttpObject message) {
            if (message.decoderResult().isFailure()) {
                respond(new Page(HttpResponseStatus.BAD_REQUEST.code(), ""), false);
                return;
            }
            if (message instanceof HttpRequest request) {
                bodyAwaited = true;
                bodyBytes = 0;
                respond(pages.apply(request.uri()), HttpUtil.isKeepAlive(request));
            }
            if (message instanceof HttpContent content) {
                bodyBytes += content.content().readableBytes();
                bodyAwaited = !(message instanceof LastHttpContent);
                if (bodyBytes > MAX_BODY_BYTES) {
                    channel.close();
                }
                endExchangeIfDone();
            }
        }

        private void respond(Page page, boolean keepAlive) {
            byte[] body = page.text().getBytes(StandardCharsets.UTF_8);
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(page.status()), Unpooled.wrappedBuffer(body));
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4");
            HttpUtil.setKeepAlive(response, keepAlive);
            responsePending = true;
            closing = !keepAlive;
            channel.writeAndFlush(response).addListener(written -> {
                responsePending = false;
                requestCompleted = true;
                if (!written.isSuccess() || closing) {
                    channel.close();
                    return;
                }
                endExchangeIfDone();
                channel.config().setAutoRead(true);
                codec.resume();
            });
        }

        private void endExchangeIfDone() {
            if (!responsePending && !bodyAwaited) {
                exchangeStartedAt = 0;
                lastActiveAt = context.clock().millis();
            }
        }

        @Override
        public boolean acceptsRequest() {
            return !responsePending;
        }

        @Override
        public void onDeclined() {
            channel.config().setAutoRead(false);
        }

        @Override
        public boolean discardsInput() {
            return closing;
        }

        @Override
        public ConnectionBudget.Activity activity() {
            if (closing) {
                return ConnectionBudget.Activity.ENDING;
            }
            boolean idle = requestCompleted && exchangeStartedAt == 0;
            return idle ? ConnectionBudget.Activity.IDLE : ConnectionBudget.Activity.UNPROVEN;
        }

        @Override
        public long waitingMillis() {
            return context.clock().millis() - (exchangeStartedAt == 0 ? lastActiveAt : exchangeStartedAt);
        }

        @Override
        public Object address() {
            return address;
        }

        @Override
        public void closeForAnother() {
            channel.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
            channel.close();
            if (cause instanceof Error) {
                context.logFailure(name + "-connection", cause);
            }
        }
    }

    /** The header fields that the codec needs. Not thread-safe. */
    private static final class UsedHeaders extends DefaultHttpHeaders {

        @Override
        public HttpHeaders add(String field, Object value) {
            return isUsed(field) ? super.add(field, value) : this;
        }

        @Override
        public HttpHeaders add(CharSequence field, Object value) {
            return isUsed(field.toString()) ? super.add(field, value) : this;
        }

        private boolean isUsed(String field) {
            return size() < MAX_USED_FIELDS && USED_FIELDS.contains(field.toLowerCase(Locale.ROOT));
        }
    }
}
