package org.jackdawslip.internal.balance;

/**
 * Counts events over a sliding window that moves in steps of a twentieth of its length. Invariant: an event is
 * counted for at least the length of the window and for at most one step longer. Not thread-safe.
 */
public final class WindowCounter {

    private static final int BUCKETS_PER_WINDOW = 20;
    /** One bucket more than a window has, because the newest bucket is incomplete. */
    private static final int BUCKET_COUNT = BUCKETS_PER_WINDOW + 1;

    private final long bucketMillis;
    private final int[] counts = new int[BUCKET_COUNT];
    private int total;
    private long currentBucket = Long.MIN_VALUE;

    /** Creates a counter with the given length of the window. */
    public WindowCounter(long windowMillis) {
        this.bucketMillis = Math.max(1, windowMillis / BUCKETS_PER_WINDOW);
    }

    /** Counts one event. */
    public void increment(long now) {
        advance(now);
        counts[indexOf(currentBucket)]++;
        total++;
    }

    /** Returns the number of events in the window that ends now. */
    public int count(long now) {
        advance(now);
        return total;
    }

    private void advance(long now) {
        long bucket = Math.floorDiv(now, bucketMillis);
        if (currentBucket == Long.MIN_VALUE) {
            currentBucket = bucket;
        }
        long elapsed = Math.min(BUCKET_COUNT, bucket - currentBucket);
        for (long i = 1; i <= elapsed; i++) {
            int index = indexOf(bucket - elapsed + i);
            total -= counts[index];
            counts[index] = 0;
        }
        currentBucket = Math.max(currentBucket, bucket);
    }

    private static int indexOf(long bucket) {
        return Math.floorMod(bucket, BUCKET_COUNT);
    }
}
