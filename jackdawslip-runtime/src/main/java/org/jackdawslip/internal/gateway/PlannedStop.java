package org.jackdawslip.internal.gateway;

import org.jackdawslip.internal.traffic.RequestKind;

/**
 * The time that a planned stop leaves for requests. Requests that are still open at its end are answered then, before
 * the process exits.
 *
 * <p>Invariant: a request that cannot be expected to end in time is refused before any attempt. Confined to the event
 * loop.
 */
final class PlannedStop {

    private static final long NOT_STOPPING = Long.MAX_VALUE;

    /**
     * The expected time of an attempt has to fit this often into the rest of the stop. If a request that runs at most
     * once is cut, its caller cannot repeat it, so more time is reserved for it.
     */
    private static final double AT_MOST_ONCE_TIME_FACTOR = 4;

    private static final double REPEATABLE_TIME_FACTOR = 2;

    private long endsAt = NOT_STOPPING;

    /** Starts the stop; open requests are answered at the given monotonic time in milliseconds. */
    void start(long newEndsAt) {
        endsAt = newEndsAt;
    }

    /** Returns when open requests are answered, or {@link Long#MAX_VALUE} if the instance is not stopping. */
    long endsAt() {
        return endsAt;
    }

    /** Returns whether an attempt that is expected to take the given time may be started. */
    boolean admits(RequestKind kind, double expectedMillis, long now) {
        double factor = kind.repeatable() ? REPEATABLE_TIME_FACTOR : AT_MOST_ONCE_TIME_FACTOR;
        return endsAt == NOT_STOPPING || now + factor * expectedMillis < endsAt;
    }
}
