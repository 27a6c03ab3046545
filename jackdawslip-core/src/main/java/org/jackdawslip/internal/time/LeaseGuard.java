package org.jackdawslip.internal.time;

/**
 * Decides whether a lease of this instance is certainly still valid. Not thread-safe.
 *
 * <p>The term counts from the time at which the call that created or renewed the lease was sent. The
 * monotonic clock does not advance while the host is suspended, so a jump of the difference between wall
 * clock and monotonic clock ends the validity until the response to a renewal that was sent after the jump was
 * detected.
 */
public final class LeaseGuard {

    /**
     * Validity ends this long before the term, to allow for the rate error of clocks and the duration of a
     * call.
     */
    private static final long SAFETY_MARGIN_MILLIS = 300;
    /** A larger change of the difference between the clocks counts as a jump. */
    private static final long CLOCK_JUMP_THRESHOLD_MILLIS = 120;

    private final MonotonicClock clock;
    private final WallClock wallClock;
    private long validUntilMillis = Long.MIN_VALUE;
    private long clockDifferenceMillis;
    /** Monotonic time at which the last jump was detected. The term of earlier calls may have ended. */
    private long jumpDetectedAt = Long.MIN_VALUE;

    /** Creates the guard of a lease that is not held. */
    public LeaseGuard(MonotonicClock clock, WallClock wallClock) {
        this.clock = clock;
        this.wallClock = wallClock;
        this.clockDifferenceMillis = wallClock.millis() - clock.millis();
    }

    /**
     * Records a renewal of the lease. It has no effect if the clocks jumped after the call was sent.
     *
     * @param sentAt the monotonic time in milliseconds at which the call was sent
     * @param termMillis the term of the lease in milliseconds
     */
    public void recordRenewal(long sentAt, long termMillis) {
        if (!detectClockJump() && sentAt >= jumpDetectedAt) {
            validUntilMillis = sentAt + termMillis - SAFETY_MARGIN_MILLIS;
        }
    }

    /** Returns whether the lease is certainly valid now. */
    public boolean isValid() {
        return !detectClockJump() && clock.millis() < validUntilMillis;
    }

    /** Records the end of the lease. */
    public void recordEnd() {
        validUntilMillis = Long.MIN_VALUE;
    }

    /** Returns whether the clocks jumped since the last check, which also ends the validity. */
    private boolean detectClockJump() {
        long current = wallClock.millis() - clock.millis();
        boolean jumped = Math.abs(current - clockDifferenceMillis) > CLOCK_JUMP_THRESHOLD_MILLIS;
        clockDifferenceMillis = current;
        if (jumped) {
            validUntilMillis = Long.MIN_VALUE;
            jumpDetectedAt = clock.millis();
        }
        return jumped;
    }
}
