package org.jackdawslip.internal.time;

/**
 * Decides whether a lease of this instance is certainly still valid.
 *
 * <p>The term counts from before the call that made or renewed it. The monotonic clock does not count the time for
 * which the machine was suspended, so a jump between it and the time of day ends the validity until the next renewal.
 * Not thread-safe.
 */
public final class LeaseGuard {

    /** Validity ends this much before the term, for the rate error of clocks and the time a call takes. */
    private static final long MARGIN_MILLIS = 300;
    /** Difference between the clocks that counts as a jump. */
    private static final long JUMP_MILLIS = 120;

    private final MonotonicClock clock;
    private final WallClock wallClock;
    private long validUntil = Long.MIN_VALUE;
    private long difference;

    /** Makes a guard of a lease that is not held. */
    public LeaseGuard(MonotonicClock clock, WallClock wallClock) {
        this.clock = clock;
        this.wallClock = wallClock;
        this.difference = wallClock.millis() - clock.millis();
    }

    /** Takes a renewal whose call was sent at the given time of the monotonic clock. */
    public void renewed(long sentAt, long termMillis) {
        if (!jumped()) {
            validUntil = sentAt + termMillis - MARGIN_MILLIS;
        }
    }

    /** Returns whether the lease is certainly valid now. */
    public boolean valid() {
        return !jumped() && clock.millis() < validUntil;
    }

    /** Takes the end of the lease. */
    public void end() {
        validUntil = Long.MIN_VALUE;
    }

    private boolean jumped() {
        long current = wallClock.millis() - clock.millis();
        boolean jumped = Math.abs(current - difference) > JUMP_MILLIS;
        difference = current;
        if (jumped) {
            validUntil = Long.MIN_VALUE;
        }
        return jumped;
    }
}
