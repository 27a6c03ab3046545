package org.jackdawslip.internal.balance;

/**
 * Limits how long a connection to the servers of one service may have been idle when it is reused.
 *
 * <p>A server may drop idle connections without closing them and earlier than it announced. A request sent on
 * such a connection is lost, and an at-most-once request cannot be sent again. One dropped connection
 * therefore shortens the limit for all connections to the service for {@value #SHORTENED_LIMIT_TTL_MILLIS}
 * ms. Not thread-safe.
 */
public final class IdleLimit {

    /** The limit while no connection has been dropped recently. */
    public static final long UNLIMITED = Long.MAX_VALUE;
    /** A connection lost later than this after a request was sent is not attributed to its idle time. */
    private static final long MAX_IDLE_DROP_DELAY_MILLIS = 50;
    /** New limit as a share of the idle time of the dropped connection. */
    private static final double LIMIT_SHARE = 0.5;
    /**
     * Lowest limit. Below it, the cost of a new connection, about a millisecond at the server, exceeds the
     * gain.
     */
    private static final long MIN_LIMIT_MILLIS = 100;

    private static final long SHORTENED_LIMIT_TTL_MILLIS = 10_000;

    private long limitMillis = UNLIMITED;
    private long shortenedUntil;

    /**
     * Records the loss of a reused connection and shortens the limit if the idle time is the likely cause.
     *
     * @param idleMillis idle time of the connection before its reuse, in milliseconds
     * @param openMillis time from sending the request to the loss of the connection, in milliseconds
     * @return whether the limit was set from this idle time
     */
    public boolean recordConnectionLoss(long idleMillis, long openMillis, long now) {
        if (openMillis > MAX_IDLE_DROP_DELAY_MILLIS) {
            return false;
        }
        limitMillis = Math.max(MIN_LIMIT_MILLIS, Math.min(limitMillis(now), Math.round(LIMIT_SHARE * idleMillis)));
        shortenedUntil = now + SHORTENED_LIMIT_TTL_MILLIS;
        return true;
    }

    /** Returns the limit in milliseconds, or {@link #UNLIMITED}. */
    public long limitMillis(long now) {
        return now < shortenedUntil ? limitMillis : UNLIMITED;
    }
}
