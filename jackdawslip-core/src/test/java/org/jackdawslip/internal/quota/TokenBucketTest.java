package org.jackdawslip.internal.quota;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.jackdawslip.internal.account.Quota;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a bucket that gives more tokens than its quota, and against one that withholds tokens. */
class TokenBucketTest {

    private static final Quota QUOTA = new Quota(10, 20);

    @Test
    void startsEmptyAndFillsToItsCapacity() {
        TokenBucket bucket = new TokenBucket(1, QUOTA, 5, 0);
        assertEquals(0, bucket.take(1, 99));
        assertEquals(1, bucket.take(3, 100));
        assertEquals(25, bucket.take(100, 60_000));
    }

    @Test
    void statesWhenTokensAreAvailable() {
        TokenBucket bucket = new TokenBucket(1, QUOTA, 5, 0);
        assertEquals(300, bucket.millisUntil(3, 0));
        assertEquals(50, bucket.millisUntil(1, 50));
        assertEquals(1, bucket.take(1, 100));
        assertEquals(100, bucket.millisUntil(1, 100));
    }

    /** An account with a burst of 0 would otherwise never be served. */
    @Test
    void holdsAtLeastOneToken() {
        TokenBucket bucket = new TokenBucket(1, new Quota(10, 0), 0, 0);
        assertEquals(1, bucket.take(3, 5_000));
    }

    /** Instances with different versions of the configuration must not mix limits. */
    @Test
    void lowerLimitAppliesWhileVersionsDiffer() {
        TokenBucket bucket = new TokenBucket(5, QUOTA, 0, 0);
        bucket.applyQuota(6, new Quota(40, 5), 10_000);
        assertEquals(new Quota(10, 5), bucket.limit(10_000));
        assertEquals(5, bucket.take(100, 10_000));
        bucket.applyQuota(5, QUOTA, 10_500);
        assertEquals(new Quota(10, 5), bucket.limit(11_400));
        assertEquals(new Quota(40, 5), bucket.limit(10_500 + TokenBucket.VERSION_OVERLAP_MILLIS));
    }

    /** A request of an instance with an older configuration must not bring back a higher limit. */
    @Test
    void olderVersionDoesNotRaiseTheLimit() {
        TokenBucket bucket = new TokenBucket(6, new Quota(2, 2), 0, 0);
        bucket.applyQuota(5, new Quota(100, 100), 1_000);
        assertEquals(new Quota(2, 2), bucket.limit(1_000));
        assertEquals(2, bucket.take(100, 60_000));
    }

    @Property
    void tokensOfAnyIntervalAreWithinTheQuota(@ForAll long seed) {
        Random random = new Random(seed);
        Quota quota = new Quota(1 + random.nextInt(200), random.nextInt(200));
        TokenBucket bucket = new TokenBucket(1, quota, 10, 0);
        long[] at = new long[200];
        int[] taken = new int[at.length];
        long now = 0;
        for (int i = 0; i < at.length; i++) {
            now += random.nextInt(random.nextInt(10) == 0 ? 3_000 : 30);
            at[i] = now;
            taken[i] = bucket.take(random.nextInt(50), now);
        }
        for (int first = 0; first < at.length; first++) {
            long sum = 0;
            for (int last = first; last < at.length; last++) {
                sum += taken[last];
                double limit = quota.requestsPerSecond() * (at[last] - at[first]) / 1_000 + quota.burst() + 10;
                assertTrue(sum <= limit + 1e-6, "took " + sum + " of " + limit);
            }
        }
    }
}
