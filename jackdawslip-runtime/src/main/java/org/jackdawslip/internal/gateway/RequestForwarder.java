package org.jackdawslip.internal.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.BackendTracker;
import org.jackdawslip.internal.balance.LatencyEstimate;
import org.jackdawslip.internal.balance.LoadReport;
import org.jackdawslip.internal.balance.SendDecision;
import org.jackdawslip.internal.keyspace.KeySegment;
import org.jackdawslip.internal.traffic.HostRoute;
import org.jackdawslip.internal.traffic.RoutingConfig;
import org.jackdawslip.internal.traffic.ServiceConfig;

/**
 * Forwards one request of a caller to backend servers and returns one response.
 *
 * <p>Invariants: the caller receives at most one response, and that response belongs to this request. An
 * at-most-once request is attempted again only if no attempt was written to a connection or the server
 * confirmed that it did not execute the request. Each attempt uses another connection. An error with the outcome
 * "not run" is returned only if no attempt may have been executed. Confined to the event loop.
 */
final class RequestForwarder {

    /**
     * Refused attempts after which a request to a service without keys fails. Refused attempts do not count
     * against the attempt limit of the route.
     */
    private static final int MAX_REFUSED_ATTEMPTS = 2;
    /** Number of servers that were not reached or returned no state report after which the request fails. */
    private static final int MAX_UNREACHED_SERVERS = 4;
    /** Interval at which a waiting request checks whether its key has an owner. */
    private static final long OWNER_POLL_INTERVAL_MILLIS = 15;
    /** A response is overdue after this multiple of the expected response time. */
    private static final double OVERDUE_FACTOR = 2;
    /** Slowdown that a server reports if no other workload on its host delays it, in percent. */
    private static final double USUAL_SLOWDOWN_PERCENT = 100;
    /** Refused attempts after which a request for a key fails. */
    private static final int MAX_REFUSED_OWNER_ATTEMPTS = 4;

    /** Time after the deadline of the caller at which a response that is being passed on is cut. */
    private static final long STREAM_GRACE_MILLIS = 200;

    private static final int STATUS_MISDIRECTED = 421;

    private final RequestComponents components;
    private final CallerRequest request;
    private final ResponseWriter responseWriter;
    private final String requestId;
    private final RequestLog requestLog;
    private final List<Attempt> openAttempts = new ArrayList<>();
    private final SentConnections sentConnections = new SentConnections();

    /** Decides under which client account the request may be sent. */
    private final RequestAccount requestAccount;

    private HostRoute route;
    private ServiceName service;
    private ServerSelector serverSelector;
    private AttemptAdmission admission;
    private RequestRetries retries;
    private long deadlineAt;
    /** Time by which the expected response exceeds its limit; determines the retry delay for the caller. */
    private double excessMillis;
    /** Retry delay for the caller that a decision on its client account requires; 0 for the usual one. */
    private long requestedDelayMillis;

    private int keySlot = ServerSelector.NO_KEY;
    private Attempt lastAttempt;
    private int sentAttempts;
    /**
     * Attempts that were written to a connection and not confirmed as not executed, including open attempts.
     */
    private int possibleExecutions;

    private int refusedAttempts;
    private int unreachedServers;
    private boolean finished;
    private boolean attempted;
    private ScheduledFuture<?> deadlineTimer;
    private ScheduledFuture<?> ownerPollTimer;
    /** Null until a server may be selected. */
    private HedgedAttempts hedgedAttempts;

    /** The response that is being passed on in parts, or null. */
    private StreamedResponse streamedResponse;

    RequestForwarder(RequestComponents components, CallerRequest request, ResponseWriter responseWriter) {
        this.components = components;
        this.request = request;
        this.responseWriter = responseWriter;
        this.requestId = request.headers().get(components.adapter().headers().requestId(), "");
        this.requestLog = new RequestLog(components.log(), requestId);
        this.requestAccount = components.accounts().forRequest(request, this::refuse);
    }

