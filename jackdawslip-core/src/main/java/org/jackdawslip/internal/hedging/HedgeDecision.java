package org.jackdawslip.internal.hedging;

/** Whether a slow request gets a hedged attempt, or why it does not. */
public enum HedgeDecision {
    /** The hedged attempt is sent. */
    HEDGE {
        @Override
        public boolean mayChange() {
            return false;
        }
    },
    /** The operators switched hedging off for the service. */
    OFF {
        @Override
        public boolean mayChange() {
            return false;
        }
    },
    /** No other server is available. */
    NO_SERVER,
    /** The second server has no free slot, or the service recently refused requests for lack of capacity. */
    OVERLOAD {
        @Override
        public boolean mayChange() {
            return false;
        }
    },
    /** The second server is cold or paused, or expected to take longer than the first attempt has already taken. */
    NOT_BETTER,
    /** The response of the second server is expected after the deadline. */
    TOO_LATE {
        @Override
        public boolean mayChange() {
            return false;
        }
    },
    /** The limit of the operators is reached. */
    LIMIT,
    /** Only the part of the retry budget that is reserved for retries remains. */
    RETRY_BUDGET;

    /** Returns whether a later decision about the same request may permit the hedge. */
    public boolean mayChange() {
        return true;
    }
}
