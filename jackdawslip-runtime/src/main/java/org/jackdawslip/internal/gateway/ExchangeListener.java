package org.jackdawslip.internal.gateway;

import io.netty.handler.codec.http.FullHttpResponse;

/** Receives the result of one exchange with a server. Called once on the event loop, except where stated. */
interface ExchangeListener {

    /**
     * Returns whether the request may still be sent when a connection was opened for it. If not, the exchange fails
     * with {@link ExchangeFailure#SERVER_LEAVING}.
     */
    default boolean maySend() {
        return true;
    }

    /**
     * Takes an answer. The listener does not keep the answer's buffers.
     *
     * @return whether it belongs to the request; if not, the connection waits for a further answer
     */
    boolean answered(FullHttpResponse answer);

    /** Takes the end without an answer. */
    void failed(ExchangeFailure failure);
}