    void start() {
        RoutingConfig config = components.routing().config();
        if (config == null) {
            refuse(ErrorCode.NO_BUNDLE, "no configuration is known yet");
            return;
        }
        route = config.route(request.headers().get("host"), request.path()).orElse(null);
        if (route == null || request.bodyDiscarded()) {
            refuse(ErrorCode.UNKNOWN_SERVICE, "no route for this host and path");
            return;
        }
        requestLog.setContext(route, null, ServerSelector.NO_KEY);
        if (!requestAccount.authenticate(config, route)) {
            return;
        }
        service = components.routing().selectService(route);
        ServiceConfig serviceConfig = config.service(service);
        if (serviceConfig == null) {
            refuse(ErrorCode.NO_BACKEND_SERVER, "the configuration does not describe the service");
            return;
        }
        admission = new AttemptAdmission(components, route, service, requestAccount.priority(), request);
        deadlineAt = admission.deadlineAt();
        if (serviceConfig.keyed()) {
            Long slot = request.numericHeader(components.adapter().headers().key());
            if (slot == null || slot < 0 || slot >= KeySegment.SLOTS) {
                refuse(ErrorCode.INVALID_REQUEST, "a keyed service needs a key slot");
                return;
            }
            keySlot = slot.intValue();
            components.peers().recordKeyUse(service, keySlot);
        }
        requestLog.setContext(route, service, keySlot);
        retries = new RequestRetries(components, service);
        serverSelector = new ServerSelector(components, route, serviceConfig, keySlot, request.transitBytes());
        deadlineTimer = schedule(this::handleDeadline, deadlineAt - now());
        HedgedAttempts.Request hedgedRequest =
                new HedgedAttempts.Request(request.receivedAt(), deadlineAt, this::mayHedge, this::startAttempt);
        hedgedAttempts = new HedgedAttempts(components, route, serverSelector, requestLog, hedgedRequest);
        requestAccount.requestQuota(() -> finished, this::startAdmitted);
    }

    private void startAdmitted() {
        retries.recordRequest();
        hedgedAttempts.onRequestAdmitted();
        attemptNextServer();
    }

    /**
     * Sends the request to the best available server, waits for an owner of the key, or refuses the request.
     */
    private void attemptNextServer() {
        if (finished) {
            return;
        }
        long now = now();
        if (now >= deadlineAt) {
            handleDeadline();
            return;
        }
        if (!requestAccount.recheck()) {
            return;
        }
        BackendTracker server = serverSelector.selectServer();
        if (server == null) {
            if (keySlot >= 0 && serverSelector.mayWaitForOwner(now)) {
                ownerPollTimer = schedule(this::attemptNextServer, OWNER_POLL_INTERVAL_MILLIS);
            } else {
                refuse(Refusal.withoutServer(serverSelector));
            }
            return;
        }
        double usualMillis = latency().meanMillis();
        Refusal refusal = admission.check(serverSelector, server, usualMillis, earlierAttempts(), now);
        if (refusal != null) {
            if (refusal.code() == ErrorCode.QUEUE_FULL) {
                hedgedAttempts.onNoCapacity();
            }
            refuse(refusal);
            return;
        }
        startAttempt(server, server.expectedResponseMillis(usualMillis, now));
    }

    private AttemptAdmission.EarlierAttempts earlierAttempts() {
        if (lastAttempt == null) {
            return AttemptAdmission.EarlierAttempts.NONE;
        }
        return possibleExecutions == 0
                ? AttemptAdmission.EarlierAttempts.NOT_RUN
                : AttemptAdmission.EarlierAttempts.MAY_HAVE_RUN;
    }

    private LatencyEstimate latency() {
        return serverSelector.latency();
    }

    private void startAttempt(BackendTracker server, double expectedMillis) {
        long now = now();
        serverSelector.excludeFromSelection(server);
        FullHttpRequest backendRequest = request.toBackendRequest();
        HeaderNames names = components.adapter().headers();
        backendRequest
                .headers()
                .set(names.expectedServer(), server.backend().id().value());
        Attempt attempt = new Attempt(components.directory().target(server), backendRequest, now, expectedMillis);
        lastAttempt = attempt;
        openAttempts.add(attempt);
        server.recordChosen();
        components.peers().recordInFlightChange(attempt.target);
        attempted = true;
        attempt.exchange = attempt.target.pool.send(backendRequest, sentConnections, attempt);
        if (attempt.open) {
            hedgedAttempts.onAttemptStarted(expectedMillis);
        }
    }

