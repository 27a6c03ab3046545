package org.jackdawslip.internal.gateway;

import io.netty.buffer.ByteBuf;

/**
 * Receives the body of a large response in parts, then its end or one failure. All methods are called on the event
 * loop.
 */
interface BodyReceiver {

    /** Discards the body of a response that does not belong to the request. Another response is expected. */
    BodyReceiver DISCARD = new BodyReceiver() {
        @Override
        public void onPart(ByteBuf part) {
            part.release();
        }

        @Override
        public void onEnd() {}

        @Override
        public void onFailure(ExchangeFailure failure) {}
    };

    /** Receives the next part and takes ownership of its reference. */
    void onPart(ByteBuf part);

    /** The body is complete. */
    void onEnd();

    /** The connection was lost, or the rest of the response is not valid. */
    void onFailure(ExchangeFailure failure);
}
