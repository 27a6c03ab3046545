package org.jackdawslip.internal.concurrent;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.tinylog.Logger;

/**
 * The single thread that runs all decisions of an instance in the order of their submission.
 *
 * <p>Invariant: no two tasks overlap. After {@link #close} tasks that are already queued still run, and new
 * ones are rejected with {@link ErrorCode#STOPPING}. Thread-safe.
 *
 * <pre>{@code
 * decisions.call(() -> coordinator.status()).thenAccept(this::write);
 * }</pre>
 */
public final class DecisionThread implements Executor, AutoCloseable {

    private final ThreadPoolExecutor executor;
    private volatile Thread thread;

    /** Starts a daemon thread of the given name. */
    public DecisionThread(String name) {
        executor = new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), task -> {
            Thread created = new Thread(task, name);
            created.setDaemon(true);
            thread = created;
            return created;
        });
        executor.prestartAllCoreThreads();
    }

    /**
     * Submits a task. An exception that the task throws is logged.
     *
     * @throws JackdawslipException with {@link ErrorCode#STOPPING} after {@link #close}
     */
    @Override
    public void execute(Runnable task) {
        try {
            executor.execute(() -> runLoggingExceptions(task));
        } catch (RejectedExecutionException e) {
            throw stoppingException(e);
        }
    }

    /**
     * Submits a task with a result.
     *
     * @return a future that completes with the result or with the exception of the task, or after
     *     {@link #close} with a {@link JackdawslipException} with {@link ErrorCode#STOPPING}
     */
    public <T> CompletableFuture<T> call(Supplier<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        try {
            executor.execute(() -> {
                try {
                    result.complete(task.get());
                } catch (Throwable e) {
                    result.completeExceptionally(e);
                }
            });
        } catch (RejectedExecutionException e) {
            result.completeExceptionally(stoppingException(e));
        }
        return result;
    }

    /**
     * Checks that the current thread is this decision thread.
     *
     * @throws IllegalStateException if it is another thread, which is a fault in the calling code
     */
    public void assertOnThread() {
        if (Thread.currentThread() != thread) {
            throw new IllegalStateException("must be called on thread " + thread.getName() + ", was called on thread "
                    + Thread.currentThread().getName());
        }
    }

    /** Returns the number of queued tasks. */
    public int queuedTasks() {
        return executor.getQueue().size();
    }

    private static void runLoggingExceptions(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            // The executor would replace a thread that an exception ended, and assertOnThread depends on its
            // identity.
            Logger.error(e, "uncaught exception in a task of the decision thread");
        }
    }

    private static JackdawslipException stoppingException(RejectedExecutionException cause) {
        return new JackdawslipException(ErrorCode.STOPPING, "the instance is stopping", cause);
    }

    @Override
    public void close() {
        executor.shutdown();
    }
}
