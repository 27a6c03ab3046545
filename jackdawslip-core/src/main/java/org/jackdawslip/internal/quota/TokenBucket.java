package org.jackdawslip.internal.quota;

import org.jackdawslip.internal.account.Quota;

/**
 * The tokens of one account at its quota owner. Tokens accrue at the rate of the quota, up to its burst and a part of
 * the tolerated excess.
 *
 * <p>Invariant: in any interval, the tokens taken are at most the capacity and the rate times the length of the
 * interval. While instances have different versions of the configuration, the lower of the two limits applies. Not
 * thread-safe.
 */
final class TokenBucket {

    /** Time after the last request with another version during which the lower of the two limits applies. */
    static final long VERSION_OVERLAP_MILLIS = 1_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final double extraCapacity;
    private long version;
    private Quota newest;
    private Quota other;
    private long otherUntil = Long.MIN_VALUE;
    private double level;
    private long updatedAt;

    /**
     * Creates an empty bucket.
     *
     * @param extraCapacity tokens that the bucket holds beyond the burst of the quota
     * @param emptyAt the time since which tokens accrue, in milliseconds
     */
    TokenBucket(long version, Quota quota, double extraCapacity, long emptyAt) {
        this.version = version;
        this.newest = quota;
        this.extraCapacity = extraCapacity;
        this.updatedAt = emptyAt;
    }

    /** Applies the limit that the instance which asks for tokens has in its version of the configuration. */
    void applyQuota(long askedVersion, Quota quota, long now) {
        accrue(now);
        if (askedVersion > version) {
            other = newest;
            otherUntil = now + VERSION_OVERLAP_MILLIS;
            version = askedVersion;
            newest = quota;
        } else if (askedVersion < version) {
            other = quota;
            otherUntil = now + VERSION_OVERLAP_MILLIS;
        }
        level = Math.min(level, capacity(now));
    }

    /** Takes up to the given number of tokens, and returns how many were taken. */
    int take(int tokens, long now) {
        accrue(now);
        int taken = Math.min(tokens, (int) level);
        level -= taken;
        return taken;
    }

    /** Returns how many whole tokens exceed half of the capacity. */
    int surplus(long now) {
        accrue(now);
        return Math.max(0, (int) (level - capacity(now) / 2));
    }

    /** Returns the time in milliseconds until the given number of tokens is available. */
    long millisUntil(int tokens, long now) {
        accrue(now);
        return (long) Math.ceil(
                Math.max(0, tokens - level) * MILLIS_PER_SECOND / limit(now).requestsPerSecond());
    }

    /** Returns whether no more tokens accrue, so that a bucket that is created later would be the same. */
    boolean full(long now) {
        accrue(now);
        return level >= capacity(now);
    }

    long version() {
        return version;
    }

    /** Returns the limit that applies. */
    Quota limit(long now) {
        return now < otherUntil
                ? new Quota(
                        Math.min(newest.requestsPerSecond(), other.requestsPerSecond()),
                        Math.min(newest.burst(), other.burst()))
                : newest;
    }

    private double capacity(long now) {
        return Math.max(1, limit(now).burst() + extraCapacity);
    }

    private void accrue(long now) {
        if (now > updatedAt) {
            double accrued = (now - updatedAt) * limit(now).requestsPerSecond() / MILLIS_PER_SECOND;
            level = Math.min(capacity(now), level + accrued);
            updatedAt = now;
        }
    }
}
