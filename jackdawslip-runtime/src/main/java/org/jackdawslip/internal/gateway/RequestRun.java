package org.jackdawslip.internal.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.Admission;
import org.jackdawslip.internal.balance.BackendTracker;
import org.jackdawslip.internal.balance.LatencyEstimate;
import org.jackdawslip.internal.balance.LoadReport;
import org.jackdawslip.internal.balance.RetryBudget;
import org.jackdawslip.internal.balance.SendStep;
import org.jackdawslip.internal.keyspace.KeySegment;
import org.jackdawslip.internal.traffic.HostRoute;
import org.jackdawslip.internal.traffic.RoutingConfig;
import org.jackdawslip.internal.traffic.ServiceConfig;

/**
 * Carries one request from a caller to backend servers and one answer back.
 *
 * <p>Invariants: the caller gets at most one answer, and it belongs to this request. A request that may run at most
 * once is sent again only if nothing was sent or the server stated that it did not run. A refusal with the outcome "not
 * run" is given only if that holds for every send. Confined to the event loop.
 */
final class RequestRun {

    /** Sends that a server refused without running the request, beyond the attempts of the route. */
    private static final int EXTRA_SENDS = 2;
    /** Servers that were not reached, or told no state, after which no further one is tried. */
    private static final int MAX_SERVERS_NOT_REACHED = 4;
    /** Interval at which a request looks for an owner of its key, in milliseconds. */
    private static final long OWNER_POLL_MILLIS = 15;
    /** A second send starts after this multiple of the expected time. */
    private static final double HEDGE_FACTOR = 2.5;
    /** A second send starts at the earliest after this share of the target latency. */
    private static final double HEDGE_TARGET_SHARE = 0.45;
    /** An answer is overdue after this multiple of the expected time. */
    private static final double OVERDUE_FACTOR = 2;
    /** While a key has no owner nobody knows when it is served: the caller is asked to make the longest pause. */
    private static final double LONGEST_PAUSE = Double.MAX_VALUE;

    /** The pace of a machine without busy neighbours, in percent. */
    private static final double USUAL_PACE = 100;
    /** Sends to owners that denied to be it. */
    private static final int MAX_DENIALS = 4;

