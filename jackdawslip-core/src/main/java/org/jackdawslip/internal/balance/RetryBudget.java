package org.jackdawslip.internal.balance;

import java.util.Arrays;

/**
 * Bounds the sends beyond the first of each request for one service over a sliding window.
 *
 * <p>All instances share one bound. Each instance uses the ratio on its own requests and an equal part of the fixed
 * allowance, so the sum stays within the bound without messages. Not thread-safe.
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
     * @param instances live instances that share the allowance, at least 1
     * @return whether the budget allows it
     */
    public boolean tryRetry(long now, int instances) {
        if (remaining(now, instances) < 1) {
            return false;
        }
        retries[slot(newestBucket)]++;
        return true;
    }

    /** Returns how many extra sends are left in the current window. */
    public double remaining(long now, int instances) {
        advance(now);
        return ratio * Arrays.stream(requests).sum()
                + allowance / Math.max(1, instances)
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
