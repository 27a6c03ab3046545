package org.jackdawslip.internal.concurrent;

import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.DefaultThreadFactory;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.internal.time.TimerService;
import org.tinylog.Logger;

/**
 * A timer service that runs all actions on one daemon thread.
 *
 * <p>Actions must be short, because they delay each other. An exception of an action is logged, and a
 * periodic action is called again after its interval. After {@link #close} no action starts, and new
 * subscriptions are rejected. Thread-safe.
 */
public final class ExecutorTimerService implements TimerService, AutoCloseable {

    private final ScheduledThreadPoolExecutor executor;

    /** Starts the service with a thread of the given name. */
    public ExecutorTimerService(String threadName) {
        executor = new ScheduledThreadPoolExecutor(1, new DefaultThreadFactory(threadName, true));
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    @Override
    public Subscription after(Duration delay, Runnable action) {
        return subscription(
                executor.schedule(loggingExceptions(action), Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS));
    }

    // Uses a fixed delay: with a fixed rate, all calls missed during a pause of the process would run at once
    // after it.
    @Override
    public Subscription every(Duration interval, Runnable action) {
        if (interval.isZero() || interval.isNegative()) {
            throw new JackdawslipException(ErrorCode.INVALID_ARGUMENT, "interval " + interval + " is not positive");
        }
        long nanos = interval.toNanos();
        return subscription(
                executor.scheduleWithFixedDelay(loggingExceptions(action), nanos, nanos, TimeUnit.NANOSECONDS));
    }

    // The executor silently cancels a periodic action that throws.
    private static Runnable loggingExceptions(Runnable action) {
        return () -> {
            try {
                action.run();
            } catch (RuntimeException e) {
                Logger.error(e, "uncaught exception in a timer action");
            }
        };
    }

    private static Subscription subscription(Future<?> future) {
        return () -> future.cancel(false);
    }

    @Override
    public void close() {
        executor.shutdown();
    }
}
