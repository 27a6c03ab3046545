package org.jackdawslip.internal.hedging;

import org.jackdawslip.internal.balance.WindowCounter;

/**
 * Limits the hedged attempts of one service to a share of its requests at this instance.
 *
 * <p>Invariants: since construction, the hedged attempts are at most the share of the requests. In a window of
 * {@link #WINDOW_MILLIS} they are at most the share of the requests in it, or one. Each instance applies the share
 * to its own requests, so the share also holds for the sum over all instances, without messages. Not thread-safe.
 */
public final class HedgeLimit {

    /** Length of the window in milliseconds; the users' limits on extra attempts hold in every window of it. */
    static final long WINDOW_MILLIS = 10_000;

    /** Covers rounding: the sum of 20 times 0.05 is slightly below 1. */
    private static final double ROUNDING = 1e-9;

    private final double share;
    private final WindowCounter requests = new WindowCounter(WINDOW_MILLIS);
    private final WindowCounter hedges = new WindowCounter(WINDOW_MILLIS);
    /** Unused part of the share; lets an instance with few requests hedge one of many. */
    private double tokens;

    /**
     * Creates a limit.
     *
     * @param share hedged attempts for each request, from 0 (none) to 1
     */
    public HedgeLimit(double share) {
        this.share = share;
    }

    /** Returns hedged attempts for each request, from 0 to 1. */
    public double share() {
        return share;
    }

    /** Counts a request of a caller. */
    public void recordRequest(long now) {
        requests.increment(now);
        tokens = Math.min(windowLimit(now), tokens + share);
    }

    /** Returns whether a hedged attempt is within the limit. */
    public boolean isAvailable(long now) {
        return tokens >= 1 - ROUNDING && hedges.count(now) + 1 <= windowLimit(now) + ROUNDING;
    }

    /** Counts a hedged attempt if it is within the limit; returns whether it is. */
    public boolean tryTake(long now) {
        if (!isAvailable(now)) {
            return false;
        }
        tokens--;
        hedges.increment(now);
        return true;
    }

    private double windowLimit(long now) {
        return Math.max(1, share * requests.count(now));
    }
}
