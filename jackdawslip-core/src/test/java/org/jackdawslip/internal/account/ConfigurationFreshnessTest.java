package org.jackdawslip.internal.account;

import java.util.Random;

import org.jackdawslip.internal.time.SuspensionDetector;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a key that is accepted later than the time limit after the configuration that revoked it. */
class ConfigurationFreshnessTest {

    private static final long LIMIT_MILLIS = 5_000;
    private static final int HISTORIES = 2_000;
    private static final int STEPS = 200;

    private long monotonic = 1_000;
    private long wall = 1_000_000;
    private final ConfigurationFreshness freshness = create();

    private ConfigurationFreshness create() {
        return new ConfigurationFreshness(
                () -> monotonic, new SuspensionDetector(() -> monotonic, () -> wall), LIMIT_MILLIS);
    }

    private void advance(long millis) {
        monotonic += millis;
        wall += millis;
    }

    private void recordCurrentView() {
        freshness.recordStoredConfiguration(true);
        freshness.recordView(monotonic);
    }

    @Test
    void isRecentUpToTheLargestAge() {
        recordCurrentView();
        advance(freshness.maxAgeMillis());
        assertTrue(freshness.isRecent());
        advance(1);
        assertFalse(freshness.isRecent());
        recordCurrentView();
        assertTrue(freshness.isRecent());
    }

    /** An instance that refuses earlier than necessary refuses during an outage of the store of 3 s. */
    @Test
    void largestAgeLeavesOnlyTheErrorsOfTheClocks() {
        assertEquals(4_700, freshness.maxAgeMillis());
    }

    @Test
    void restartedInstanceIsNotRecent() {
        recordCurrentView();
        assertFalse(create().isRecent());
    }

    @Test
    void ageCountsFromTheStartOfTheCall() {
        long sentAt = monotonic;
        freshness.recordStoredConfiguration(true);
        advance(1_000);
        freshness.recordView(sentAt);
        advance(freshness.maxAgeMillis() - 1_000);
        assertTrue(freshness.isRecent());
        advance(1);
        assertFalse(freshness.isRecent());
    }

    /** A view passed on by a peer may arrive after a newer one of the store. */
    @Test
    void olderViewDoesNotReplaceANewerOne() {
        recordCurrentView();
        freshness.recordView(monotonic - 900);
        advance(freshness.maxAgeMillis());
        assertTrue(freshness.isRecent());
    }

    @Test
    void oldViewOfAPeerIsNotRecent() {
        freshness.recordStoredConfiguration(true);
        freshness.recordView(monotonic - freshness.maxAgeMillis() - 1);
        assertFalse(freshness.isRecent());
    }

    @Test
    void suspensionEndsValidityUntilALaterCall() {
        recordCurrentView();
        advance(10);
        long sentAt = monotonic;
        wall += 4_000;
        assertFalse(freshness.isRecent());
        advance(10);
        freshness.recordView(sentAt);
        assertFalse(freshness.isRecent());
        recordCurrentView();
        assertTrue(freshness.isRecent());
    }

    @Test
    void stepsOfTheWallClockEndValidityUntilALaterCall() {
        recordCurrentView();
        advance(10);
        wall -= 86_400_000;
        assertFalse(freshness.isRecent());
        advance(10);
        recordCurrentView();
        assertTrue(freshness.isRecent());
    }

    @Test
    void unusableConfigurationGrowsOldWhileTheStoreAnswers() {
        recordCurrentView();
        freshness.recordStoredConfiguration(false);
        for (long age = 100; age <= freshness.maxAgeMillis(); age += 100) {
            advance(100);
            freshness.recordView(monotonic);
            assertTrue(freshness.isRecent(), "age " + age);
        }
        advance(100);
        freshness.recordView(monotonic);
        assertFalse(freshness.isRecent());
        recordCurrentView();
        assertTrue(freshness.isRecent());
    }

    /**
     * The worst history: the monotonic clock is 2 % slow, and the host is suspended undetected on both sides of a
     * change of the reference of the detector.
     */
    @Test
    void errorsOfTheClocksTogetherStayWithinTheLimit() {
        long suspensionMillis = 99;
        double[] running = {0};
        double[] real = {0};
        ConfigurationFreshness tested = new ConfigurationFreshness(
                () -> (long) (0.98 * running[0]),
                new SuspensionDetector(() -> (long) (0.98 * running[0]), () -> (long) (0.98 * running[0] + real[0])),
                LIMIT_MILLIS);
        running[0] += 2_600;
        tested.recordStoredConfiguration(true);
        tested.recordView((long) (0.98 * running[0]));
        real[0] += suspensionMillis;
        running[0] += 2_600;
        assertTrue(tested.isRecent());
        real[0] += suspensionMillis;
        running[0] += LIMIT_MILLIS - 2_600 - 2 * suspensionMillis;
        assertFalse(tested.isRecent());
    }

    /** No request asks in an hour in which the wall clock is adjusted by 500 ppm. */
    @Test
    void slowAdjustmentOfTheWallClockIsNoSuspensionAtAnIdleInstance() {
        for (int second = 0; second < 3_600; second++) {
            advance(1_000);
            wall += second % 2;
            recordCurrentView();
        }
        assertTrue(freshness.isRecent());
    }

    /**
     * Compares the decision with the real time in random histories of calls, suspensions, clock steps and a monotonic
     * clock that is 2 % slow: while it is recent, a key that was revoked longer than the limit ago is known as revoked.
     */
    @Test
    void neverRecentWithAViewOlderThanTheLimit() {
        int recentChecks = 0;
        for (long seed = 1; seed <= HISTORIES; seed++) {
            Random random = new Random(seed);
            double[] real = {0};
            double[] running = {0};
            double[] step = {0};
            double rate = 0.98 + 0.04 * random.nextDouble();
            long[] wallOffset = {1_000_000 + random.nextInt(1_000_000)};
            ConfigurationFreshness tested = new ConfigurationFreshness(
                    () -> (long) (running[0] * rate),
                    new SuspensionDetector(
                            () -> (long) (running[0] * rate), () -> (long) (wallOffset[0] + real[0] * rate + step[0])),
                    LIMIT_MILLIS);
            tested.recordStoredConfiguration(true);
            double knownUntil = Double.NEGATIVE_INFINITY;
            double callSentReal = -1;
            long callSentAt = 0;
            for (int i = 0; i < STEPS; i++) {
                double millis = random.nextInt(400);
                real[0] += millis;
                running[0] += millis;
                int action = random.nextInt(100);
                if (action < 30) {
                    callSentReal = real[0];
                    callSentAt = (long) (running[0] * rate);
                } else if (action < 55 && callSentReal >= 0) {
                    tested.recordView(callSentAt);
                    knownUntil = Math.max(knownUntil, callSentReal);
                } else if (action < 60) {
                    real[0] += random.nextInt(20) * random.nextInt(500);
                } else if (action < 63) {
                    real[0] += 30 + random.nextInt(60);
                } else if (action < 65) {
                    step[0] += random.nextInt(20_000) - 10_000;
                }
                if (random.nextInt(3) > 0 && tested.isRecent()) {
                    recentChecks++;
                    double age = real[0] - knownUntil;
                    assertTrue(age <= LIMIT_MILLIS, "seed " + seed + ", step " + i + ", age " + age);
                }
            }
        }
        assertTrue(recentChecks > HISTORIES, "checks with a recent view: " + recentChecks);
    }
}
