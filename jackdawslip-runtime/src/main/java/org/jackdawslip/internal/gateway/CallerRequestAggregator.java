package org.jackdawslip.internal.gateway;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Collects the parts of each request of a caller.
 *
 * <p>Invariant: it writes no final response itself. A request that is rejected is passed on without its body, with a
 * {@link RejectedRequestException} as the cause of the decoder failure, so that its response takes its place in the
 * order of the responses. Confined to the event loop.
 */
final class CallerRequestAggregator extends HttpObjectAggregator {

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

    /**
     * Creates an aggregator.
     *
     * @param maxBodyBytes limit of the body of a request, in bytes
     */
    CallerRequestAggregator(int maxBodyBytes) {
        super(maxBodyBytes);
    }

    @Override
    protected Object newContinueResponse(HttpMessage start, int maxBodyBytes, ChannelPipeline pipeline) {
        return isContentLengthInvalid(start, maxBodyBytes)
                ? null
                : super.newContinueResponse(start, maxBodyBytes, pipeline);
    }

    /** Returns whether the request is rejected without reading its body. */
    @Override
    protected boolean isContentLengthInvalid(HttpMessage start, int maxBodyBytes) {
        return hasUnknownExpectation(start) || super.isContentLengthInvalid(start, maxBodyBytes);
    }

    private static boolean hasUnknownExpectation(HttpMessage message) {
        String expectation = message.headers().get(HttpHeaderNames.EXPECT);
        return expectation != null && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expectation);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage message) {
        HttpRequest request = (HttpRequest) message;
        FullHttpRequest rejected =
                new DefaultFullHttpRequest(request.protocolVersion(), request.method(), request.uri());
        rejected.headers().set(request.headers());
        HttpResponseStatus status = hasUnknownExpectation(message)
                ? HttpResponseStatus.EXPECTATION_FAILED
                : HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
        rejected.setDecoderResult(DecoderResult.failure(new RejectedRequestException(status)));
        // A caller that waits for "100 Continue" may or may not send the body, so no request can follow.
        HttpUtil.setKeepAlive(rejected, HttpUtil.isKeepAlive(request) && !HttpUtil.is100ContinueExpected(request));
        context.fireChannelRead(rejected);
    }
}
