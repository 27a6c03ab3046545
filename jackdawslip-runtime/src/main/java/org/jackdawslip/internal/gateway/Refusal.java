package org.jackdawslip.internal.gateway;

import org.jackdawslip.ErrorCode;

/**
 * The reason for which a request is refused before an attempt. Immutable and thread-safe.
 *
 * @param code the error code of the response
 * @param reason the reason in words
 * @param excessMillis the time by which the expected response exceeds its limit, in milliseconds; it determines the
 *     retry delay for the caller
 */
record Refusal(ErrorCode code, String reason, double excessMillis) {

    /**
     * Value of {@link #excessMillis} for a key without an owner. The time until the next grant is unknown, so the
     * caller receives the longest retry delay.
     */
    private static final double MAX_EXCESS_MILLIS = Double.MAX_VALUE;

    /** Returns the refusal of a request for which no server is available. */
    static Refusal withoutServer(ServerSelector serverSelector) {
        long pauseMillis = serverSelector.requestedPauseMillis();
        if (pauseMillis > 0) {
            return new Refusal(
                    ErrorCode.NO_BACKEND_SERVER, "every server that can take it asked for a pause", pauseMillis);
        }
        if (serverSelector.keyed()) {
            return new Refusal(ErrorCode.NO_OWNER, "no server can take it", MAX_EXCESS_MILLIS);
        }
        return new Refusal(ErrorCode.NO_BACKEND_SERVER, "no server can take it", 0);
    }
}
