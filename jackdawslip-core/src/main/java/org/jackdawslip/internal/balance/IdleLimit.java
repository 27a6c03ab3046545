package org.jackdawslip.internal.balance;

/**
 * How long a connection to the servers of one service may have been idle before it is used again.
 *
 * <p>A server may drop idle connections without a word and sooner than it announced. What is sent next is lost, and a
 * request that may run at most once cannot be sent again. One dropped connection therefore shortens the limit for all
 * connections to the service for a while. Not thread-safe.
 */
public final class IdleLimit {

    /** A limit without effect. */
    public static final long NONE = Long.MAX_VALUE;
    /** Time between a send and the loss of the connection within which the idle time is the likely cause. */
    private static final long PROMPT_MILLIS = 50;
    /** The new limit relative to the idle time of the dropped connection. */
    private static final double MARGIN = 0.5;
    /** Below this the cost of new connections exceeds the gain; one costs about a millisecond at the server. */
    private static final long SHORTEST_MILLIS = 100;
    /** Time for which a shortened limit holds. */
    private static final long HOLDS_MILLIS = 10_000;

    private long limitMillis = NONE;
    private long until;

    /**
     * Takes the loss of a connection that was used again.
     *
     * @param idleMillis how long it had been idle
     * @param openMillis how long the request was open when the connection was lost
     * @return whether the idle time is taken to be the cause, so that the limit holds from now on
     */
    public boolean lost(long idleMillis, long openMillis, long now) {
        if (openMillis > PROMPT_MILLIS) {
            return false;
        }
        limitMillis = Math.max(SHORTEST_MILLIS, Math.min(millis(now), Math.round(MARGIN * idleMillis)));
        until = now + HOLDS_MILLIS;
        return true;
    }

    /** Returns the limit, or {@link #NONE}. */
    public long millis(long now) {
        return now < until ? limitMillis : NONE;
    }
}