    private static final int STATUS_MISDIRECTED = 421;
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, STATUS_MISDIRECTED, 429, 503);

    private final Services services;
    private final CallerRequestData request;
    private final Reply reply;
    private final String id;
    private final RequestRecords records;
    private final List<Attempt> open = new ArrayList<>();
    private HostRoute route;
    private ServiceName service;
    private ServerChoice choice;
    private long deadlineAt;
    private long usefulUntil;
    private double pauseMillis;
    private int keySlot = ServerChoice.NO_KEY;
    private Attempt lastAttempt;
    private int sends;
    /** Sends of which it is not known that they did not run, the open ones included. */
    private int mayHaveRun;

    private int refusals;
    private int serversNotReached;
    private boolean finished;
    private boolean offered;
    private ScheduledFuture<?> deadlineTimer;
    private ScheduledFuture<?> stepTimer;
    private ScheduledFuture<?> hedgeTimer;

    RequestRun(Services services, CallerRequestData request, Reply reply) {
        this.services = services;
        this.request = request;
        this.reply = reply;
        this.id = request.headers().get(services.adapter().headers().requestId(), "");
        this.records = new RequestRecords(services.log(), id);
    }

    void start() {
        RoutingConfig config = services.routing().config();
        if (config == null) {
            refuse(ErrorCode.NO_BUNDLE, "no configuration is known yet");
            return;
        }
        route = config.route(request.headers().get("host"), request.path()).orElse(null);
        if (route == null) {
            refuse(ErrorCode.UNKNOWN_SERVICE, "no route for this host and path");
            return;
        }
        service = services.routing().serviceFor(route);
        ServiceConfig serviceConfig = config.service(service);
        if (serviceConfig == null) {
            refuse(ErrorCode.NO_BACKEND_SERVER, "the configuration does not describe the service");
            return;
        }
        Long callerMillis = number(services.adapter().headers().remainingMillis());
        long patience = callerMillis == null ? route.timeoutMillis() : callerMillis;
        deadlineAt = request.receivedAt() + Math.min(patience, route.timeoutMillis());
        usefulUntil = request.receivedAt() + services.routing().admission().usefulMillis(route, patience);
        if (serviceConfig.keyed()) {
            Long slot = number(services.adapter().headers().key());
            if (slot == null || slot < 0 || slot >= KeySegment.SLOTS) {
                refuse(ErrorCode.INVALID_REQUEST, "a keyed service needs a key slot");
                return;
            }
            keySlot = slot.intValue();
            services.peers().keyUsed(service, keySlot);
        }
        records.about(route, service, keySlot);
        choice = new ServerChoice(services, route, serviceConfig, keySlot);
        services.routing().budget(service).request(now());
        deadlineTimer = schedule(this::deadline, deadlineAt - now());
        next();
    }

    private Long number(String header) {
        String text = request.headers().get(header);
        try {
            return text == null ? null : (long) Double.parseDouble(text.trim());
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /** Sends the request to the best server there is, waits for one, or refuses. */
    private void next() {
        if (finished) {
            return;
        }
        long now = now();
        if (now >= deadlineAt) {
            deadline();
            return;
        }
        BackendTracker server = choice.next();
        if (server == null) {
            if (keySlot >= 0 && choice.mayWaitForOwner(now)) {
                stepTimer = schedule(this::next, OWNER_POLL_MILLIS);
            } else {
                pauseMillis = keySlot >= 0 ? LONGEST_PAUSE : 0;
                refuse(keySlot >= 0 ? ErrorCode.NO_OWNER : ErrorCode.NO_BACKEND_SERVER, "no server can take it");
            }
            return;
        }
        double expected = server.expectedMillis(latency().millis(), now);
        long latest = lastAttempt == null ? usefulUntil : deadlineAt;
        if (now + expected > latest && server.busy(now) >= server.backend().slots()) {
            pauseMillis = now + expected - latest;
            refuse(ErrorCode.QUEUE_FULL, "expected time " + Math.round(expected) + " ms exceeds the useful time");
            return;
        }
        send(server, expected);
    }

    private LatencyEstimate latency() {
        return choice.latency();
    }

    private void send(BackendTracker server, double expectedMillis) {
        long now = now();
        choice.tried(server);
        FullHttpRequest forwarded = request.forward();
        HeaderNames names = services.adapter().headers();
        forwarded.headers().set(names.expectedServer(), server.backend().id().value());
        Attempt attempt = new Attempt(services.directory().target(server), forwarded, now, expectedMillis);
        lastAttempt = attempt;
        open.add(attempt);
        server.chosen();
        services.peers().inFlightChanged(attempt.target);
        offered = true;
        attempt.exchange = attempt.target.pool.send(forwarded, attempt);
        if (attempt.open && keySlot < 0 && route.kind().repeatable() && hedgeTimer == null) {
            double delay = Math.max(HEDGE_FACTOR * expectedMillis, HEDGE_TARGET_SHARE * route.targetLatencyMillis());
            hedgeTimer = schedule(this::hedge, Math.round(delay));
        }
    }

    /** Sends the request to a second server because the first takes unusually long. */
    private void hedge() {
        if (finished || open.isEmpty() || attempts() >= route.maxAttempts()) {
            return;
        }
        BackendTracker server = choice.next();
        long now = now();
        if (server == null || server.busy(now) >= server.backend().slots()) {
            return;
        }
        double expected = server.expectedMillis(latency().millis(), now);
        if (now + expected < deadlineAt && tryRetry()) {
            services.metrics().count("hedge", service.value());
            send(server, expected);
        }
    }

    private boolean tryRetry() {
        RetryBudget budget = services.routing().budget(service);
        boolean allowed = budget.tryRetry(now(), services.routing().share());
        if (!allowed) {
            services.metrics().count("retry-budget-empty", service.value());
        }
        return allowed;
    }

    private void retry(String cause, Attempt failed) {
        double left = services.routing()
                .budget(service)
                .remaining(now(), services.routing().share());
        records.sentAgain(failed.record(), cause, now() - failed.sentAt, left);
        services.metrics().count("retry", cause);
        next();
    }

    /** Returns the sends that may have run and those that are still to come. */
    private int attempts() {
        return mayHaveRun + (int) open.stream().filter(attempt -> !attempt.sent).count();
    }

    private boolean attemptsLeft() {
        return attempts() < route.maxAttempts() && refusals < EXTRA_SENDS && now() < deadlineAt;
    }

    private void refusedByServer(Attempt attempt, int status) {
        mayHaveRun--;
        refusals++;
        boolean misdirected = status == STATUS_MISDIRECTED;
        if (!open.isEmpty()) {
            return;
        }
        if (keySlot >= 0 && misdirected && refusals < MAX_DENIALS && tryRetry()) {
            choice.denied();
            retry("not the owner", attempt);
        } else if (keySlot < 0 && attemptsLeft() && tryRetry()) {
            retry(misdirected ? "another server has the address" : "server full", attempt);
        } else {
            refuse(ErrorCode.BACKEND_REFUSED, "the backend server did not run it, status " + status);
        }
    }

    private void lost(Attempt attempt, ExchangeFailure failure) {
        if (!failure.mayHaveRun()) {
            if (failure != ExchangeFailure.WITHDRAWN) {
                serversNotReached++;
            }
            if (!open.isEmpty()) {
                return;
            }
            // The keys of a server that leaves get another owner; those of one that cannot be reached may not.
            boolean anotherServer = keySlot < 0 || failure == ExchangeFailure.WITHDRAWN;
            if (serversNotReached < MAX_SERVERS_NOT_REACHED && anotherServer) {
                retry(failure.name().toLowerCase(Locale.ROOT), attempt);
            } else {
                refuse(
                        ErrorCode.NO_BACKEND_SERVER,
                        "backend server " + attempt.target.backend().id() + ": " + failure);
            }
            return;
        }
        if (!open.isEmpty()) {
            return;
        }
        if (route.kind().repeatable() && attemptsLeft() && tryRetry()) {
            retry(failure.name().toLowerCase(Locale.ROOT), attempt);
        } else {
            fail(502, "backend server " + attempt.target.backend().id() + ": " + failure);
        }
    }

    private void serverFailed(Attempt attempt, FullHttpResponse answer) {
        boolean again = open.isEmpty() && route.kind().repeatable() && attemptsLeft();
        if (!open.isEmpty()) {
            return;
        }
        if (again && tryRetry()) {
            retry("status " + answer.status().code(), attempt);
        } else if (NOT_RUN_STATUSES.contains(answer.status().code())) {
            fail(502, "the backend server answered " + answer.status().code() + " without stating that it did not run");
        } else {
            pass(attempt, answer);
        }
    }

    private void pass(Attempt attempt, FullHttpResponse answer) {
        HttpHeaders headers = new DefaultHttpHeaders();
        CallerRequestData.copyEndToEnd(answer.headers(), headers);
        byte[] body = ByteBufUtil.getBytes(answer.content());
        finish();
        long late = now() - request.receivedAt() - route.targetLatencyMillis();
        if (late > 0) {
            records.late(attempt.record(), late, attempt.target.tracker.pace(now()));
        }
        services.metrics()
                .answered(route, now() - request.receivedAt(), answer.status().code());
        reply.answer(answer.status().code(), headers, body);
    }

    private void deadline() {
        if (finished) {
            return;
        }
        if (mayHaveRun == 0) {
            refuse(offered ? ErrorCode.BACKEND_REFUSED : ErrorCode.DEADLINE_EXCEEDED, "time ran out before it ran");
        } else {
            fail(504, "no answer within the time limit");
        }
    }

    /** Answers that the request may have run. */
    private void fail(int status, String reason) {
        finishWith(status, ErrorCode.OUTCOME_UNKNOWN, reason);
    }

    /** Answers that the request did not run, unless an earlier send may have run. */
    private void refuse(ErrorCode code, String reason) {
        if (mayHaveRun > 0) {
            fail(502, reason + "; an earlier send may have run");
            return;
        }
        finishWith(code == ErrorCode.DEADLINE_EXCEEDED ? 503 : code.httpStatus(), code, reason);
    }

    private void finishWith(int status, ErrorCode code, String reason) {
        finish();
        RequestRecords.Send last = lastAttempt == null ? RequestRecords.Send.NONE : lastAttempt.record();
        records.failed(last, status, code, reason, sends, now() - request.receivedAt());
        services.metrics().refused(code);
        if (route != null) {
            services.metrics().answered(route, now() - request.receivedAt(), status);
        }
        long pause = Admission.pauseMillis(pauseMillis, Math.max(0, deadlineAt - now()));
        OwnAnswer.send(reply, services.adapter().headers(), id, status, code + ": " + reason, pause);
    }

    /** The caller has left: the work of idempotent requests ends. */
    void callerLeft() {
        if (!finished) {
            records.callerLeft(now() - request.receivedAt());
            if (route == null || route.kind().repeatable()) {
                finish();
            } else {
                // The work may have been done; ending it would leave its outcome unknown to the server's log as well.
                finished = true;
                cancelTimers();
            }
        }
    }

    private void finish() {
        finished = true;
        cancelTimers();
        for (Attempt attempt : List.copyOf(open)) {
            attempt.giveUp();
        }
    }

    private void cancelTimers() {
        cancel(deadlineTimer);
        cancel(stepTimer);
        cancel(hedgeTimer);
    }

    private static void cancel(ScheduledFuture<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private ScheduledFuture<?> schedule(Runnable action, long millis) {
        return services.loop().schedule(action, Math.max(0, millis), TimeUnit.MILLISECONDS);
    }

    private long now() {
        return services.clock().millis();
    }

    /** One send of the request to one backend server. */
    private final class Attempt implements ExchangeListener {
        private final BackendDirectory.Target target;
        private final FullHttpRequest forwarded;
        /** When the request was sent; until then, when the server was chosen. */
        private long sentAt;

        private boolean sent;
        private final double expectedMillis;
        /** Whether all slots of the server seemed taken when the request was sent. */
        private final boolean queued;

        private final double busyAtSend;

        private ConnectionPool.Exchange exchange;
        private boolean open = true;

        Attempt(BackendDirectory.Target target, FullHttpRequest forwarded, long sentAt, double expectedMillis) {
            this.target = target;
            this.forwarded = forwarded;
            this.sentAt = sentAt;
            this.expectedMillis = expectedMillis;
            this.busyAtSend = Math.round(10 * target.tracker.busy(sentAt)) / 10.0;
            this.queued = busyAtSend >= target.backend().slots();
        }

        RequestRecords.Send record() {
            return new RequestRecords.Send(target.backend().id(), sentAt - request.receivedAt(), busyAtSend);
        }

        void giveUp() {
            end();
            if (sent && now() - sentAt > OVERDUE_FACTOR * expectedMillis) {
                boolean before = target.tracker.paused(now());
                target.tracker.silent(now());
                noteAvoided(before, "answers are overdue");
            } else {
                target.tracker.abandoned();
            }
            exchange.giveUp();
        }

        private void noteAvoided(boolean before, String cause) {
            if (!before && target.tracker.paused(now())) {
                records.avoided(record(), cause, target.tracker.pauseMillis());
            }
        }

        private void end() {
            open = false;
            RequestRun.this.open.remove(this);
            services.peers().inFlightChanged(target);
        }

        @Override
        public SendStep beforeSend(boolean verified) {
            long now = now();
            if (finished || !services.directory().takesRequests(target) || now >= deadlineAt) {
                return SendStep.WITHDRAW;
            }
            boolean cold = target.tracker.cold(now);
            SendStep step = choice.beforeSend(target.tracker, verified, now);
            if (step == SendStep.SEND) {
                sent = true;
                sends++;
                sentAt = now;
                mayHaveRun++;
                target.tracker.sent(now);
                forwarded.headers().set(services.adapter().headers().remainingMillis(), Math.max(1, deadlineAt - now));
                if (cold) {
                    records.sentToCold(
                            record(),
                            target.tracker.coldMillis(now),
                            target.tracker.recentSends(now),
                            services.routing().instances().size());
                }
            }
            return step;
        }

        @Override
        public StateQuestion question() {
            return new StateQuestion(services, target, choice.healthPath());
        }

        @Override
        public boolean answered(FullHttpResponse answer) {
            HeaderNames names = services.adapter().headers();
            String echoed = answer.headers().get(names.requestId());
            int status = answer.status().code();
            if (echoed != null && !echoed.equals(id)) {
                records.otherAnswer(record(), echoed);
                return false;
            }
            if (echoed == null && answer.headers().contains(names.serverId()) && status != STATUS_MISDIRECTED) {
                // Only answers to questions about the state name the server and no request.
                records.otherAnswer(record(), "a second answer to a question");
                return false;
            }
            end();
            LoadReport load = services.adapter().load(answer.headers());
            if (load != null) {
                target.tracker.report(load, now(), 0);
                services.peers().loadReported(target, load);
            }
            if (answer.headers().contains(names.notExecuted()) || status == STATUS_MISDIRECTED) {
                if (!exchange.refused(echoed != null)) {
                    records.otherAnswer(record(), "a refusal without an id");
                    target.tracker.failed();
                    if (!finished) {
                        lost(this, ExchangeFailure.MALFORMED_ANSWER);
                    }
                    return true;
                }
                if (status == STATUS_MISDIRECTED) {
                    boolean before = target.tracker.paused(now());
                    denied(now());
                    noteAvoided(before, "it denies requests");
                } else {
                    target.tracker.refused();
                }
                if (!finished) {
                    refusedByServer(this, status);
                }
                return true;
            }
            boolean success = status < 500;
            target.tracker.answered(success);
            if (status < 300 && !answer.headers().contains(names.signature())) {
                if (!finished) {
                    lost(this, ExchangeFailure.MALFORMED_ANSWER);
                }
                return true;
            }
            if (success && !queued) {
                double pace = load == null ? 1 : Math.max(1, load.pacePercent()) / USUAL_PACE;
                double millis = (now() - sentAt) / pace;
                services.peers().speedSample(target, millis / latency().millis());
                latency().sample(millis);
            }
            if (finished) {
                return true;
            }
            if (success) {
                pass(this, answer);
            } else {
                serverFailed(this, answer);
            }
            return true;
        }

        private void notSent(ExchangeFailure failure) {
            long now = now();
            boolean before = target.tracker.paused(now);
            switch (failure) {
                case NOT_CONNECTED, NO_STATEMENT -> {
                    target.tracker.abandoned();
                    target.tracker.notReached(now);
                    noteAvoided(
                            before,
                            failure == ExchangeFailure.NOT_CONNECTED
                                    ? "it cannot be reached"
                                    : "it does not state its condition");
                }
                case OTHER_SERVER -> {
                    denied(now);
                    noteAvoided(before, "another server has its address");
                }
                default -> target.tracker.abandoned();
            }
        }

        private void denied(long now) {
            target.tracker.denied(now);
            if (keySlot < 0) {
                target.tracker.unreachable(now);
            }
        }

        @Override
        public void failed(ExchangeFailure failure) {
            end();
            if (failure.mayHaveRun()) {
                target.tracker.failed();
            } else {
                notSent(failure);
            }
            if (!finished) {
                lost(this, failure);
            }
        }
    }
}
