package org.jackdawslip.internal.keyspace;

/**
 * Durations of the custody of keys, in milliseconds. Immutable and thread-safe.
 *
 * @param holdMillis term of a grant, by the clock of the server
 * @param renewMillis interval between renewals of a grant
 * @param regrantMillis pause after a grant without an answer; the server may have restarted, and is listed anew by then
 * @param rereleaseMillis pause after a release without an answer
 */
public record KeyTiming(long holdMillis, long renewMillis, long regrantMillis, long rereleaseMillis) {

    /** A server's clock may run 2 % slow; the platform states this bound. */
    private static final double SLOWEST_CLOCK = 1.02;
    /** Time that a call may spend on its way before its sender resets the connection. */
    private static final long TRANSIT_MILLIS = 700;

    /** Returns how long after the send of a grant the server may still own the segment. */
    public long longestHoldMillis() {
        return Math.round(holdMillis * SLOWEST_CLOCK) + TRANSIT_MILLIS;
    }
}
