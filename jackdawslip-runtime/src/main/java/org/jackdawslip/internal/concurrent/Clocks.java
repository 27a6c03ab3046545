package org.jackdawslip.internal.concurrent;

import java.util.concurrent.TimeUnit;

import org.jackdawslip.internal.time.MonotonicClock;
import org.jackdawslip.internal.time.WallClock;

/** The clocks of the operating system. Stateless and thread-safe. */
public final class Clocks {

    private Clocks() {}

    /** Returns a monotonic clock in milliseconds, which is comparable only within this process. */
    public static MonotonicClock monotonic() {
        return () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Returns the wall clock in milliseconds since the epoch. */
    public static WallClock wall() {
        return System::currentTimeMillis;
    }
}
