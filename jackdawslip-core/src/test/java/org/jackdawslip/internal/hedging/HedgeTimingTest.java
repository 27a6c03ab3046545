package org.jackdawslip.internal.hedging;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against hedges that come too early to be worth their work or too late to help. */
class HedgeTimingTest {

    private static final double EXPECTED_MILLIS = 100;
    private static final double USUAL_MILLIS = 100;
    private static final double TARGET_MILLIS = 400;
    private static final double DEADLINE_MILLIS = 1_200;

    private final HedgeTiming timing = new HedgeTiming();

    private double delayMillis() {
        return timing.delayMillis(EXPECTED_MILLIS, USUAL_MILLIS, TARGET_MILLIS, TARGET_MILLIS, DEADLINE_MILLIS);
    }

    private void record(int count, double millis) {
        for (int i = 0; i < count; i++) {
            timing.recordResponseTime(millis);
        }
    }

    /** Without enough samples the delay must not depend on one or two slow responses. */
    @Test
    void fewSamplesUseTheExpectedTime() {
        record(HedgeTiming.MIN_SAMPLES - 1, 10);
        assertEquals(2.5 * EXPECTED_MILLIS, delayMillis());
        assertEquals(0.45 * TARGET_MILLIS, timing.delayMillis(10, 10, TARGET_MILLIS, TARGET_MILLIS, DEADLINE_MILLIS));
        record(1, 10);
        assertTrue(delayMillis() < 0.45 * TARGET_MILLIS);
    }

    @Test
    void delayFollowsTheSlowestTwentieth() {
        record(90, 120);
        record(10, 250);
        assertEquals(250, delayMillis(), 250 / 8.0);
    }

    @Test
    void fastResponsesAreNotHedgedFarBelowTheTarget() {
        record(100, 20);
        assertEquals(HedgeTiming.MIN_DELAY_SHARE * TARGET_MILLIS, delayMillis());
    }

    /** A slow class must be hedged while the second response can still be on time. */
    @Test
    void delayEndsWhenTheHedgeCanStillBeOnTime() {
        record(100, 380);
        assertEquals(TARGET_MILLIS - USUAL_MILLIS, delayMillis());
    }

    /** A retry that starts late has no time left for a second response within the target, but may meet the deadline. */
    @Test
    void lateAttemptIsHedgedBeforeTheDeadline() {
        record(100, 900);
        assertEquals(500 - USUAL_MILLIS, timing.delayMillis(EXPECTED_MILLIS, USUAL_MILLIS, TARGET_MILLIS, 150, 500));
    }

    /** Hedges that never respond first cost work without benefit, so they must become as rare as without the quantile. */
    @Test
    void delayGrowsWhileHedgesLose() {
        record(100, 120);
        double shortest = delayMillis();
        for (int i = 0; i < 100; i++) {
            timing.recordHedge(false);
        }
        assertEquals(2.5 * EXPECTED_MILLIS, delayMillis());
        for (int i = 0; i < 20; i++) {
            timing.recordHedge(true);
        }
        assertEquals(shortest, delayMillis());
    }
}
