package org.jackdawslip.internal.gateway;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import org.jackdawslip.internal.balance.SendDecision;

/**
 * Receives the result of one exchange with a server: one response that belongs to the request, or one
 * failure. All methods are called on the event loop.
 */
interface ExchangeListener {

    /**
     * Decides whether the request is sent, when a connection is available for it. Called again after a state
     * probe. A request that is withdrawn fails with {@link ExchangeFailure#WITHDRAWN}.
     *
     * @param verified whether the connection is new or the server has just responded on it; a server may have
     *     dropped any other connection without closing it, and bytes that belong to no request may be in
     *     transit on it
     */
    default SendDecision beforeSend(boolean verified) {
        return SendDecision.SEND;
    }

    /** Returns the state probe for {@link SendDecision#PROBE}. */
    default StateProbe stateProbe() {
        throw new UnsupportedOperationException("this exchange sends no state probe");
    }

    /**
     * Handles the head of a response as soon as it is read. The response may not belong to the request, but it was
     * sent by the server of the connection.
     */
    default void onResponseHead(HttpResponse head) {}

    /**
     * Decides how a response is received whose body is larger than {@link HttpConnection#MAX_WHOLE_BODY_BYTES}.
     *
     * @return the receiver of the body; {@link BodyReceiver#DISCARD} if the response does not belong to the request;
     *     null if the body is to be buffered for {@link #onResponse}
     */
    default BodyReceiver onLargeResponse(HttpResponse head) {
        return null;
    }

    /**
     * Handles a whole response. The listener does not retain the buffers of the response.
     *
     * @return whether the response belongs to the request; if not, the connection waits for another response
     */
    boolean onResponse(FullHttpResponse response);

    /** Handles the end of the exchange without a response. */
    void onFailure(ExchangeFailure failure);
}