    private boolean mayHedge() {
        return !finished && !openAttempts.isEmpty() && countAttempts() < route.maxAttempts();
    }

    private void retry(String cause, Attempt failed) {
        requestLog.logRetry(failed.summary(), cause, now() - failed.sentAt, retries.remaining());
        components.metrics().countDecision("retry", cause);
        attemptNextServer();
    }

    /** Returns the number of attempts that may have been executed or are waiting to be sent. */
    private int countAttempts() {
        return possibleExecutions
                + (int) openAttempts.stream().filter(attempt -> !attempt.sent).count();
    }

    private boolean mayAttemptAgain() {
        return countAttempts() < route.maxAttempts() && refusedAttempts < MAX_REFUSED_ATTEMPTS && now() < deadlineAt;
    }

    private void handleRefusal(Attempt attempt, int status) {
        possibleExecutions--;
        refusedAttempts++;
        boolean misdirected = status == STATUS_MISDIRECTED;
        if (!openAttempts.isEmpty()) {
            return;
        }
        if (keySlot >= 0 && misdirected && refusedAttempts < MAX_REFUSED_OWNER_ATTEMPTS && retries.tryRetry()) {
            serverSelector.recordRejection();
            retry("not the owner", attempt);
        } else if (keySlot < 0 && mayAttemptAgain() && retries.tryRetry()) {
            retry(misdirected ? "another server has the address" : "server full", attempt);
        } else if (keySlot >= 0 && !misdirected && !attempt.queued && mayAttemptAgain() && retries.tryOptionalRetry()) {
            // The queue of the owner was not the reason of the refusal, so the next attempt may be accepted.
            retry("refused with free slots", attempt);
        } else {
            refuse(ErrorCode.BACKEND_REFUSED, "the backend server did not run it, status " + status);
        }
    }

    private void handleFailure(Attempt attempt, ExchangeFailure failure) {
        if (!failure.mayHaveRun()) {
            if (failure != ExchangeFailure.WITHDRAWN) {
                unreachedServers++;
            }
            if (!openAttempts.isEmpty()) {
                return;
            }
            // A retry can reach another owner only after the keys were moved. Keys of a draining server are
            // moved; keys of an unreachable server may not be.
            boolean otherServerPossible = keySlot < 0 || failure == ExchangeFailure.WITHDRAWN;
            if (unreachedServers < MAX_UNREACHED_SERVERS && otherServerPossible) {
                retry(failure.name().toLowerCase(Locale.ROOT), attempt);
            } else {
                refuse(
                        ErrorCode.NO_BACKEND_SERVER,
                        "backend server " + attempt.target.backend().id() + ": " + failure);
            }
            return;
        }
        if (!openAttempts.isEmpty()) {
            return;
        }
        if (route.kind().repeatable() && mayAttemptAgain() && retries.tryRetry()) {
            retry(failure.name().toLowerCase(Locale.ROOT), attempt);
        } else {
            failWithUnknownOutcome(
                    502, "backend server " + attempt.target.backend().id() + ": " + failure);
        }
    }

    private void handleServerError(Attempt attempt, FullHttpResponse response) {
        if (!openAttempts.isEmpty()) {
            return;
        }
        if (route.kind().repeatable() && mayAttemptAgain() && retries.tryRetry()) {
            retry("status " + response.status().code(), attempt);
        } else if (BackendResponse.looksNotRun(response)) {
            failWithUnknownOutcome(
                    502,
                    "the backend server answered " + response.status().code() + " without stating that it did not run");
        } else {
            returnResponse(attempt, response);
        }
    }

    private void returnResponse(Attempt attempt, FullHttpResponse response) {
        HttpHeaders headers = new DefaultHttpHeaders();
        CallerRequest.copyEndToEndHeaders(response.headers(), headers);
        byte[] body = ByteBufUtil.getBytes(response.content());
        hedgedAttempts.onResponse(attempt.target.tracker, attempt.summary(), !openAttempts.isEmpty());
        finish();
        recordReturned(attempt, response.status().code());
        responseWriter.write(response.status().code(), headers, body);
    }

