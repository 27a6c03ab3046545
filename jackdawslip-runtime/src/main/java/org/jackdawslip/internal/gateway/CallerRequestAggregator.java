package org.jackdawslip.internal.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import org.jackdawslip.internal.limits.ClientLimits;
import org.jackdawslip.internal.traffic.RoutingConfig;

/**
 * Collects the parts of each request of a caller, as far as the memory account permits.
 *
 * <p>Invariant: it writes no final response itself. A request that is rejected is passed on without its body, with a
 * {@link RejectedRequestException} as the cause of the decoder failure, so that its response takes its place in the
 * order of the responses. Confined to the event loop.
 */
final class CallerRequestAggregator extends ChannelInboundHandlerAdapter {

    /**
     * Bytes of a body that are received and discarded so that the connection stays usable. A longer one costs more
     * bandwidth than a new connection.
     */
    private static final long MAX_DISCARDED_BYTES = 1024 * 1024;

    /** The reason why a request is rejected before its body was read. Immutable and thread-safe. */
    static final class RejectedRequestException extends Exception {

        private static final long serialVersionUID = 1L;
        private final int status;

        private RejectedRequestException(HttpResponseStatus status) {
            super(status.toString(), null, false, false);
            this.status = status.code();
        }

        /** Returns the HTTP status of the response. */
        int status() {
            return status;
        }
    }

    private final CallerConnection connection;
    private final RoutingState routing;
    private final ClientLimits limits;
    private HttpRequest head;
    private CallerBody body;
    private CallerRequestMemory memory;
    private long expectedLength;
    private boolean discarding;
    private long discardedBytes;

    CallerRequestAggregator(CallerConnection connection, RoutingState routing, ClientLimits limits) {
        this.connection = connection;
        this.routing = routing;
        this.limits = limits;
    }

    /** Returns the status of the response to a request that was rejected or is malformed. */
    static int rejectionStatus(Throwable cause) {
        if (cause instanceof RejectedRequestException rejection) {
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

    private long maxBodyBytes() {
        return Math.min(
                routing.callerLimits().maxBodyBytes(),
                limits.largeBodyBytes() / CallerBody.CHUNK_BYTES * CallerBody.CHUNK_BYTES);
    }

    /** Returns whether the configuration in force has no route for the request. */
    private boolean lacksRoute(HttpRequest request) {
        RoutingConfig config = routing.config();
        return config != null
                && config.route(request.headers().get(HttpHeaderNames.HOST), CallerRequest.path(request.uri()))
                        .isEmpty();
    }

    /** Returns whether the body of a request is awaited that is kept. */
    boolean isReceivingBody() {
        return head != null;
    }

    /** Returns whether the body of a request is awaited that is not kept. */
    boolean isDiscardingBody() {
        return discarding;
    }

    /** Returns the headers of the request whose body is awaited, or null. */
    HttpRequest head() {
        return head;
    }

    /** Frees the request that is being received. */
    void abandon() {
        if (head != null) {
            head = null;
            body.release();
            memory.releaseHead();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpRequest request) {
                receiveHead(context, request);
            }
            if (message instanceof HttpContent content) {
                receiveContent(context, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void receiveHead(ChannelHandlerContext context, HttpRequest request) {
        connection.onHeadReceived();
        discardedBytes = 0;
        if (request.decoderResult().isFailure()) {
            discarding = true;
            FullHttpRequest invalid = whole(request, Unpooled.EMPTY_BUFFER);
            invalid.setDecoderResult(request.decoderResult());
            context.fireChannelRead(invalid);
            return;
        }
        expectedLength = HttpUtil.getContentLength(request, 0L);
        if (hasUnknownExpectation(request)) {
            reject(context, request, HttpResponseStatus.EXPECTATION_FAILED);
        } else if (expectedLength > maxBodyBytes()) {
            reject(context, request, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else {
            begin(context, request);
        }
    }

    private void begin(ChannelHandlerContext context, HttpRequest request) {
        long cost = connection.headCost(request);
        boolean ordinary = connection.isOrdinary(cost + expectedLength);
        memory = connection.newRequestMemory();
        if (!memory.tryReserveHead(cost, ordinary)) {
            discarding = true;
            connection.refuse(CallerRefusal.MEMORY, request);
            return;
        }
        boolean hasBody = expectedLength > 0 || HttpUtil.isTransferEncodingChunked(request);
        if (hasBody && lacksRoute(request)) {
            // The response is known, so the body is not kept.
            discarding = true;
            closeAfterLongBody(request);
            connection.receive(request, Unpooled.EMPTY_BUFFER, memory, true);
            return;
        }
        head = request;
        body = new CallerBody(memory.heapBody(), memory.largeBody(), ordinary);
        if (HttpUtil.is100ContinueExpected(request)) {
            request.headers().remove(HttpHeaderNames.EXPECT);
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    /** Lets the connection close after the response if the rest of the body is too long to be discarded. */
    private void closeAfterLongBody(HttpRequest request) {
        // A caller that waits for "100 Continue" may or may not send the body, so no request can follow.
        if (expectedLength > MAX_DISCARDED_BYTES || HttpUtil.is100ContinueExpected(request)) {
            HttpUtil.setKeepAlive(request, false);
        }
    }

    private static boolean hasUnknownExpectation(HttpRequest request) {
        String expectation = request.headers().get(HttpHeaderNames.EXPECT);
        return expectation != null && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expectation);
    }

    private void reject(ChannelHandlerContext context, HttpRequest request, HttpResponseStatus status) {
        discarding = true;
        closeAfterLongBody(request);
        FullHttpRequest rejected = whole(request, Unpooled.EMPTY_BUFFER);
        rejected.setDecoderResult(DecoderResult.failure(new RejectedRequestException(status)));
        context.fireChannelRead(rejected);
    }

    private static FullHttpRequest whole(HttpRequest request, ByteBuf content) {
        return new DefaultFullHttpRequest(
                request.protocolVersion(),
                request.method(),
                request.uri(),
                content,
                request.headers(),
                EmptyHttpHeaders.INSTANCE);
    }

    private void receiveContent(ChannelHandlerContext context, HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (discarding) {
            discard(content, last);
            return;
        }
        if (head == null) {
            return;
        }
        HttpRequest request = head;
        if (content.decoderResult().isFailure()) {
            abandon();
            FullHttpRequest invalid = whole(request, Unpooled.EMPTY_BUFFER);
            invalid.setDecoderResult(content.decoderResult());
            context.fireChannelRead(invalid);
            return;
        }
        if (body.length() + content.content().readableBytes() > maxBodyBytes()) {
            abandon();
            reject(context, request, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            discard(content, last);
        } else if (content.content().isReadable() && !body.append(content.content(), expectedLength)) {
            abandon();
            discarding = true;
            connection.refuse(CallerRefusal.MEMORY, request);
        } else if (last) {
            head = null;
            connection.receive(request, body.take(), memory, false);
        }
    }

    private void discard(HttpContent content, boolean last) {
        discardedBytes += content.content().readableBytes();
        if (last) {
            discarding = false;
            connection.onDiscarded();
        } else if (discardedBytes > MAX_DISCARDED_BYTES) {
            connection.closeAfterOpenRequests();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        connection.onReadComplete();
        context.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        abandon();
        context.fireChannelInactive();
    }
}
