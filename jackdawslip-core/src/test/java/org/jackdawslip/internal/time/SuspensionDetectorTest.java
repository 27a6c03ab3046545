package org.jackdawslip.internal.time;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against an age on the monotonic clock that omits the time for which the host was suspended. */
class SuspensionDetectorTest {

    private long monotonic = 1_000;
    private long wall = 1_000_000;
    private final SuspensionDetector detector = new SuspensionDetector(() -> monotonic, () -> wall);

    private void advance(long millis) {
        monotonic += millis;
        wall += millis;
    }

    @Test
    void suspensionInvalidatesEarlierTimesOnly() {
        long before = monotonic;
        assertTrue(detector.noneSince(before));
        advance(10);
        wall += 3_000;
        assertFalse(detector.noneSince(before));
        advance(1);
        assertTrue(detector.noneSince(monotonic));
        assertFalse(detector.noneSince(before));
    }

    /** The call started before the suspension, and a check came before its response. */
    @Test
    void callThatWasPendingDuringASuspensionStaysInvalidAfterACheck() {
        long sentAt = monotonic;
        advance(5);
        wall += 10_000;
        assertFalse(detector.noneSince(monotonic - 1));
        advance(5);
        assertFalse(detector.noneSince(sentAt));
    }

    @Test
    void stepsOfTheWallClockCountInBothDirections() {
        long before = monotonic;
        advance(10);
        wall -= 3_600_000;
        assertFalse(detector.noneSince(before));
        advance(10);
        long after = monotonic;
        advance(10);
        wall += 3_600_000;
        assertFalse(detector.noneSince(after));
    }

    /** Each of the suspensions is below the threshold; together they are longer than a second. */
    @Test
    void manyShortSuspensionsAreDetected() {
        long before = monotonic;
        long hidden = 0;
        boolean detected = false;
        for (int i = 0; i < 40 && !detected; i++) {
            advance(100);
            wall += 30;
            hidden += 30;
            detected = !detector.noneSince(before);
        }
        assertTrue(detected);
        assertTrue(hidden <= detector.maxUndetectedMillis(5_000), "hidden " + hidden);
    }

    /** A wall clock that is adjusted by 500 ppm deviates by 1.8 s in an hour. */
    @Test
    void slowAdjustmentOfTheWallClockIsNoSuspension() {
        long before = monotonic;
        for (int second = 0; second < 7_200; second++) {
            advance(1_000);
            if (second % 2 == 0) {
                wall += 1;
            }
            assertTrue(detector.noneSince(before), "after " + second + " s");
        }
    }

    /** A process without processor time between the readings of both clocks is no suspension. */
    @Test
    void delayBetweenTheReadingsIsNoSuspension() {
        long[] delays = {0, 300, 0, 0};
        int[] reading = new int[1];
        long[] now = {1_000};
        SuspensionDetector delayed = new SuspensionDetector(() -> now[0], () -> {
            now[0] += delays[Math.min(reading[0]++, delays.length - 1)];
            return 5_000 + now[0];
        });
        long before = now[0];
        assertTrue(delayed.noneSince(before));
        assertTrue(delayed.noneSince(before));
    }

    @Test
    void undetectedTimeGrowsWithTheInterval() {
        assertEquals(200, detector.maxUndetectedMillis(5_000));
        assertEquals(300, detector.maxUndetectedMillis(5_001));
        assertEquals(200, detector.maxUndetectedMillis(1));
    }
}
