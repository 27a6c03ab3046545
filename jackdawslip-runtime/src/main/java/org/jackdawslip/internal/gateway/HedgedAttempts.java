package org.jackdawslip.internal.gateway;

import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.ObjDoubleConsumer;

import io.netty.util.concurrent.ScheduledFuture;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.BackendTracker;
import org.jackdawslip.internal.hedging.HedgeDecision;
import org.jackdawslip.internal.hedging.HedgePolicy;
import org.jackdawslip.internal.hedging.HedgeTiming;
import org.jackdawslip.internal.traffic.HostRoute;

/**
 * Starts a hedged attempt of one request if its attempt has not responded within the hedge delay, and measures what
 * it cost and saved.
 *
 * <p>Invariants: a request has at most one hedged attempt; a request that may run only once or that has a key has
 * none. Confined to the event loop.
 */
final class HedgedAttempts {

    /**
     * The request that may be hedged. The callbacks are called on the event loop.
     *
     * @param receivedAt when the request arrived
     * @param deadlineAt the deadline of the request
     * @param mayAttemptMore returns whether the request is open, has an attempt and may have one more
     * @param startAttempt starts an attempt at a server with an expected response time in milliseconds
     */
    record Request(
            long receivedAt,
            long deadlineAt,
            BooleanSupplier mayAttemptMore,
            ObjDoubleConsumer<BackendTracker> startAttempt) {}

    /** Lower limit of the time between two decisions about the hedge of a request. */
    private static final long MIN_RECHECK_MILLIS = 20;

    private final RequestComponents components;
    private final HostRoute route;
    private final ServiceName service;
    private final ServerSelector serverSelector;
    private final RequestLog requestLog;
    private final Request request;
    private final boolean hedgeable;
    private final long receivedAt;
    private final long deadlineAt;
    private final HedgePolicy policy;
    private final HedgeTiming timing;

    private ScheduledFuture<?> timer;
    /** Time after which a hedge that was not possible is decided again. */
    private long recheckMillis;

    private long firstStartedAt;
    /** The server of the hedged attempt, or null if there was none. */
    private BackendTracker hedge;

    private long hedgeStartedAt;

    HedgedAttempts(
            RequestComponents components,
            HostRoute route,
            ServerSelector serverSelector,
            RequestLog requestLog,
            Request request) {
        this.components = components;
        this.route = route;
        this.service = serverSelector.service();
        this.serverSelector = serverSelector;
        this.requestLog = requestLog;
        this.request = request;
        this.receivedAt = request.receivedAt();
        this.deadlineAt = request.deadlineAt();
        this.policy = components.routing().hedgePolicy(service);
        this.timing = components.routing().hedgeTiming(route, service);
        this.hedgeable = !serverSelector.keyed() && route.kind().repeatable() && policy.enabled();
    }

    /** Counts the request, once it may be sent. */
    void onRequestAdmitted() {
        policy.recordRequest(now());
    }

    /** Schedules the hedge of an attempt that has just been started. */
    void onAttemptStarted(double expectedMillis) {
        if (hedge != null) {
            return;
        }
        long now = now();
        firstStartedAt = now;
        cancel();
        if (hedgeable) {
            double delayMillis = timing.delayMillis(
                    expectedMillis,
                    usualMillis(),
                    route.targetLatencyMillis(),
                    receivedAt + route.targetLatencyMillis() - now,
                    deadlineAt - now);
            recheckMillis = Math.max(MIN_RECHECK_MILLIS, Math.round(delayMillis / 2));
            schedule(Math.round(delayMillis));
        }
    }

    private void schedule(long millis) {
        timer = components.loop().schedule(this::startHedge, millis, TimeUnit.MILLISECONDS);
    }

    private void startHedge() {
        if (!request.mayAttemptMore().getAsBoolean()) {
            return;
        }
        long now = now();
        BackendTracker selected = serverSelector.selectServer();
        BackendTracker server = selected != null && serverSelector.hasRoom(selected) ? selected : null;
        double expectedMillis = server == null ? 0 : server.expectedResponseMillis(usualMillis(), now);
        if (!components.plannedStop().admits(route.kind(), expectedMillis, now)) {
            return;
        }
        HedgeDecision decision = policy.decide(
                server,
                expectedMillis,
                now - firstStartedAt,
                deadlineAt - now,
                components.routing().globalLimitShare(),
                now);
        if (decision == HedgeDecision.HEDGE) {
            hedge = server;
            hedgeStartedAt = now;
            components.metrics().countDecision("hedge", service.value());
            request.startAttempt().accept(server, expectedMillis);
        } else {
            String reason = decision.name().toLowerCase(Locale.ROOT).replace('_', '-');
            components.metrics().countDecision("no-hedge", reason);
            if (decision.mayChange()) {
                schedule(recheckMillis);
            }
        }
    }

    /**
     * Records the first successful response of the request.
     *
     * @param attempt the attempt that received it
     * @param otherOpen whether another attempt is open, which is cancelled now
     */
    void onResponse(BackendTracker server, RequestLog.AttemptSummary attempt, boolean otherOpen) {
        long now = now();
        timing.recordResponseTime(now - firstStartedAt);
        if (hedge == null) {
            return;
        }
        boolean won = server == hedge;
        timing.recordHedge(won);
        long elapsedMillis = hedgeStartedAt - firstStartedAt;
        long hedgeMillis = now - hedgeStartedAt;
        // The first attempt is assumed to take as long again as it had taken, see HedgePolicy.
        long savedMillis = won ? Math.max(0, elapsedMillis - hedgeMillis) : 0;
        components.metrics().recordHedge(route, service, won, hedgeMillis, savedMillis);
        long targetAt = receivedAt + route.targetLatencyMillis();
        if (won && (!otherOpen || now <= targetAt && now + savedMillis > targetAt)) {
            requestLog.logDecisiveHedge(attempt, elapsedMillis, hedgeMillis, !otherOpen);
        }
    }

    /** Records that a server refused an attempt for lack of capacity. */
    void onServerFull(BackendTracker server) {
        if (server == hedge) {
            policy.recordOverload(route.targetLatencyMillis(), now());
        }
    }

    /** Records that the request is refused because no server is expected to respond in time. */
    void onNoCapacity() {
        policy.recordOverload(route.targetLatencyMillis(), now());
    }

    void cancel() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private double usualMillis() {
        return serverSelector.latency().meanMillis();
    }

    private long now() {
        return components.clock().millis();
    }
}