    private void recordReturned(Attempt attempt, int status) {
        long millis = now() - request.receivedAt();
        long lateMillis = millis - route.targetLatencyMillis();
        if (lateMillis > 0) {
            requestLog.logLateResponse(attempt.summary(), lateMillis, attempt.target.tracker.slowdownFactor(now()));
        }
        components.metrics().recordResponse(route, millis, status);
    }

    private void handleDeadline() {
        if (finished) {
            return;
        }
        if (possibleExecutions == 0) {
            refuse(attempted ? ErrorCode.BACKEND_REFUSED : ErrorCode.DEADLINE_EXCEEDED, "time ran out before it ran");
        } else {
            failWithUnknownOutcome(504, "no answer within the time limit");
        }
    }

    /** Responds with an error that leaves open whether the request was executed. */
    private void failWithUnknownOutcome(int status, String reason) {
        sendLocalResponse(status, ErrorCode.OUTCOME_UNKNOWN, reason);
    }

    /** Responds that the request was not executed, or that its outcome is unknown if it may have been. */
    private void refuse(ErrorCode code, String reason) {
        if (possibleExecutions > 0) {
            failWithUnknownOutcome(502, reason + "; an earlier send may have run");
            return;
        }
        sendLocalResponse(code == ErrorCode.DEADLINE_EXCEEDED ? 503 : code.httpStatus(), code, reason);
    }

    private void refuse(AccountGate.Refusal refusal) {
        requestedDelayMillis = refusal.retryDelayMillis();
        refuse(refusal.code(), refusal.reason());
    }

    private void refuse(Refusal refusal) {
        excessMillis = refusal.excessMillis();
        refuse(refusal.code(), refusal.reason());
    }

    private void sendLocalResponse(int status, ErrorCode code, String reason) {
        finish();
        RequestLog.AttemptSummary lastSummary =
                lastAttempt == null ? RequestLog.AttemptSummary.NONE : lastAttempt.summary();
        requestLog.logFailure(lastSummary, status, code, reason, sentAttempts, now() - request.receivedAt());
        components.metrics().countLocalResponse(code);
        if (route != null) {
            components.metrics().recordResponse(route, now() - request.receivedAt(), status);
        }
        long retryAfterMillis = requestedDelayMillis > 0
                ? requestedDelayMillis
                : components.routing().retryDelay().millis(excessMillis, Math.max(0, deadlineAt - now()));
        HeaderNames names = components.adapter().headers();
        LocalResponse.send(responseWriter, names, requestId, status, code + ": " + reason, retryAfterMillis);
    }

    /**
     * Handles a disconnect of the caller. Open attempts are aborted only if the request may run more than once.
     */
    void onCallerDisconnect() {
        if (streamedResponse != null) {
            requestLog.logCallerDisconnect(now() - request.receivedAt());
            streamedResponse.abort();
        } else if (!finished) {
            requestLog.logCallerDisconnect(now() - request.receivedAt());
            if (route == null || route.kind().repeatable()) {
                finish();
            } else {
                // The server may have executed the request. If the exchange were aborted, the outcome would be
                // unknown in the log of the server as well.
                finished = true;
                cancelTimers();
            }
        }
    }

    /** Answers the request, if it is open, because the process is about to exit. */
    void onInstanceExit() {
        if (streamedResponse != null) {
            streamedResponse.cutAtDeadline();
        } else if (!finished && possibleExecutions == 0) {
            refuse(ErrorCode.STOPPING, "the instance stops before the request was sent");
        } else if (!finished) {
            failWithUnknownOutcome(504, "the instance stops before the backend server responded");
        }
    }

    private void finish() {
        finished = true;
        cancelTimers();
        for (Attempt attempt : List.copyOf(openAttempts)) {
            attempt.abort();
        }
    }

    private void cancelTimers() {
        Stream.of(deadlineTimer, ownerPollTimer).filter(Objects::nonNull).forEach(timer -> timer.cancel(false));
        if (hedgedAttempts != null) {
            hedgedAttempts.cancel();
        }
    }

