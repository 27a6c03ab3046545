package org.jackdawslip.internal.gateway;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.traffic.HostRoute;

/** Writes the log lines about one request. Confined to the event loop. */
final class RequestRecords {

    /**
     * One send of the request. Immutable and thread-safe.
     *
     * @param backend the server, or null if there was no send
     * @param sentAfterMillis time from the arrival of the request to the send
     * @param busyAtSend requests that the server seemed to have when it was chosen
     */
    record Send(BackendServerId backend, Long sentAfterMillis, Double busyAtSend) {
        static final Send NONE = new Send(null, null, null);
    }

    private final EventLog log;
    private final String id;
    private String route;
    private ServiceName service;
    private Integer key;

    RequestRecords(EventLog log, String id) {
        this.log = log;
        this.id = id;
    }

    /** Takes what is known once a route was found. */
    void about(HostRoute found, ServiceName chosen, int keySlot) {
        route = found.name();
        service = chosen;
        key = keySlot == ServerChoice.NO_KEY ? null : keySlot;
    }

    void sentAgain(Send failed, String cause, long afterMillis, double budgetLeft) {
        log.info(
                "request-sent-again",
                "request",
                id,
                "route",
                route,
                "service",
                service,
                "backend",
                failed.backend(),
                "cause",
                cause,
                "afterMillis",
                afterMillis,
                "budgetLeft",
                Math.round(budgetLeft));
    }

    void failed(Send last, int status, ErrorCode code, String reason, int sends, long afterMillis) {
        log.info(
                "request-failed",
                "request",
                id,
                "route",
                route,
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
                sends,
                "backend",
                last.backend(),
                "sentAfterMillis",
                last.sentAfterMillis(),
                "busyAtSend",
                last.busyAtSend(),
                "afterMillis",
                afterMillis);
    }

    void late(Send send, long lateMillis, double serverPace) {
        log.info(
                "request-late",
                "request",
                id,
                "route",
                route,
                "service",
                service,
                "key",
                key,
                "backend",
                send.backend(),
                "lateMillis",
                lateMillis,
                "sentAfterMillis",
                send.sentAfterMillis(),
                "busyAtSend",
                send.busyAtSend(),
                "serverPace",
                serverPace);
    }

    /** The sends of all instances to a cold server within a second count together. */
    void sentToCold(Send send, long coldMillis, int sentInLastSecond, int liveInstances) {
        log.info(
                "request-to-cold-backend",
                "request",
                id,
                "route",
                route,
                "service",
                service,
                "key",
                key,
                "backend",
                send.backend(),
                "coldMillis",
                coldMillis,
                "sentInLastSecond",
                sentInLastSecond,
                "liveInstances",
                liveInstances);
    }

    /** The server is avoided from now on, because of what happened to this request. */
    void avoided(Send send, String cause, long pauseMillis) {
        log.warn(
                "backend-avoided",
                "request",
                id,
                "backend",
                send.backend(),
                "service",
                service,
                "cause",
                cause,
                "pauseMillis",
                pauseMillis);
    }

    void callerLeft(long afterMillis) {
        log.info("request-caller-left", "request", id, "afterMillis", afterMillis);
    }

    void otherAnswer(Send send, String got) {
        log.warn("answer-of-other-request", "request", id, "backend", send.backend(), "got", got);
    }
}
