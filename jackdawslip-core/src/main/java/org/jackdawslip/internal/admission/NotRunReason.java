package org.jackdawslip.internal.admission;

import org.jackdawslip.ErrorCode;

/** The reasons for which an attempt certainly did not run, so that the request may be dispatched again. */
public enum NotRunReason {
    /** The backend server responded with {@code Not-Run: true} and the id of this request. */
    SHED(ErrorCode.BACKEND_REFUSED),
    /** The backend server rejected the sender token as outdated, so this instance is no longer its sender. */
    STALE_TOKEN(ErrorCode.ROUTE_UNSETTLED),
    /** The connection was refused, so no byte of the request was sent. */
    CONNECTION_REFUSED(ErrorCode.NO_BACKEND_SERVER),
    /** Another local failure before the first byte of the request was sent, for example an expired permit. */
    FAILED_BEFORE_SENDING(ErrorCode.NO_BACKEND_SERVER);

    private final ErrorCode code;

    NotRunReason(ErrorCode code) {
        this.code = code;
    }

    /** Returns the error code for the caller if the request cannot be queued again. */
    public ErrorCode code() {
        return code;
    }

    /**
     * Returns whether the reason indicates an overloaded or restarted server, whose slow start begins again.
     */
    boolean resetsRamp() {
        return this == SHED || this == CONNECTION_REFUSED;
    }
}
