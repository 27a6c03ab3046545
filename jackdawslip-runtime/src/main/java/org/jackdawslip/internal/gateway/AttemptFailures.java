package org.jackdawslip.internal.gateway;

import java.util.function.Supplier;

import org.jackdawslip.internal.balance.BackendTracker;

/**
 * Records what the failures of one attempt say about its backend server, and logs when they make this instance
 * avoid the server. Confined to the event loop.
 */
final class AttemptFailures {

    private final BackendTracker tracker;
    private final boolean keyed;
    private final RequestLog requestLog;
    private final Supplier<RequestLog.AttemptSummary> summary;

    AttemptFailures(
            BackendTracker tracker, boolean keyed, RequestLog requestLog, Supplier<RequestLog.AttemptSummary> summary) {
        this.tracker = tracker;
        this.keyed = keyed;
        this.requestLog = requestLog;
        this.summary = summary;
    }

    /** Records that the attempt was abandoned because its response was overdue. */
    void recordOverdue(long now) {
        logIfAvoided("responses are overdue", now, () -> tracker.recordOverdue(now));
    }

    /** Records that the server is not the expected one or does not own the key. */
    void recordRejection(String cause, long now) {
        logIfAvoided(cause, now, () -> {
            tracker.recordRejection(now);
            if (!keyed) {
                tracker.startPause(now);
            }
        });
    }

    /** Records the failure of an attempt whose request was not sent. */
    void recordFailureBeforeSend(ExchangeFailure failure, long now) {
        switch (failure) {
            case NOT_CONNECTED -> recordUnreachable("connection could not be opened", now);
            case NO_STATEMENT -> recordUnreachable("no valid state report", now);
            case OTHER_SERVER -> recordRejection("address belongs to another server", now);
            default -> tracker.recordAbandoned();
        }
    }

    private void recordUnreachable(String cause, long now) {
        logIfAvoided(cause, now, () -> {
            tracker.recordAbandoned();
            tracker.recordUnreachable(now);
        });
    }

    private void logIfAvoided(String cause, long now, Runnable failure) {
        boolean wasPaused = tracker.paused(now);
        failure.run();
        if (!wasPaused && tracker.paused(now)) {
            requestLog.logServerAvoided(summary.get(), cause, tracker.pauseMillis());
        }
    }
}
