package org.jackdawslip.internal.gateway;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import org.jackdawslip.JackdawslipException;

/**
 * Forwards read calls to the platform's store for instances that the store does not serve, and accepts the watches
 * of the {@link ViewFeed}.
 *
 * <p>A call is sent to the store unchanged after it arrived here, and the response of the store is returned
 * unchanged, with the era that it states, so a relayed response is as current as a direct one. Only read calls are
 * relayed. Calls are refused with status 503 at once while the store does not serve this instance either, so that an
 * outage of the store causes no further calls to it, and while {@link #MAX_CALLS_IN_FLIGHT} calls are in flight.
 * Relayed calls use separate connections, so they delay no call of this instance. A call is never forwarded
 * to a third instance. Confined to the event loop, except for {@link #start}.
 */
final class StoreRelay {

    /**
     * Limit of calls in flight. With rendezvous hashing two or three are usual if the store does not serve a
     * third of the fleet.
     */
    static final int MAX_CALLS_IN_FLIGHT = 16;
    /** Timeout of one call to the store. Longer than {@link PlatformView} waits for a watch or a page. */
    static final long CALL_TIMEOUT_MILLIS = 1_250;

    private static final int MAX_REQUEST_BYTES = 16 * 1024;
    private static final long IDLE_TIMEOUT_SECONDS = 30;

    private final GatewayContext context;
    private final InternalHttpClient storeClient;
    private final ViewFeed feed;
    private final BooleanSupplier storeServesInstance;
    private final ValueCompressor compressor = new ValueCompressor();
    private int openConnections;
    private int callsInFlight;
    private long relayedCalls;

    /**
     * Creates a relay.
     *
     * @param storeClient sends the calls to the store and is used for nothing else
     * @param feed the changes of the view of this instance
     * @param storeServesInstance returns whether the store serves this instance
     */
    StoreRelay(
            GatewayContext context,
            InternalHttpClient storeClient,
            ViewFeed feed,
            BooleanSupplier storeServesInstance) {
        this.context = context;
        this.storeClient = storeClient;
        this.feed = feed;
        this.storeServesInstance = storeServesInstance;
    }

    /**
     * Starts to accept calls on the address.
     *
     * @param maxConnections limit of open connections; further ones are closed at once
     */
    void start(EventLoopGroup group, InetSocketAddress address, int maxConnections) {
        CallerServer.bind(group, address, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                if (openConnections >= maxConnections) {
                    channel.close();
                    return;
                }
                openConnections++;
                channel.closeFuture().addListener(closed -> openConnections--);
                channel.pipeline()
                        .addLast(
                                new ReadTimeoutHandler(IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS),
                                new HttpServerCodec(),
                                new HttpObjectAggregator(MAX_REQUEST_BYTES),
                                new Handler());
            }
        });
    }

    /** Returns the number of calls sent to the store for other instances. */
    long relayedCalls() {
        return relayedCalls;
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final String eraHeader = context.adapter().headers().storeEra();
        private boolean callPending;

        @Override
        protected void channelRead0(ChannelHandlerContext channel, FullHttpRequest request) {
            if (callPending) {
                // Peers send one call at a time on a connection. Responses to pipelined calls could be out of
                // order.
                channel.close();
                return;
            }
            callPending = true;
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            String uri = request.uri();
            if (!request.method().equals(HttpMethod.GET)) {
                respond(channel, keepAlive, HttpResponseStatus.NOT_FOUND, "");
            } else if (ViewFeedClient.isFeedCall(uri)) {
                watchFeed(channel, keepAlive, uri);
            } else if (!context.adapter().isStoreRead(uri)) {
                respond(channel, keepAlive, HttpResponseStatus.NOT_FOUND, "");
            } else if (callsInFlight >= MAX_CALLS_IN_FLIGHT || !storeServesInstance.getAsBoolean()) {
                respond(channel, keepAlive, HttpResponseStatus.SERVICE_UNAVAILABLE, "");
            } else {
                callsInFlight++;
                relayedCalls++;
                storeClient.call(
                        context.settings().storeAddress(), HttpMethod.GET, uri, null, CALL_TIMEOUT_MILLIS, response -> {
                            callsInFlight--;
                            HttpResponseStatus status = response.received()
                                    ? HttpResponseStatus.valueOf(response.status())
                                    : HttpResponseStatus.GATEWAY_TIMEOUT;
                            byte[] body = response.received() ? response.content() : new byte[0];
                            respond(
                                    channel,
                                    keepAlive,
                                    status,
                                    response.headers().get(eraHeader),
                                    body);
                        });
            }
        }

        private void watchFeed(ChannelHandlerContext channel, boolean keepAlive, String uri) {
            try {
                ViewFeedClient.dispatch(feed, uri, result -> {
                    boolean done = result.status() == DurableStore.Status.DONE;
                    respond(
                            channel,
                            keepAlive,
                            done ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                            done ? ViewChangesCodec.encode(result, compressor) : new byte[0]);
                });
            } catch (IllegalArgumentException | JackdawslipException e) {
                respond(channel, keepAlive, HttpResponseStatus.BAD_REQUEST, e.getMessage());
            }
        }

        private void respond(ChannelHandlerContext channel, boolean keepAlive, HttpResponseStatus status, String text) {
            respond(channel, keepAlive, status, text.getBytes(StandardCharsets.UTF_8));
        }

        private void respond(ChannelHandlerContext channel, boolean keepAlive, HttpResponseStatus status, byte[] body) {
            respond(channel, keepAlive, status, null, body);
        }

        private void respond(
                ChannelHandlerContext channel, boolean keepAlive, HttpResponseStatus status, String era, byte[] body) {
            callPending = false;
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
            if (era != null) {
                response.headers().set(eraHeader, era);
            }
            HttpUtil.setKeepAlive(response, keepAlive);
            channel.writeAndFlush(response)
                    .addListener(keepAlive ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext channel, Throwable cause) {
            channel.close();
        }
    }
}
