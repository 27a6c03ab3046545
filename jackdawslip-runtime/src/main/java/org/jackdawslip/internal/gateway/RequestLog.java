package org.jackdawslip.internal.gateway;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.BackendTracker;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.traffic.HostRoute;
import org.jackdawslip.internal.traffic.RequestKind;

/** Writes the log events of one request. Confined to the event loop. */
final class RequestLog {

    /**
     * One attempt of the request. Immutable and thread-safe.
     *
     * @param backend the backend server, or null if there was no attempt
     * @param sentAfterMillis time from the arrival of the request to the attempt, in milliseconds, or null
     * @param estimatedRequests estimated number of requests at the server when the server was selected, or null
     */
    record AttemptSummary(BackendServerId backend, Long sentAfterMillis, Double estimatedRequests) {
        static final AttemptSummary NONE = new AttemptSummary(null, null, null);
    }

    private final EventLog log;
    private final String requestId;
    private String route;
    private RequestKind kind;
    private ServiceName service;
    private Integer key;

    RequestLog(EventLog log, String requestId) {
        this.log = log;
        this.requestId = requestId;
    }

    /**
     * Sets the route with its kind, the service (null if none is selected) and the key slot that the following events
     * contain.
     */
    void setContext(HostRoute hostRoute, ServiceName serviceName, int keySlot) {
        route = hostRoute.name();
        kind = hostRoute.kind();
        service = serviceName;
        key = keySlot == ServerSelector.NO_KEY ? null : keySlot;
    }

    /**
     * Logs that the request is attempted again.
     *
     * @param failed the failed attempt
     * @param afterMillis time from the failed attempt to its failure, in milliseconds
     * @param remainingBudget number of retries that the retry budget still permits
     */
    void logRetry(AttemptSummary failed, String cause, long afterMillis, double remainingBudget) {
        log.info(
                "request-sent-again",
                "request",
                requestId,
                "route",
                route,
                "kind",
                kind,
                "service",
                service,
                "backend",
                failed.backend(),
                "cause",
                cause,
                "afterMillis",
                afterMillis,
                "budgetLeft",
                Math.round(remainingBudget));
    }

    /**
     * Logs that the gateway responds with an error.
     *
     * @param last the last attempt, or {@link AttemptSummary#NONE}
     * @param attemptCount number of attempts that were written to a connection
     * @param afterMillis time since the arrival of the request, in milliseconds
     */
    void logFailure(
            AttemptSummary last, int status, ErrorCode code, String reason, int attemptCount, long afterMillis) {
        // Requests without a valid key or beyond a quota may be many, and have an event, so a limit of lines, of their
        // own.
        log.info(
                code == ErrorCode.UNAUTHORIZED || code == ErrorCode.QUOTA_EXCEEDED
                        ? "request-denied"
                        : "request-failed",
                "request",
                requestId,
                "route",
                route,
                "kind",
                kind,
                "service",
                service,
                "status",
                status,
                "code",
                code,
                "reason",
                reason,
                "outcome",
                code.outcome().text(),
                "key",
                key,
                "sends",
                attemptCount,
                "backend",
                last.backend(),
                "sentAfterMillis",
                last.sentAfterMillis(),
                "busyAtSend",
                last.estimatedRequests(),
                "afterMillis",
                afterMillis);
    }

    /**
     * Logs a response that exceeds the target latency of the route.
     *
     * @param lateMillis time in excess of the target latency, in milliseconds
     * @param slowdownFactor factor by which other workloads on the host of the server slow it down
     */
    void logLateResponse(AttemptSummary attempt, long lateMillis, double slowdownFactor) {
        log.info(
                "request-late",
                "request",
                requestId,
                "route",
                route,
                "kind",
                kind,
                "service",
                service,
                "key",
                key,
                "backend",
                attempt.backend(),
                "lateMillis",
                lateMillis,
                "sentAfterMillis",
                attempt.sentAfterMillis(),
                "busyAtSend",
                attempt.estimatedRequests(),
                "serverPace",
                slowdownFactor);
    }

    /** Logs that a response ended early after a part of it had arrived. */
    void logResponseCut(AttemptSummary attempt, ExchangeFailure failure, long afterMillis) {
        log.warn(
                "response-cut",
                "request",
                requestId,
                "route",
                route,
                "kind",
                kind,
                "service",
                service,
                "backend",
                attempt.backend(),
                "cause",
                failure,
                "afterMillis",
                afterMillis);
    }

    /**
     * Logs an attempt at a cold server. The attempts of all instances within a second count together against
     * the capacity of a cold server.
     *
     * @param server the state of the server, with the requests that this instance sent to it within the last second
     */
    void logSentToColdServer(AttemptSummary attempt, BackendTracker server, long now, int liveInstances) {
        log.info(
                "request-to-cold-backend",
                "request",
                requestId,
                "route",
                route,
                "kind",
                kind,
                "service",
                service,
                "key",
                key,
                "backend",
                attempt.backend(),
                "coldMillis",
                server.remainingColdMillis(now),
                "sentInLastSecond",
                server.recentAttempts(now),
                "liveInstances",
                liveInstances);
    }

    /**
     * Logs that a hedged attempt decided the outcome of the request: the first attempt had failed, or its response
     * would probably have exceeded the target latency.
     *
     * @param elapsedMillis time from the first attempt to the hedged attempt, in milliseconds
     * @param hedgeMillis time from the hedged attempt to its response, in milliseconds
     * @param firstFailed whether the first attempt had failed
     */
    void logDecisiveHedge(AttemptSummary hedge, long elapsedMillis, long hedgeMillis, boolean firstFailed) {
        log.info(
                "request-hedged",
                "request",
                requestId,
                "route",
                route,
                "service",
                service,
                "backend",
                hedge.backend(),
                "elapsedMillis",
                elapsedMillis,
                "hedgeMillis",
                hedgeMillis,
                "firstFailed",
                firstFailed);
    }

    /** Logs that the outcome of this request made the instance avoid the server for the given time. */
    void logServerAvoided(AttemptSummary attempt, String cause, long pauseMillis) {
        log.warn(
                "backend-avoided",
                "request",
                requestId,
                "backend",
                attempt.backend(),
                "service",
                service,
                "cause",
                cause,
                "pauseMillis",
                pauseMillis);
    }

    void logCallerDisconnect(long afterMillis) {
        log.info("request-caller-left", "request", requestId, "afterMillis", afterMillis);
    }

    /**
     * Logs a response that does not belong to the request; returns true.
     *
     * @param receivedId the request id in the response, or a description of the response if it contains none
     */
    boolean logUnrelatedResponse(AttemptSummary attempt, String receivedId) {
        log.warn("answer-of-other-request", "request", requestId, "backend", attempt.backend(), "got", receivedId);
        return true;
    }
}
