package org.jackdawslip.internal.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.jackdawslip.BackendServerId;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.FencingToken;
import org.jackdawslip.internal.admission.Decision;
import org.jackdawslip.internal.admission.NotRunReason;
import org.jackdawslip.internal.admission.RequestRegistry;
import org.jackdawslip.internal.bundle.BackendServer;
import org.jackdawslip.internal.http.BackendAttempt;
import org.jackdawslip.internal.http.BackendOutcome;
import org.jackdawslip.internal.http.HttpHeader;
import org.jackdawslip.internal.metrics.RouterMetrics;
import org.jackdawslip.internal.ownership.SendRight;
import org.tinylog.Logger;

/**
 * Sends attempts to backend servers and reports their outcomes to the queues.
 *
 * <p>Invariant: an attempt is sent only while this instance holds the send right, which is checked just
 * before. Not thread-safe; confined to the decision thread.
 */
final class AttemptRunner {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int STATUS_CONFLICT = 409;

    private final InstanceContext context;
    private final MemberDriver driver;
    private final RequestHandler requestHandler;
    private final Map<String, BackendOutcome.ResponseReceived> responses = new HashMap<>();

    AttemptRunner(InstanceContext context, MemberDriver driver, RequestHandler requestHandler) {
        this.context = context;
        this.driver = driver;
        this.requestHandler = requestHandler;
    }

