package org.jackdawslip.internal.hedging;

/** Whether a slow request gets a hedged attempt, or why it does not. */
public enum HedgeDecision {
    /** The hedged attempt is sent. */
    HEDGE,
    /** The operators switched hedging off for the service. */
    OFF,
    /** No other server is available. */
    NO_SERVER,
    /** The second server has no free slot, or the service recently refused requests for lack of capacity. */
    OVERLOAD,
    /** The second server is cold or paused, or expected to take longer than the first attempt has already taken. */
    NOT_BETTER,
    /** The response of the second server is expected after the deadline. */
    TOO_LATE,
    /** The limit of the operators is reached. */
    LIMIT,
    /** Only the part of the retry budget that is reserved for retries remains. */
    RETRY_BUDGET
}
