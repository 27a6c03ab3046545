package org.jackdawslip.internal.peer;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.Outcome;

/**
 * Thrown if an envelope could not be sent or got no reply; states whether the envelope may have reached the
 * peer. Immutable and thread-safe.
 */
public final class PeerException extends JackdawslipException {

    private static final long serialVersionUID = 1L;

    private final Outcome outcome;

    PeerException(Outcome outcome, String message, Throwable cause) {
        super(ErrorCode.PEER_UNAVAILABLE, message, cause);
        this.outcome = outcome;
    }

    /**
     * Returns {@link Outcome#NOT_RUN} if no byte of the envelope was written, otherwise {@link
     * Outcome#UNKNOWN}.
     */
    public Outcome outcome() {
        return outcome;
    }
}
