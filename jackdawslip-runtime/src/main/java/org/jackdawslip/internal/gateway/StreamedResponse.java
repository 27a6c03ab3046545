package org.jackdawslip.internal.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/**
 * A large response that is passed on to the caller as it arrives, as fast as the caller reads. It cannot be
 * replaced by another one once a part of it was sent to the caller.
 *
 * <p>Invariants: a response that ends early never looks complete; the listener is told of the end exactly once.
 * Confined to the event loop.
 */
final class StreamedResponse implements BodyReceiver {

    /** Receives the end of the response: {@link #onStreamClosed}, then one of the other methods. */
    interface Listener {

        /** The response ends, and so does its exchange with the server. */
        void onStreamClosed();

        /** The caller receives the whole response. */
        void onStreamCompleted(int status);

        /**
         * The response ended early.
         *
         * @param answerable whether nothing was sent to the caller, so that it can receive another response
         */
        void onStreamCut(ExchangeFailure failure, boolean answerable);

        /** The caller left. */
        void onStreamAbandoned();
    }

    private final ConnectionPool.Exchange exchange;
    private final HttpResponse head;
    private final Listener listener;
    private ResponseBodyWriter writer;

    StreamedResponse(ConnectionPool.Exchange exchange, HttpResponse head, Listener listener) {
        this.exchange = exchange;
        this.head = head;
        this.listener = listener;
    }

    /**
     * Sends the head of the response.
     *
     * @param contentLength length of the body in bytes, or {@link ResponseWriter#UNKNOWN_LENGTH}
     */
    void start(ResponseWriter responseWriter, long contentLength) {
        HttpHeaders headers = new DefaultHttpHeaders();
        CallerRequest.copyEndToEndHeaders(head.headers(), headers);
        writer = responseWriter.start(head.status().code(), headers, contentLength, () -> exchange.setReading(true));
    }

    @Override
    public void onPart(ByteBuf part) {
        writer.write(part);
        exchange.setReading(writer.isWritable());
    }

    @Override
    public void onEnd() {
        listener.onStreamClosed();
        listener.onStreamCompleted(head.status().code());
        writer.end();
    }

    @Override
    public void onFailure(ExchangeFailure failure) {
        listener.onStreamClosed();
        listener.onStreamCut(failure, writer.abandon());
    }

    /** Ends the response because the time of the caller, or of this instance, is over. */
    void cutAtDeadline() {
        exchange.abort();
        onFailure(ExchangeFailure.TIMED_OUT);
    }

    /** Ends the response because the caller left. */
    void abort() {
        exchange.abort();
        listener.onStreamClosed();
        listener.onStreamAbandoned();
    }
}
