package org.jackdawslip.internal.gateway;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.time.MonotonicClock;

/**
 * The objects that all components of a gateway share. Immutable; the components are confined to the event
 * loop.
 *
 * @param settings the settings
 * @param loop the event loop
 * @param clock the monotonic clock
 * @param log the event log
 * @param adapter the translation of the platform's formats
 * @param store the platform's store
 */
record GatewayContext(
        GatewaySettings settings,
        EventLoop loop,
        MonotonicClock clock,
        EventLog log,
        PlatformAdapter adapter,
        DurableStore store) {

    /**
     * Runs an action periodically. An exception or an error of the action, such as an OutOfMemoryError, is logged and
     * does not end the repetition.
     */
    void every(long intervalMillis, String name, Runnable action) {
        loop.scheduleAtFixedRate(
                () -> {
                    try {
                        action.run();
                    } catch (RuntimeException | Error e) {
                        logFailure(name, e);
                    }
                },
                intervalMillis,
                intervalMillis,
                TimeUnit.MILLISECONDS);
    }

    /** Logs the failure of a task; the log itself may fail for the same reason, for example an exhausted heap. */
    void logFailure(String task, Throwable failure) {
        try {
            log.warnTaskFailure(task, failure);
        } catch (OutOfMemoryError e) {
            // There is no memory for the line. The next failure is logged if there is some by then.
            return;
        }
    }
}
