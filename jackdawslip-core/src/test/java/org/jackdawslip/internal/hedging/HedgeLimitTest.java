package org.jackdawslip.internal.hedging;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against more hedged attempts than the operators allow. */
class HedgeLimitTest {

    /** A part that is left over from each window must not be lost: an instance with few requests hedges one of many. */
    @Test
    void fewRequestsAddUpToOneHedge() {
        HedgeLimit limit = new HedgeLimit(0.05);
        int hedges = 0;
        for (int i = 0; i < 200; i++) {
            limit.recordRequest(i * 2_000L);
            hedges += limit.tryTake(i * 2_000L) ? 1 : 0;
        }
        assertEquals(10, hedges);
    }

    /** An unused limit must not grow into a burst of hedges. */
    @Test
    void unusedLimitDoesNotGrowBeyondAWindow() {
        HedgeLimit limit = new HedgeLimit(0.1);
        for (int i = 0; i < 10_000; i++) {
            limit.recordRequest(i * 10L);
        }
        int hedges = 0;
        while (limit.tryTake(100_000)) {
            hedges++;
        }
        assertTrue(hedges >= 90 && hedges <= 105, hedges + " hedges");
    }

    /** What is left over from earlier must not come on top of the share of a window. */
    @Test
    void savedUpLimitIsPartOfTheShareOfAWindow() {
        HedgeLimit limit = new HedgeLimit(0.1);
        for (int i = 0; i < 2_000; i++) {
            limit.recordRequest(i * 10L);
        }
        int hedges = 0;
        for (int i = 2_000; i < 3_000; i++) {
            limit.recordRequest(i * 10L);
            hedges += limit.tryTake(i * 10L) ? 1 : 0;
        }
        assertTrue(hedges <= 105, hedges + " hedges");
    }

    /** With few requests a window permits one hedge, which must not be used in every window after a quiet time. */
    @Test
    void savedUpLimitOfFewRequestsIsOneHedge() {
        HedgeLimit limit = new HedgeLimit(0.05);
        int hedges = 0;
        for (int i = 0; i < 2_100; i++) {
            limit.recordRequest(i * 2_000L);
            hedges += i >= 2_000 && limit.tryTake(i * 2_000L) ? 1 : 0;
        }
        assertTrue(hedges <= 1 + 5, hedges + " hedges");
    }

    @Test
    void zeroSwitchesHedgingOff() {
        HedgeLimit limit = new HedgeLimit(0);
        for (int i = 0; i < 1_000; i++) {
            limit.recordRequest(i);
        }
        assertFalse(limit.tryTake(1_000));
    }

    /**
     * The sum over all instances must stay within the share, in every window and since the start, however the requests
     * are spread and although every instance hedges whenever it may.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 12, 63, 300})
    void sumOverAllInstancesStaysWithinTheShare(int instances) {
        for (long seed = 1; seed <= 5; seed++) {
            Random random = new Random(seed);
            double share = 0.01 + 0.1 * random.nextDouble();
            List<HedgeLimit> limits = new ArrayList<>();
            for (int i = 0; i < instances; i++) {
                limits.add(new HedgeLimit(share));
            }
            ArrayDeque<Long> requests = new ArrayDeque<>();
            ArrayDeque<Long> hedges = new ArrayDeque<>();
            long totalRequests = 0;
            long totalHedges = 0;
            for (long now = 0; now < 60_000; now++) {
                double rate = now / 7_000 % 3 == 1 ? 2.6 : 1;
                while (random.nextDouble() < rate / (1 + rate)) {
                    HedgeLimit limit = limits.get((int) (instances * Math.pow(random.nextDouble(), 3)));
                    limit.recordRequest(now);
                    requests.add(now);
                    totalRequests++;
                    if (limit.tryTake(now)) {
                        hedges.add(now);
                        totalHedges++;
                    }
                }
                // The window of an instance is at most a twentieth longer than that of the users.
                removeBefore(requests, now - HedgeLimit.WINDOW_MILLIS * 21 / 20);
                removeBefore(hedges, now - HedgeLimit.WINDOW_MILLIS);
                long windowRequests = requests.size();
                long windowHedges = hedges.size();
                long time = now;
                long seedUsed = seed;
                assertTrue(
                        windowHedges <= share * windowRequests + instances,
                        () -> "seed " + seedUsed + ": " + windowHedges + " hedges, " + windowRequests + " requests at "
                                + time);
                assertTrue(totalHedges <= share * totalRequests + 1e-6, "seed " + seed + " at " + now);
            }
            assertTrue(totalHedges > 0, "seed " + seed + ": no hedges");
        }
    }

    private static void removeBefore(ArrayDeque<Long> times, long start) {
        while (!times.isEmpty() && times.peekFirst() <= start) {
            times.removeFirst();
        }
    }
}
