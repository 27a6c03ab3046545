package org.jackdawslip.cli;

import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.jackdawslip.internal.entry.EntryRuntime;
import org.jackdawslip.internal.settings.EntrySettings;

/**
 * Runs an entry instance until the end of its planned stop, which is started by a termination signal or by
 * the command {@code drain}. Thread-safe.
 */
final class InstanceLauncher implements EntryLauncher {

    private static final Duration PLANNED_STOP_TIMEOUT = Duration.ofSeconds(10);

    @Override
    public void run(EntrySettings settings) {
        EntryRuntime runtime = EntryRuntime.start(settings, PLANNED_STOP_TIMEOUT);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> awaitStop(runtime), "planned-stop"));
        runtime.stopped().join();
        runtime.close();
    }

    /**
     * Starts the planned stop and keeps the process alive until the stop is complete, at most for the
     * time-out.
     */
    private static void awaitStop(EntryRuntime runtime) {
        try {
            // One second more than the time-out of the runtime, so that the runtime can end the stop itself.
            runtime.stop().get(PLANNED_STOP_TIMEOUT.toMillis() + 1000, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            System.err.println("planned stop failed: " + e.getMessage());
        }
    }
}
