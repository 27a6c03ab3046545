package org.jackdawslip.internal.balance;

import java.util.Arrays;

/**
 * Bounds the sends beyond the first of each request for one service over a sliding window.
 *
 * <p>All instances share one bound. Each instance uses the ratio on its own requests and its share of the fixed
 * allowance. The sum stays within the bound without messages as long as the shares add up to at most 1. Not
 * thread-safe.
 */
public final class RetryBudget {

    private static final int BUCKETS_PER_WINDOW = 20;
    /** One more than a window has, because the newest bucket is not over yet. */
    private static final int BUCKETS = BUCKETS_PER_WINDOW + 1;

    private final double ratio;
    private final double allowance;
    private final long bucketMillis;
    private final int[] requests = new int[BUCKETS];
    private final int[] retries = new int[BUCKETS];
    private long newestBucket = Long.MIN_VALUE;

    /**
     * Makes a budget.
     *
     * @param ratio extra sends for each request
     * @param allowance extra sends in each window without any request, for all instances together
     * @param windowMillis length of the sliding window
     */
    public RetryBudget(double ratio, double allowance, long windowMillis) {
        this.ratio = ratio;
        this.allowance = allowance;
        this.bucketMillis = Math.max(1, windowMillis / BUCKETS_PER_WINDOW);
    }

    /** Counts a request of a caller. */
    public void request(long now) {
        advance(now);
        requests[slot(newestBucket)]++;
    }

    /**
     * Takes one extra send out of the budget.
     *
     * @param share part of the allowance that this instance may use, from 0 to 1
     * @return whether the budget allows it
     */
    public boolean tryRetry(long now, double share) {
        if (remaining(now, share) < 1) {
            return false;
        }
        retries[slot(newestBucket)]++;
        return true;
    }

    /**
     * Returns how many extra sends are left in the current window.
     *
     * @param share part of the allowance that this instance may use, from 0 to 1
     */
    public double remaining(long now, double share) {
        advance(now);
        return ratio * Arrays.stream(requests).sum()
                + allowance * share
                - Arrays.stream(retries).sum();
    }

    private void advance(long now) {
        long bucket = Math.floorDiv(now, bucketMillis);
        if (newestBucket == Long.MIN_VALUE) {
            newestBucket = bucket;
        }
        long steps = Math.min(BUCKETS, bucket - newestBucket);
        for (long i = 1; i <= steps; i++) {
            requests[slot(bucket - steps + i)] = 0;
            retries[slot(bucket - steps + i)] = 0;
        }
        newestBucket = Math.max(newestBucket, bucket);
    }

    private static int slot(long bucket) {
        return Math.floorMod(bucket, BUCKETS);
    }
}
