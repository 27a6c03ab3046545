package org.jackdawslip.internal.time;

import java.time.Duration;

/**
 * Runs actions once after a delay or repeatedly.
 *
 * <p>Implementations are thread-safe. Actions of one timer service never run concurrently; runs that were
 * missed because of a delay are not made up for.
 */
public interface TimerService {

    /** Runs the action once after the delay. */
    Subscription after(Duration delay, Runnable action);

    /** Runs the action repeatedly, with the interval in between, until the subscription is cancelled. */
    Subscription every(Duration interval, Runnable action);

    /** Cancels one scheduled action. */
    @FunctionalInterface
    interface Subscription {
        /** Cancels further runs of the action. A run in progress completes. */
        void cancel();
    }
}
