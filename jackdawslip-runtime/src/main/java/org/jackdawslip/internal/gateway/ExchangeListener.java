package org.jackdawslip.internal.gateway;

import io.netty.handler.codec.http.FullHttpResponse;
import org.jackdawslip.internal.balance.SendStep;

/** Receives the result of one exchange with a server. Called once on the event loop, except where stated. */
interface ExchangeListener {

    /**
     * Decides what happens to the request when a connection is free for it. A request that is withdrawn fails with
     * {@link ExchangeFailure#WITHDRAWN}.
     *
     * @param verified whether the connection is new or the server has just answered on it; servers drop idle
     *     connections without a word, and bytes that belong to no request may be on their way
     */
    default SendStep beforeSend(boolean verified) {
        return SendStep.SEND;
    }

    /** Returns the question that {@link SendStep#ASK} puts to the server. */
    default StateQuestion question() {
        throw new UnsupportedOperationException("nothing is to be asked");
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
