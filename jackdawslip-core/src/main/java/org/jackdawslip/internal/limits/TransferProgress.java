package org.jackdawslip.internal.limits;

/**
 * The progress of one transfer from or to a client, compared with the lowest permitted rate. A single byte does not
 * count as activity: what counts is the time that the transfer took beyond the time at the lowest rate. Not
 * thread-safe.
 */
public final class TransferProgress {

    private final long minBytesPerMilli;
    private final long startedAt;
    private long progressAt;
    private long bytes;

    /**
     * Starts a transfer.
     *
     * @param minBytesPerMilli the lowest permitted rate, in bytes per millisecond
     * @param now the time by the monotonic clock, in milliseconds
     */
    public TransferProgress(long minBytesPerMilli, long now) {
        this.minBytesPerMilli = minBytesPerMilli;
        this.startedAt = now;
        this.progressAt = now;
    }

    /** Records that bytes were transferred. */
    public void advance(long transferredBytes, long now) {
        if (transferredBytes > 0) {
            bytes += transferredBytes;
            progressAt = now;
        }
    }

    /** Returns the time when the transfer started. */
    public long startedAt() {
        return startedAt;
    }

    /** Returns the number of bytes that were transferred. */
    public long bytes() {
        return bytes;
    }

    /**
     * Returns by how much the client is slow: the time without any byte, or the time in excess of that at the
     * lowest rate, whichever is longer.
     */
    public long slowMillis(long now) {
        return Math.max(now - progressAt, excessMillis(now));
    }

    /** Returns whether the transfer took longer than the grace period and the time at the lowest rate together. */
    public boolean isOverdue(long graceMillis, long now) {
        return excessMillis(now) > graceMillis;
    }

    private long excessMillis(long now) {
        return now - startedAt - bytes / minBytesPerMilli;
    }
}
