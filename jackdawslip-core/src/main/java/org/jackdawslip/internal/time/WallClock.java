package org.jackdawslip.internal.time;

/** The time of day, which may differ between instances. Implementations are thread-safe. */
@FunctionalInterface
public interface WallClock {

    /** Returns the time in milliseconds since 1970-01-01T00:00:00Z. */
    long millis();
}
