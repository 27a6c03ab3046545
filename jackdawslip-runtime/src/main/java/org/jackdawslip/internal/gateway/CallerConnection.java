package org.jackdawslip.internal.gateway;

import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.timeout.IdleStateEvent;

/**
 * The connection of one caller. Requests that arrive on it run at the same time, and answers are sent in the order of
 * the requests.
 *
 * <p>Invariant: every request that was read is answered before the connection is closed, unless the caller closes it.
 * Confined to the event loop.
 */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

    /** Unanswered requests on one connection; no more are read until one is answered. */
    private static final int MAX_PIPELINED = 32;

    private final Services services;
    private final FrontServer server;
    private final Deque<Entry> entries = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private boolean closing;
    private long lastReadAt;

    CallerConnection(Services services, FrontServer server) {
        this.services = services;
        this.server = server;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext newContext) {
        context = newContext;
        lastReadAt = services.clock().millis();
        server.opened(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ignored, FullHttpRequest message) {
        if (closing) {
            return;
        }
        lastReadAt = services.clock().millis();
        if (message.decoderResult().isFailure()) {
            Entry entry = new Entry(false, message.method());
            entries.addLast(entry);
            int status = statusOf(message.decoderResult().cause());
            entry.answer(status, new io.netty.handler.codec.http.DefaultHttpHeaders(), new byte[0]);
            return;
        }
        CallerRequestData data = new CallerRequestData(
                message.method(),
                message.uri(),
                message.headers(),
                ByteBufUtil.getBytes(message.content()),
                lastReadAt);
        Entry entry = new Entry(HttpUtil.isKeepAlive(message), message.method());
        entries.addLast(entry);
        if (entries.size() >= MAX_PIPELINED) {
            context.channel().config().setAutoRead(false);
        }
        entry.run = new RequestRun(services, data, entry);
        entry.run.start();
    }

    private static int statusOf(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE.code();
        }
        if (cause instanceof TooLongFrameException) {
            return HttpResponseStatus.REQUEST_URI_TOO_LONG.code();
        }
        return HttpResponseStatus.BAD_REQUEST.code();
    }

    /** Writes the answers at the head of the queue that are ready. */
    private void flush() {
        boolean written = false;
        while (!closing && !entries.isEmpty() && entries.peekFirst().response != null) {
            Entry entry = entries.pollFirst();
            boolean last = !entry.keepAlive || server.stopping() && entries.isEmpty();
            if (last) {
                entry.response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                closing = true;
                context.writeAndFlush(entry.response).addListener(ChannelFutureListener.CLOSE);
                leaveOthers();
                return;
            }
            context.write(entry.response, context.voidPromise());
            written = true;
        }
        if (written) {
            context.flush();
            if (entries.size() < MAX_PIPELINED && !server.finishing()) {
                context.channel().config().setAutoRead(true);
            }
        }
    }

    private void leaveOthers() {
        entries.forEach(entry -> {
            if (entry.run != null) {
                entry.run.callerLeft();
            }
        });
        entries.clear();
    }

    /** Reads no further requests and closes the connection once those that were read are answered. */
    void finish() {
        if (entries.isEmpty()) {
            closing = true;
            context.close();
        } else {
            context.channel().config().setAutoRead(false);
        }
    }

    boolean busy() {
        return !entries.isEmpty();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ignored, Object event) {
        // The event comes after the limit of the version at the time when the connection was opened.
        long idleMillis = services.clock().millis() - lastReadAt;
        if (event instanceof IdleStateEvent
                && entries.isEmpty()
                && idleMillis >= services.routing().limits().idleTimeoutMillis()) {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        closing = true;
        server.closed(this);
        leaveOthers();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
        context.close();
    }

    /** One request and its place in the order of answers. */
    private final class Entry implements Reply {
        private final boolean keepAlive;
        private final boolean head;
        private RequestRun run;
        private FullHttpResponse response;

        Entry(boolean keepAlive, HttpMethod method) {
            this.keepAlive = keepAlive;
            this.head = method.equals(HttpMethod.HEAD);
        }

        @Override
        public void answer(int status, HttpHeaders headers, byte[] body) {
            FullHttpResponse made = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
            made.headers().add(headers);
            if (!head) {
                made.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
            }
            response = made;
            flush();
        }
    }
}
