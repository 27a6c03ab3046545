package org.jackdawslip.internal.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * The connection of one caller. Pipelined requests are processed concurrently, and their responses are
 * written in the order of the requests. Requests behind a response that is being written in parts wait for its end,
 * because the connection closes if that response breaks off.
 *
 * <p>Invariant: this instance closes the connection only after every request that was read has a response and the
 * caller had time to receive it, except after an I/O error. Requests that follow a request with "Connection: close"
 * receive no response. Confined to the event loop.
 */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

    /** Requests without a response on one connection at which the connection stops reading. */
    private static final int MAX_PIPELINED = 32;
    /** Time for the caller to receive the last response and to close the connection. */
    private static final long LINGER_MILLIS = 5_000;

    private final RequestComponents components;
    private final CallerServer server;
    private final Deque<PendingRequest> pendingRequests = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private boolean closing;
    /** Closes the connection if the caller does not; set once the last response was written. */
    private ScheduledFuture<?> lingerTimer;

    private long lastReadAt;

    CallerConnection(RequestComponents components, CallerServer server) {
        this.components = components;
        this.server = server;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext newContext) {
        context = newContext;
        lastReadAt = components.clock().millis();
        server.onConnectionOpened(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ignored, FullHttpRequest message) {
        if (closing) {
            return;
        }
        lastReadAt = components.clock().millis();
        if (message.decoderResult().isFailure()) {
            Throwable cause = message.decoderResult().cause();
            boolean bodySkipped = cause instanceof CallerRequestAggregator.RejectedRequestException;
            PendingRequest rejected = new PendingRequest(bodySkipped && HttpUtil.isKeepAlive(message), message);
            pendingRequests.addLast(rejected);
            rejected.write(decodeErrorStatus(cause), new DefaultHttpHeaders(), new byte[0]);
            return;
        }
        CallerRequest request = new CallerRequest(
                message.method(),
                message.uri(),
                message.headers(),
                ByteBufUtil.getBytes(message.content()),
                lastReadAt);
        PendingRequest pending = new PendingRequest(HttpUtil.isKeepAlive(message), message);
        pendingRequests.addLast(pending);
        if (pendingRequests.size() >= MAX_PIPELINED) {
            context.channel().config().setAutoRead(false);
        }
        pending.forwarder = new RequestForwarder(components, request, pending);
        if (pendingRequests.stream().noneMatch(PendingRequest::isOpen)) {
            pending.start();
        }
    }

    private static int decodeErrorStatus(Throwable cause) {
        if (cause instanceof CallerRequestAggregator.RejectedRequestException rejection) {
            return rejection.status();
        }
        if (cause instanceof TooLongHttpHeaderException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE.code();
        }
        if (cause instanceof TooLongFrameException) {
            return HttpResponseStatus.REQUEST_URI_TOO_LONG.code();
        }
        return HttpResponseStatus.BAD_REQUEST.code();
    }

    /** Writes what is ready of the responses, in the order of the requests. */
    private void writeReadyResponses() {
        boolean written = false;
        while (!pendingRequests.isEmpty() && pendingRequests.peekFirst().hasOutput()) {
            PendingRequest first = pendingRequests.peekFirst();
            if (!first.started) {
                first.started = true;
                if (!first.keepAlive || server.keepAliveDisabled() && pendingRequests.size() == 1) {
                    announceClose(first);
                }
            }
            first.writeOutput();
            written = true;
            if (!first.ended) {
                break;
            }
            pendingRequests.pollFirst();
            if (closing) {
                closeAfterLastResponse();
                return;
            }
            startWaitingRequests();
        }
        if (written) {
            context.flush();
            if (!closing && pendingRequests.size() < MAX_PIPELINED && !server.readingStopped()) {
                context.channel().config().setAutoRead(true);
            }
        }
    }

    /**
     * Ends the output and waits until the caller closes the connection. A close with unread bytes would reset the
     * connection, and the caller would lose what it has not received yet.
     */
    private void closeAfterLastResponse() {
        lingerTimer = context.executor().schedule(() -> context.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        context.channel().config().setAutoRead(true);
        context.writeAndFlush(Unpooled.EMPTY_BUFFER)
                .addListener(written -> ((DuplexChannel) context.channel()).shutdownOutput());
    }

    private void startWaitingRequests() {
        if (pendingRequests.stream().anyMatch(PendingRequest::isOpen)) {
            return;
        }
        for (PendingRequest pending : List.copyOf(pendingRequests)) {
            pending.start();
        }
    }

    /** Makes this response the last one on the connection. */
    private void announceClose(PendingRequest last) {
        last.head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        closing = true;
        pendingRequests.pollFirst();
        abandonPendingRequests();
        pendingRequests.addFirst(last);
    }

    /** Ends the processing of requests whose responses cannot be written any more. */
    private void abandonPendingRequests() {
        List<PendingRequest> abandoned = List.copyOf(pendingRequests);
        pendingRequests.clear();
        abandoned.forEach(PendingRequest::handleDisconnect);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ignored) {
        PendingRequest first = pendingRequests.peekFirst();
        if (first != null && first.started && context.channel().isWritable()) {
            first.onWritable.run();
        }
    }

    /** Stops reading and closes the connection after the response to the last request that was read. */
    void closeGracefully() {
        if (lingerTimer != null) {
            return;
        }
        if (pendingRequests.isEmpty()) {
            closing = true;
            context.close();
        } else {
            context.channel().config().setAutoRead(false);
        }
    }

    /** Answers the requests that have no response yet, whatever their attempts do. */
    void answerOpenRequests() {
        for (PendingRequest pending : List.copyOf(pendingRequests)) {
            if (pending.forwarder != null) {
                pending.forwarder.onInstanceExit();
            }
        }
    }

    /** Returns whether a request has no response yet, or the caller may still receive the last one. */
    boolean isBusy() {
        return !pendingRequests.isEmpty() || lingerTimer != null;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ignored, Object event) {
        // The event handler uses the timeout that was configured when the connection was opened.
        long idleMillis = components.clock().millis() - lastReadAt;
        if (event instanceof IdleStateEvent
                && pendingRequests.isEmpty()
                && idleMillis >= components.routing().callerLimits().idleTimeoutMillis()) {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        closing = true;
        if (lingerTimer != null) {
            lingerTimer.cancel(false);
        }
        server.onConnectionClosed(this);
        abandonPendingRequests();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
        context.close();
    }

    /** One request, its position in the order of the responses, and the output that waits for that position. */
    private final class PendingRequest implements ResponseWriter, ResponseBodyWriter {
        private final boolean keepAlive;
        private final boolean headRequest;
        private final boolean acceptsChunks;
        private final Deque<HttpObject> output = new ArrayDeque<>();
        private HttpResponse head;
        private RequestForwarder forwarder;
        private Runnable onWritable = () -> {};
        private boolean forwarding;
        private boolean started;
        private boolean ended;
        private boolean disconnected;

        PendingRequest(boolean keepAlive, HttpRequest request) {
            this.keepAlive = keepAlive;
            this.headRequest = request.method().equals(HttpMethod.HEAD);
            this.acceptsChunks = request.protocolVersion().isKeepAliveDefault();
        }

        /** Starts to process the request, unless that was done or a response is known already. */
        private void start() {
            if (!forwarding && forwarder != null && head == null && !disconnected) {
                forwarding = true;
                forwarder.start();
            }
        }

        /** Returns whether the response is being written in parts. */
        private boolean isOpen() {
            return head != null && !ended;
        }

        private boolean hasOutput() {
            return !output.isEmpty();
        }

        private void writeOutput() {
            while (!output.isEmpty()) {
                context.write(output.pollFirst(), context.voidPromise());
            }
            if (!ended && isWritable()) {
                onWritable.run();
            }
        }

        private void handleDisconnect() {
            disconnected = true;
            output.forEach(ReferenceCountUtil::release);
            output.clear();
            if (forwarder != null) {
                forwarder.onCallerDisconnect();
            }
        }

        private void add(HttpObject part) {
            if (disconnected) {
                ReferenceCountUtil.release(part);
            } else {
                output.addLast(part);
                writeReadyResponses();
            }
        }

        @Override
        public void write(int status, HttpHeaders headers, byte[] body) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
            response.headers().add(headers);
            if (!headRequest) {
                response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
            }
            head = response;
            ended = true;
            add(response);
        }

        @Override
        public boolean canWriteParts(long contentLength) {
            if (contentLength == UNKNOWN_LENGTH) {
                return acceptsChunks;
            }
            // Requests behind this one may run, and would lose their responses if this one broke off.
            return this == pendingRequests.peekLast() || contentLength > BackendDirectory.MAX_RESPONSE_BYTES;
        }

        @Override
        public ResponseBodyWriter start(int status, HttpHeaders headers, long contentLength, Runnable newOnWritable) {
            head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            head.headers().add(headers);
            if (contentLength == UNKNOWN_LENGTH) {
                HttpUtil.setTransferEncodingChunked(head, true);
            } else {
                HttpUtil.setContentLength(head, contentLength);
            }
            onWritable = newOnWritable;
            add(head);
            return this;
        }

        @Override
        public boolean isWritable() {
            return started && context.channel().isWritable();
        }

        @Override
        public void write(ByteBuf part) {
            add(new DefaultHttpContent(part));
        }

        @Override
        public void end() {
            ended = true;
            add(LastHttpContent.EMPTY_LAST_CONTENT);
        }

        @Override
        public boolean abandon() {
            onWritable = () -> {};
            if (started) {
                context.close();
                return false;
            }
            output.forEach(ReferenceCountUtil::release);
            output.clear();
            return true;
        }
    }
}
