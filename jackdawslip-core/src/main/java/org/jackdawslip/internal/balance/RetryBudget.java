package org.jackdawslip.internal.balance;

/**
 * Limits the attempts beyond the first of each request to one service, over a sliding window.
 *
 * <p>The limit is global. Each instance applies the ratio to its own requests and uses its share of the fixed
 * allowance. Without communication between instances, the sum stays within the global limit as long as the
 * shares add up to at most 1. A part of the budget is reserved for retries of failed attempts, which take
 * precedence over hedged attempts. Not thread-safe.
 */
public final class RetryBudget {

    /** Part of the budget that hedged attempts leave unused: a retry saves a request, a hedge only time. */
    private static final double RESERVED_FOR_RETRIES_SHARE = 0.5;

    private final double ratio;
    private final double allowance;
    private final WindowCounter requests;
    private final WindowCounter extraAttempts;

    /**
     * Creates a budget.
     *
     * @param ratio extra attempts for each request
     * @param allowance extra attempts in each window independent of requests, for all instances together
     * @param windowMillis length of the sliding window in milliseconds
     */
    public RetryBudget(double ratio, double allowance, long windowMillis) {
        this.ratio = ratio;
        this.allowance = allowance;
        this.requests = new WindowCounter(windowMillis);
        this.extraAttempts = new WindowCounter(windowMillis);
    }

    /** Counts a request of a caller. */
    public void recordRequest(long now) {
        requests.increment(now);
    }

    /**
     * Takes one extra attempt from the budget if at least one remains.
     *
     * @param share share of the allowance that this instance may use, from 0 to 1
     * @return whether the extra attempt is allowed
     */
    public boolean tryRetry(long now, double share) {
        return tryTake(0, now, share);
    }

    /**
     * Takes one extra attempt that may be left out, such as a hedge, unless only the part that is reserved for
     * necessary retries would remain.
     *
     * @param share share of the allowance that this instance may use, from 0 to 1
     * @return whether the extra attempt is allowed
     */
    public boolean tryOptional(long now, double share) {
        return tryTake(RESERVED_FOR_RETRIES_SHARE * total(now, share), now, share);
    }

    private boolean tryTake(double reserved, long now, double share) {
        if (remaining(now, share) < 1 + reserved) {
            return false;
        }
        extraAttempts.increment(now);
        return true;
    }

    /**
     * Returns how many extra attempts remain in the current window.
     *
     * @param share share of the allowance that this instance may use, from 0 to 1
     */
    public double remaining(long now, double share) {
        return total(now, share) - extraAttempts.count(now);
    }

    private double total(long now, double share) {
        return ratio * requests.count(now) + allowance * share;
    }
}
