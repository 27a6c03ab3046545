package org.jackdawslip.internal.peer;

import org.jackdawslip.protocol.Envelope;

/** Sends the reply to one envelope on the connection on which the envelope arrived. Thread-safe. */
@FunctionalInterface
public interface PeerReply {

    /**
     * Sends the reply with the correlation id of the request.
     *
     * @return whether the reply was queued; false if the connection is closed or its outgoing queue is full
     */
    boolean send(Envelope envelope);
}
