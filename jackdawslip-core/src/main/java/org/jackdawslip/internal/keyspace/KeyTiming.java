package org.jackdawslip.internal.keyspace;

/**
 * Durations of key grants, in milliseconds. Immutable and thread-safe.
 *
 * @param holdMillis term of a grant, measured by the clock of the server
 * @param renewalIntervalMillis interval between renewals of a grant
 * @param grantRetryDelayMillis delay before a grant without a response is repeated; a server that restarted
 *     is listed with its new incarnation by then
 * @param releaseRetryDelayMillis delay before a release without a response is repeated
 */
public record KeyTiming(
        long holdMillis, long renewalIntervalMillis, long grantRetryDelayMillis, long releaseRetryDelayMillis) {

    /** Longest real time per unit of server time. By the platform, a server clock may run 2 % slow. */
    private static final double MAX_CLOCK_STRETCH = 1.02;
    /** Longest time that a call may be in transit before its sender resets the connection. */
    private static final long MAX_TRANSIT_MILLIS = 700;

    /** Returns for how long after a grant call is sent the server may own the segment, in milliseconds. */
    public long maxHoldMillis() {
        return Math.round(holdMillis * MAX_CLOCK_STRETCH) + MAX_TRANSIT_MILLIS;
    }
}
