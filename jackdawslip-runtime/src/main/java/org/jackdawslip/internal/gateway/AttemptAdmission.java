package org.jackdawslip.internal.gateway;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.internal.balance.BackendTracker;
import org.jackdawslip.internal.traffic.HostRoute;

/**
 * The deadline of one request, and the decision whether an attempt at a server is worth starting.
 *
 * <p>Confined to the event loop.
 */
final class AttemptAdmission {

    private final RequestComponents components;
    private final HostRoute route;
    private final long deadlineAt;
    /** Latest time of the expected response at which the first attempt may wait in the queue of a server. */
    private final long queueUntil;

    AttemptAdmission(RequestComponents components, HostRoute route, CallerRequest request) {
        this.components = components;
        this.route = route;
        Long requestedTimeoutMillis =
                request.numericHeader(components.adapter().headers().remainingMillis());
        long callerTimeoutMillis = requestedTimeoutMillis == null ? route.timeoutMillis() : requestedTimeoutMillis;
        deadlineAt = Math.min(
                request.receivedAt() + Math.min(callerTimeoutMillis, route.timeoutMillis()),
                components.plannedStop().endsAt());
        queueUntil = request.receivedAt()
                + components.routing().admission().responseTimeLimitMillis(route, callerTimeoutMillis);
    }

    /** Returns the time after which the caller no longer waits or the instance has stopped. */
    long deadlineAt() {
        return deadlineAt;
    }

    /**
     * Returns why no attempt is started at the server, or null if one is started.
     *
     * @param expectedMillis the expected time until a response, in milliseconds
     * @param firstAttempt whether no server was chosen for the request before
     */
    Refusal check(BackendTracker server, double expectedMillis, boolean firstAttempt, long now) {
        long latestResponseAt = firstAttempt ? queueUntil : deadlineAt;
        if (now + expectedMillis > latestResponseAt
                && server.estimatedRequests(now) >= server.backend().slots()) {
            return new Refusal(
                    ErrorCode.QUEUE_FULL,
                    "expected time " + Math.round(expectedMillis) + " ms exceeds the useful time",
                    now + expectedMillis - latestResponseAt);
        }
        if (!components.plannedStop().admits(route.kind(), expectedMillis, now)) {
            return new Refusal(ErrorCode.STOPPING, "the instance stops before a response can be expected", 0);
        }
        return null;
    }
}
