package org.jackdawslip.internal.peer;

import org.jackdawslip.protocol.Envelope;

/**
 * Handles envelopes from other instances. Called on I/O threads, so implementations must be thread-safe and
 * not block.
 */
@FunctionalInterface
public interface PeerHandler {

    /**
     * Handles one envelope.
     *
     * @param envelope the envelope; its correlation id is 0 if the peer expects no reply
     * @param reply sends the reply, now or later, from any thread
     */
    void handle(Envelope envelope, PeerReply reply);
}