    void dispatch(ServiceQueue serviceQueue, Decision.Dispatch<Exchange> dispatch) {
        Exchange exchange = dispatch.request();
        Optional<SendRight> right = sendRight(dispatch.server(), exchange);
        if (right.isEmpty()) {
            // Deferred, because the queue must not be called while its decisions are being carried out.
            context.runOnDecisionThread(() -> requestHandler.applyDecisions(
                    serviceQueue,
                    serviceQueue
                            .senderQueue()
                            .reportNotRun(
                                    dispatch.attempt(), NotRunReason.FAILED_BEFORE_SENDING, context.clockReading())));
            return;
        }
        if (exchange.attemptCount > 0) {
            context.metrics()
                    .count(exchange.attemptsInFlight > 0 ? RouterMetrics.Event.HEDGE : RouterMetrics.Event.RETRY);
        }
        exchange.attemptCount++;
        exchange.attemptsInFlight++;
        long startedNanos = System.nanoTime();
        BackendAttempt attempt = buildAttempt(serviceQueue, dispatch, right.get());
        backendServer(dispatch.server())
                .map(server -> context.backendClient().send(server, attempt))
                .orElseThrow()
                .whenComplete((outcome, failure) -> {
                    long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startedNanos);
                    context.runOnDecisionThread(
                            () -> handleOutcome(serviceQueue, dispatch, right.get(), outcome, failure, micros));
                });
    }

    private Optional<SendRight> sendRight(BackendServerId server, Exchange exchange) {
        return exchange.keyHash.isPresent()
                ? driver.member().sendRight(context.nowMillis(), server, exchange.service, exchange.keyHash.getAsLong())
                : driver.member().sendRight(context.nowMillis(), server);
    }

    private BackendAttempt buildAttempt(
            ServiceQueue serviceQueue, Decision.Dispatch<Exchange> dispatch, SendRight right) {
        Exchange exchange = dispatch.request();
        List<HttpHeader> headers = new ArrayList<>(exchange.headers);
        exchange.key.ifPresent(key -> headers.add(new HttpHeader("Key", key)));
        if (!exchange.tenant.isEmpty()) {
            headers.add(new HttpHeader("Tenant", exchange.tenant));
        }
        headers.add(new HttpHeader("Sender", context.self().value()));
        OptionalLong rangeToken = exchange.keyHash.isPresent()
                ? OptionalLong.of(right.rangeToken().value())
                : OptionalLong.empty();
        return new BackendAttempt(
                attemptId(serviceQueue, dispatch.attempt()),
                exchange.method,
                exchange.path,
                headers,
                exchange.body,
                exchange.requestId,
                Duration.ofMillis(Math.max(1, dispatch.deadlineMillis() - context.nowMillis())),
                new BackendAttempt.FencingTokens(right.senderToken(), rangeToken, exchange.keyHash));
    }

    private String attemptId(ServiceQueue serviceQueue, long attempt) {
        return context.self() + "-" + Long.toHexString(context.address().getStartId()) + "-" + serviceQueue.service()
                + "-" + attempt;
    }

    private void handleOutcome(
            ServiceQueue serviceQueue,
            Decision.Dispatch<Exchange> dispatch,
            SendRight right,
            BackendOutcome outcome,
            Throwable failure,
            long micros) {
        long attempt = dispatch.attempt();
        dispatch.request().attemptsInFlight--;
        dispatch.request().keyHash.ifPresent(hash -> serviceQueue.addSlotTime(hash, micros, context.nowMillis()));
        if (outcome instanceof BackendOutcome.ResponseReceived received) {
            String attemptId = attemptId(serviceQueue, attempt);
            responses.put(attemptId, received);
            byte[] bodyToRecord = received.body().length <= RequestRegistry.MAX_BODY_BYTES ? received.body() : null;
            requestHandler.applyDecisions(
                    serviceQueue,
                    serviceQueue
                            .senderQueue()
                            .reportResponse(
                                    attempt,
                                    received.status(),
                                    micros,
                                    received.startId().orElse(null),
                                    bodyToRecord,
                                    context.clockReading()));
            responses.remove(attemptId);
        } else if (outcome instanceof BackendOutcome.NotRun notRun) {
            NotRunReason reason = notRunReason(notRun, right.senderToken());
            if (reason == NotRunReason.STALE_TOKEN) {
                serviceQueue.recordStaleToken(dispatch.server(), right.senderToken());
            }
            requestHandler.applyDecisions(
                    serviceQueue, serviceQueue.senderQueue().reportNotRun(attempt, reason, context.clockReading()));
        } else if (outcome instanceof BackendOutcome.NotSent notSent) {
            NotRunReason reason = notSent.cause() == BackendOutcome.NotSent.Cause.CONNECT_FAILED
                    ? NotRunReason.CONNECTION_REFUSED
                    : NotRunReason.FAILED_BEFORE_SENDING;
            requestHandler.applyDecisions(
                    serviceQueue, serviceQueue.senderQueue().reportNotRun(attempt, reason, context.clockReading()));
        } else {
            if (failure != null) {
                Logger.error(failure, "attempt at backend server {} failed unexpectedly", dispatch.server());
            }
            context.metrics().count(RouterMetrics.Event.RESPONSE_LOST);
            requestHandler.applyDecisions(
                    serviceQueue, serviceQueue.senderQueue().reportLost(attempt, context.clockReading()));
        }
    }

    /**
     * Returns why a refused attempt did not run. A response with status 409 contains the current sender
     * token; a token higher than the one sent shows that this instance is no longer the sender.
     */
    private static NotRunReason notRunReason(BackendOutcome.NotRun notRun, FencingToken sentToken) {
        if (notRun.status() != STATUS_CONFLICT) {
            return NotRunReason.SHED;
        }
        try {
            long currentToken = JSON.readTree(notRun.body()).path("senderToken").asLong();
            return currentToken > sentToken.value() ? NotRunReason.STALE_TOKEN : NotRunReason.FAILED_BEFORE_SENDING;
        } catch (IOException e) {
            return NotRunReason.FAILED_BEFORE_SENDING;
        }
    }

    void cancel(ServiceQueue serviceQueue, Decision.Cancel<Exchange> cancel) {
        backendServer(cancel.server())
                .ifPresent(server -> context.backendClient().cancel(server, attemptId(serviceQueue, cancel.attempt())));
    }

    void complete(ServiceQueue serviceQueue, Decision.Complete<Exchange> complete) {
        BackendOutcome.ResponseReceived received = responses.get(attemptId(serviceQueue, complete.attempt()));
        if (received == null) {
            complete.request().fail(ErrorCode.INTERNAL, "the answer of an attempt is missing");
        } else {
            complete.request().respond(received.status(), received.headers(), received.body());
        }
    }

    void completeRecorded(Decision.CompleteRecorded<Exchange> recorded) {
        boolean hasBody = recorded.body() != null;
        recorded.request()
                .respond(
                        recorded.status(),
                        List.of(new HttpHeader("Recorded-Answer", hasBody ? "complete" : "status-only")),
                        hasBody ? recorded.body() : new byte[0]);
    }

    private Optional<BackendServer> backendServer(BackendServerId id) {
        return driver.bundle().map(bundle -> bundle.backendServers().get(id));
    }
}