    private ScheduledFuture<?> schedule(Runnable action, long millis) {
        return components.loop().schedule(action, Math.max(0, millis), TimeUnit.MILLISECONDS);
    }

    private long now() {
        return components.clock().millis();
    }

    /** One attempt of the request at one backend server. */
    private final class Attempt implements ExchangeListener, StreamedResponse.Listener {
        private final BackendDirectory.Target target;
        private final FullHttpRequest backendRequest;
        /**
         * Time when the request was written to a connection; until then, time when the server was selected.
         */
        private long sentAt;

        private boolean sent;
        private final double expectedMillis;
        /** Whether the estimated load used all slots of the server when the server was selected. */
        private final boolean queued;

        private final double estimatedRequestsAtStart;
        private final AttemptFailures failures;
        private ConnectionPool.Exchange exchange;
        private boolean open = true;
        /** Bytes of the request and of an unread response that the server holds. */
        private long transitBytes;

        Attempt(BackendDirectory.Target target, FullHttpRequest backendRequest, long sentAt, double expectedMillis) {
            this.target = target;
            this.backendRequest = backendRequest;
            this.sentAt = sentAt;
            this.expectedMillis = expectedMillis;
            this.estimatedRequestsAtStart = Math.round(10 * target.tracker.estimatedRequests(sentAt)) / 10.0;
            this.queued = estimatedRequestsAtStart >= target.backend().slots();
            this.failures = new AttemptFailures(target.tracker, keySlot >= 0, requestLog, this::summary);
            addTransitBytes(request.transitBytes());
        }

        RequestLog.AttemptSummary summary() {
            return new RequestLog.AttemptSummary(
                    target.backend().id(), sentAt - request.receivedAt(), estimatedRequestsAtStart);
        }

        void abort() {
            close();
            if (sent && now() - sentAt > OVERDUE_FACTOR * expectedMillis) {
                failures.recordOverdue(now());
            } else {
                target.tracker.recordAbandoned();
            }
            exchange.abort();
        }

        private void addTransitBytes(long bytes) {
            transitBytes += bytes;
            target.tracker.addBytesInTransit(bytes);
        }

        private void close() {
            open = false;
            addTransitBytes(-transitBytes);
            RequestForwarder.this.openAttempts.remove(this);
            components.peers().recordInFlightChange(target);
        }

        @Override
        public SendDecision beforeSend(boolean verified) {
            long now = now();
            if (finished
                    || !components.directory().mayReceiveRequest(target)
                    || now >= deadlineAt
                    || !requestAccount.prepareSend(backendRequest.headers())) {
                return SendDecision.WITHDRAW;
            }
            boolean cold = target.tracker.cold(now);
            SendDecision decision = serverSelector.beforeSend(target.tracker, verified, now);
            if (decision == SendDecision.SEND) {
                sent = true;
                sentAttempts++;
                sentAt = now;
                possibleExecutions++;
                target.tracker.recordSent(now);
                backendRequest
                        .headers()
                        .set(components.adapter().headers().remainingMillis(), Math.max(1, deadlineAt - now));
                if (cold) {
                    requestLog.logSentToColdServer(
                            summary(),
                            target.tracker,
                            now,
                            components.routing().instances().size());
                }
            }
            return decision;
        }

        @Override
        public StateProbe stateProbe() {
            return new StateProbe(components, target, serverSelector.healthCheckPath());
        }

        @Override
        public void onResponseHead(HttpResponse head) {
            components.directory().recordResponseHead(target, head.status().code(), head.headers());
        }

        /** Returns whether the response is one to another request or to a state probe. */
        private boolean isUnrelated(HttpResponse response) {
            String foreignId = BackendResponse.foreignId(components.adapter().headers(), response, requestId);
            return foreignId != null && requestLog.logUnrelatedResponse(summary(), foreignId);
        }

        private void recordServiceTime(LoadReport load) {
            if (!queued) {
                double slowdown = load == null ? 1 : Math.max(1, load.slowdownPercent()) / USUAL_SLOWDOWN_PERCENT;
                double millis = (now() - sentAt) / slowdown;
                components
                        .peers()
                        .addServiceTimeSample(target, millis / latency().meanMillis());
                latency().addSample(millis);
            }
        }

