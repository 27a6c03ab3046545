package org.jackdawslip.internal.time;

/** A clock for intervals that never decreases. Its origin is arbitrary. Implementations are thread-safe. */
@FunctionalInterface
public interface MonotonicClock {

    /** Returns the time in milliseconds. */
    long millis();
}
