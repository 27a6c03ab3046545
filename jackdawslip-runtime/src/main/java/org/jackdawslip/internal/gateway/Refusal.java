package org.jackdawslip.internal.gateway;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.internal.balance.RetryDelay;

/**
 * The reason for which a request is refused before an attempt. Immutable and thread-safe.
 *
 * @param code the error code of the response
 * @param reason the reason in words
 * @param excessMillis the time by which the expected response exceeds its limit, in milliseconds; it determines the
 *     retry delay for the caller
 */
record Refusal(ErrorCode code, String reason, double excessMillis) {

    /** Returns the refusal of a request for which no server is available. */
    static Refusal withoutServer(ServerSelector serverSelector) {
        long pauseMillis = serverSelector.requestedPauseMillis();
        if (pauseMillis > 0) {
            return new Refusal(
                    ErrorCode.NO_BACKEND_SERVER, "every server that can take it asked for a pause", pauseMillis);
        }
        if (serverSelector.keyed()) {
            // The time until the next grant is unknown.
            return new Refusal(ErrorCode.NO_OWNER, "no server can take it", RetryDelay.UNKNOWN_EXCESS_MILLIS);
        }
        return new Refusal(ErrorCode.NO_BACKEND_SERVER, "no server can take it", 0);
    }
}