        @Override
        public BodyReceiver onLargeResponse(HttpResponse head) {
            if (isUnrelated(head)) {
                return BodyReceiver.DISCARD;
            }
            long contentLength = HttpUtil.getContentLength(head, ResponseWriter.UNKNOWN_LENGTH);
            if (finished
                    || BackendResponse.reportsNotRun(components.adapter().headers(), head)
                    || BackendResponse.isServerFailure(head)
                    || BackendResponse.lacksSignature(components.adapter().headers(), head)
                    || !responseWriter.canWriteParts(contentLength)) {
                return null;
            }
            recordServiceTime(components.recordLoadReport(target, head.headers()));
            openAttempts.remove(this);
            hedgedAttempts.onResponse(target.tracker, summary(), !openAttempts.isEmpty());
            finish();
            streamedResponse = new StreamedResponse(exchange, head, this);
            deadlineTimer = schedule(streamedResponse::cutAtDeadline, deadlineAt - now() + STREAM_GRACE_MILLIS);
            // The server has read the request; until the caller has read the response, it holds the rest of that.
            addTransitBytes(Math.max(0, contentLength) - transitBytes);
            streamedResponse.start(responseWriter, contentLength);
            return streamedResponse;
        }

        @Override
        public void onStreamClosed() {
            streamedResponse = null;
            cancelTimers();
            close();
        }

        @Override
        public void onStreamCompleted(int status) {
            target.tracker.recordResponse(status < 500);
            recordReturned(this, status);
        }

        @Override
        public void onStreamCut(ExchangeFailure failure, boolean answerable) {
            if (failure == ExchangeFailure.TIMED_OUT) {
                target.tracker.recordAbandoned();
            } else {
                target.tracker.recordLostResponse();
            }
            requestLog.logResponseCut(summary(), failure, now() - request.receivedAt());
            components.metrics().countDecision("response-cut", service.value());
            if (answerable) {
                failWithUnknownOutcome(502, "backend server " + target.backend().id() + ": " + failure);
            }
        }

        @Override
        public void onStreamAbandoned() {
            target.tracker.recordAbandoned();
        }

        @Override
        public boolean onResponse(FullHttpResponse response) {
            String responseId =
                    response.headers().get(components.adapter().headers().requestId());
            int status = response.status().code();
            if (isUnrelated(response)) {
                return false;
            }
            close();
            LoadReport load = components.recordLoadReport(target, response.headers());
            if (BackendResponse.reportsNotRun(components.adapter().headers(), response)) {
                if (!exchange.recordRefusal(responseId != null)) {
                    requestLog.logUnrelatedResponse(
                            summary(), "refusal without a request id, possibly a copy of an earlier one");
                    target.tracker.recordLostResponse();
                    if (!finished) {
                        handleFailure(this, ExchangeFailure.MALFORMED_ANSWER);
                    }
                    return true;
                }
                if (status == STATUS_MISDIRECTED) {
                    failures.recordRejection("requests are rejected", now());
                } else {
                    target.tracker.recordNotRun();
                    hedgedAttempts.onServerFull(target.tracker);
                }
                if (!finished) {
                    handleRefusal(this, status);
                }
                return true;
            }
            boolean success = !BackendResponse.isServerFailure(response);
            target.tracker.recordResponse(success);
            if (BackendResponse.lacksSignature(components.adapter().headers(), response)) {
                if (!finished) {
                    handleFailure(this, ExchangeFailure.MALFORMED_ANSWER);
                }
                return true;
            }
            if (success) {
                recordServiceTime(load);
            }
            if (finished) {
                return true;
            }
            if (success) {
                returnResponse(this, response);
            } else {
                handleServerError(this, response);
            }
            return true;
        }

        @Override
        public void onFailure(ExchangeFailure failure) {
            close();
            if (failure.mayHaveRun()) {
                target.tracker.recordLostResponse();
            } else {
                failures.recordFailureBeforeSend(failure, now());
            }
            if (!finished) {
                handleFailure(this, failure);
            }
        }
    }
}
