package org.jackdawslip.internal.gateway;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.AdmissionDecision;
import org.jackdawslip.internal.balance.BackendTracker;
import org.jackdawslip.internal.balance.RequestClass;
import org.jackdawslip.internal.traffic.HostRoute;

/**
 * The deadline of one request, and the decision whether an attempt at a server is worth starting.
 *
 * <p>Confined to the event loop.
 */
final class AttemptAdmission {

    /** The attempts of the request before the one to decide on. */
    enum EarlierAttempts {
        /** No server was chosen before. */
        NONE,
        /** Servers were chosen, and the request did not run. It may wait until the deadline, and leaves room too. */
        NOT_RUN,
        /**
         * The request may have run. A refusal would leave its outcome unknown, so it does not leave room for more
         * urgent ones.
         */
        MAY_HAVE_RUN
    }

    private final RequestComponents components;
    private final HostRoute route;
    private final RequestClass requestClass;
    private final long deadlineAt;
    /** Latest time of the expected response at which the first attempt may wait in the queue of a server. */
    private final long queueUntil;

    /**
     * Creates the admission of a request.
     *
     * @param priority the priority of the client account, or of the route if the request has no account
     */
    AttemptAdmission(
            RequestComponents components, HostRoute route, ServiceName service, int priority, CallerRequest request) {
        this.components = components;
        this.route = route;
        this.requestClass = new RequestClass(service, priority, route.targetLatencyMillis(), route.timeoutMillis());
        Long requestedTimeoutMillis =
                request.numericHeader(components.adapter().headers().remainingMillis());
        long callerTimeoutMillis = requestedTimeoutMillis == null ? route.timeoutMillis() : requestedTimeoutMillis;
        deadlineAt = Math.min(
                request.receivedAt() + Math.min(callerTimeoutMillis, route.timeoutMillis()),
                components.plannedStop().endsAt());
        queueUntil = request.receivedAt()
                + components
                        .routing()
                        .admission()
                        .responseTimeLimitMillis(
                                route.name(),
                                requestClass,
                                callerTimeoutMillis,
                                components.clock().millis());
    }

    /** Returns the time after which the caller no longer waits or the instance has stopped. */
    long deadlineAt() {
        return deadlineAt;
    }

    /**
     * Returns why no attempt is started at the server, or null if one is started.
     *
     * @param usualMillis usual response time of the route, in milliseconds
     */
    Refusal check(
            ServerSelector selector, BackendTracker server, double usualMillis, EarlierAttempts earlier, long now) {
        if (!selector.hasRoom(server)) {
            components
                    .metrics()
                    .countDecision("transit-limit", requestClass.service().value());
            return new Refusal(ErrorCode.QUEUE_FULL, "the backend server holds as many bytes as it may", usualMillis);
        }
        double expectedMillis = server.expectedResponseMillis(usualMillis, now);
        if (earlier == EarlierAttempts.MAY_HAVE_RUN) {
            if (now + expectedMillis > deadlineAt
                    && server.estimatedRequests(now) >= server.backend().slots()) {
                return queueFull(AdmissionDecision.Reason.TOO_LATE, expectedMillis, now + expectedMillis - deadlineAt);
            }
        } else {
            long limitMillis = (earlier == EarlierAttempts.NONE ? queueUntil : deadlineAt) - now;
            AdmissionDecision decision =
                    components.routing().admission().decide(requestClass, server, usualMillis, limitMillis, now);
            components.metrics().countAdmission(requestClass, decision.reason());
            if (!decision.admitted()) {
                return queueFull(decision.reason(), expectedMillis, decision.excessMillis());
            }
        }
        if (!components.plannedStop().admits(route.kind(), expectedMillis, now)) {
            return new Refusal(ErrorCode.STOPPING, "the instance stops before a response can be expected", 0);
        }
        return null;
    }

    private static Refusal queueFull(AdmissionDecision.Reason reason, double expectedMillis, double excessMillis) {
        String limit = reason == AdmissionDecision.Reason.ROOM_FOR_URGENT
                ? " ms leaves no room for more urgent requests"
                : " ms exceeds the useful time";
        return new Refusal(ErrorCode.QUEUE_FULL, "expected time " + Math.round(expectedMillis) + limit, excessMillis);
    }
}
