package org.jackdawslip.internal.time;

/**
 * Detects suspensions of the host, which the monotonic clock does not count, and steps of the wall clock, which cannot
 * be told from them, by the difference between both clocks.
 *
 * <p>The difference is compared with a reference that is kept for {@link #REFERENCE_MILLIS}, so that many short
 * suspensions in a row are detected like a long one, while a wall clock that is adjusted slowly is not taken for a
 * suspension. Unlike {@link LeaseGuard} it remembers when it detected a suspension, so that a call that was pending
 * during the suspension does not count after a check between its start and its response. Not thread-safe.
 */
public final class SuspensionDetector {

    /** A larger change of the difference between the clocks counts as a suspension. */
    private static final long THRESHOLD_MILLIS = 100;
    /** Time for which a reference is kept. A wall clock that is adjusted by 500 ppm deviates by 2.5 ms in it. */
    private static final long REFERENCE_MILLIS = 5_000;
    /**
     * A delay of the process between the readings of both clocks changes the difference, so the clocks are read again
     * after a longer delay.
     */
    private static final long MAX_READING_MILLIS = 10;

    private static final int MAX_READINGS = 3;

    private final MonotonicClock clock;
    private final WallClock wallClock;
    private long referenceDifferenceMillis;
    private long referenceAtMillis;
    private long detectedAtMillis = Long.MIN_VALUE;

    /** Creates a detector of suspensions from now on. */
    public SuspensionDetector(MonotonicClock clock, WallClock wallClock) {
        this.clock = clock;
        this.wallClock = wallClock;
        setReference(readDifference());
    }

    /**
     * Returns whether no suspension was detected at or after the monotonic time in milliseconds. A suspension is
     * detected by the first call after it, and that call returns false for all earlier times.
     */
    public boolean noneSince(long monotonicMillis) {
        check();
        return detectedAtMillis < monotonicMillis;
    }

    /** Returns the longest time in milliseconds for which the host may be suspended undetected within a time. */
    public long maxUndetectedMillis(long withinMillis) {
        return THRESHOLD_MILLIS * (1 + (withinMillis + REFERENCE_MILLIS - 1) / REFERENCE_MILLIS);
    }

    private void check() {
        long difference = readDifference();
        if (Math.abs(difference - referenceDifferenceMillis) > THRESHOLD_MILLIS) {
            detectedAtMillis = clock.millis();
            setReference(difference);
        } else if (clock.millis() - referenceAtMillis >= REFERENCE_MILLIS) {
            setReference(difference);
        }
    }

    private void setReference(long difference) {
        referenceDifferenceMillis = difference;
        referenceAtMillis = clock.millis();
    }

    private long readDifference() {
        for (int reading = 1; ; reading++) {
            long before = clock.millis();
            long difference = wallClock.millis() - before;
            if (clock.millis() - before <= MAX_READING_MILLIS || reading == MAX_READINGS) {
                return difference;
            }
        }
    }
}
