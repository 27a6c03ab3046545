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

/**
 * Reads the platform's store for instances that the store does not serve.
 *
 * <p>A relayed call is the store's own call. It is made at the store after it arrived here, and its answer is returned
 * as it came, so an answer is as fresh as one of the store. Only calls that read are relayed. Calls are refused at once
 * while the store does not serve this instance either, so that an outage of the store costs no further calls there, and
 * beyond {@link #MOST_CALLS} under way. Relayed calls have connections of their own, so they hold up no call of this
 * instance. A call is never passed on to a third instance. Confined to the event loop, except for the start.
 */
final class StoreRelay {

    /** Relayed calls under way at once; with rendezvous hashing two or three are usual if a third is not served. */
    static final int MOST_CALLS = 16;
    /** Time for one call. It exceeds what {@link PlatformView} waits for a watch or a page. */
    static final long CALL_MILLIS = 1_250;

    private static final int MAX_REQUEST_BYTES = 16 * 1024;
    private static final long IDLE_SECONDS = 30;

    private final Context context;
    private final HttpCaller caller;
    private final BooleanSupplier served;
    private int underWay;
    private long relayed;

    /**
     * Makes a relay.
     *
     * @param caller makes the calls to the store and is used for nothing else
     * @param served returns whether the store serves this instance
     */
    StoreRelay(Context context, HttpCaller caller, BooleanSupplier served) {
        this.context = context;
        this.caller = caller;
        this.served = served;
    }

    /** Starts to take calls on the address. */
    void start(EventLoopGroup group, InetSocketAddress address) {
        FrontServer.bind(group, address, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(
                                new ReadTimeoutHandler(IDLE_SECONDS, TimeUnit.SECONDS),
                                new HttpServerCodec(),
                                new HttpObjectAggregator(MAX_REQUEST_BYTES),
                                new Handler());
            }
        });
    }

    /** Returns how many calls were made for other instances. */
    long relayed() {
        return relayed;
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private boolean busy;

        @Override
        protected void channelRead0(ChannelHandlerContext channel, FullHttpRequest request) {
            if (busy) {
                // Peers send one call at a time; answers of several could change places.
                channel.close();
                return;
            }
            busy = true;
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            String uri = request.uri();
            if (!request.method().equals(HttpMethod.GET) || !context.adapter().readsStore(uri)) {
                answer(channel, keepAlive, HttpResponseStatus.NOT_FOUND, "");
            } else if (underWay >= MOST_CALLS || !served.getAsBoolean()) {
                answer(channel, keepAlive, HttpResponseStatus.SERVICE_UNAVAILABLE, "");
            } else {
                underWay++;
                relayed++;
                caller.call(context.settings().storeAddress(), HttpMethod.GET, uri, null, CALL_MILLIS, answer -> {
                    underWay--;
                    HttpResponseStatus status = answer.received()
                            ? HttpResponseStatus.valueOf(answer.status())
                            : HttpResponseStatus.GATEWAY_TIMEOUT;
                    answer(channel, keepAlive, status, answer.received() ? answer.body() : "");
                });
            }
        }

        private void answer(ChannelHandlerContext channel, boolean keepAlive, HttpResponseStatus status, String text) {
            busy = false;
            byte[] body = text.getBytes(StandardCharsets.UTF_8);
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
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
