package org.jackdawslip.internal.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.FencingToken;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.RequestId;
import org.jackdawslip.internal.admission.PendingRequest.Attempt;
import org.jackdawslip.internal.admission.PendingRequest.Waiter;
import org.jackdawslip.internal.admission.RequestRegistry.Admission;
import org.jackdawslip.internal.bundle.BackendServer;
import org.jackdawslip.internal.bundle.ServicePolicy;
import org.jackdawslip.internal.bundle.ServicePolicy.Routing;
import org.jackdawslip.internal.hedging.HedgeLimit;
import org.jackdawslip.internal.ownership.KeyRange;

/**
 * Schedules the requests of one service at a sender: decides which request is dispatched to which backend
 * server, and when. The sender of a backend server is the only instance that sends requests to it.
 *
 * <p>Not thread-safe; the caller serializes calls. Every call returns decisions to be carried out in order.
 * Monotonic times must not decrease. The end of every dispatched attempt must be reported exactly once with
 * {@link #reportResponse}, {@link #reportNotRun} or {@link #reportLost}; further reports are ignored.
 *
 * <p>Invariants: an attempt is dispatched only while fewer attempts than the slot limit are in flight at the
 * backend server. An at-most-once request has at most one attempt that may have run or may still run. A
 * request is refused as "not run" only if none of its attempts can have run and none will follow.
 *
 * <pre>{@code
 * SenderQueue<Exchange> queue = SenderQueue.<Exchange>builder(policy).random(random).build();
 * queue.addServer(server, true, ranges, null, now);
 * for (Decision<Exchange> decision : queue.submit(submission, now)) { ... }
 * }</pre>
 *
 * @param <R> the handle of a request, with stable {@code equals} and {@code hashCode}
 */
public final class SenderQueue<R> {

    /** A lost attempt may still run, so it occupies its slot for this time, but not beyond its deadline. */
    static final long LOST_ATTEMPT_SLOT_MILLIS = 2000;

    /** The largest share of the requests that is retried after a lost attempt. */
    private static final double RETRY_SHARE = 0.1;
    /** The share of the requests that is hedged at most, unless the builder sets another. */
    public static final double DEFAULT_HEDGE_SHARE = 0.05;
    /** Allows retries in services with few requests before the share applies. */
    private static final double RETRY_BURST = 10;

    private final ServicePolicy policy;
    private final RandomGenerator random;
    private final boolean remoteHedging;
    private final Map<BackendServerId, ServerState<R>> servers = new LinkedHashMap<>();
    private final Map<R, Waiter<R>> waiters = new HashMap<>();
    private final TreeSet<Waiter<R>> deadlines = new TreeSet<>();
    private final Map<Long, Attempt<R>> attemptsInFlight = new HashMap<>();
    private final WaitingRequests<R> waiting = new WaitingRequests<>();
    private final LostAttempts<R> lostAttempts = new LostAttempts<>();
    private final TokenBucket retryBudget = new TokenBucket(RETRY_SHARE, RETRY_BURST, RETRY_BURST);
    private final Hedging<R> hedging;
    private final StragglerDetector stragglerDetector = new StragglerDetector();
    private long nextSequence;
    private boolean draining;
    private ClockReading lastCall = new ClockReading(Long.MIN_VALUE, Long.MIN_VALUE);

    private SenderQueue(Builder<R> builder) {
        this.policy = builder.policy;
        this.random = builder.random;
        this.remoteHedging = builder.remoteHedging;
        this.hedging = new Hedging<>(new HedgeLimit(builder.hedgeLimitShare));
    }

    /** Starts building a queue for a service. */
    public static <R> Builder<R> builder(ServicePolicy policy) {
        return new Builder<>(policy);
    }

    /**
     * Submits a request. A repeat of a running at-most-once request waits for the same response.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_ARGUMENT} if the handle is in use
     */
    public List<Decision<R>> submit(Submission<R> submission, ClockReading now) {
        if (waiters.containsKey(submission.request())) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_ARGUMENT, "request handle " + submission.request() + " is already in use");
        }
        List<Decision<R>> decisions = new ArrayList<>();
        ServerState<R> owner = submission.owner() == null ? null : servers.get(submission.owner());
        if (submission.atMostOnce()) {
            submitAtMostOnce(submission, owner, now, decisions);
        } else {
            submitIdempotent(submission, owner, now, decisions);
        }
        processDue(now, decisions);
        Waiter<R> waiter = waiters.get(submission.request());
        if (submission.onlyIfFree() && waiter != null && waiter.pending().state == PendingRequest.State.QUEUED) {
            removeAndRefuse(waiter.pending(), ErrorCode.QUEUE_FULL, decisions);
        }
        return decisions;
    }

    private void submitIdempotent(
            Submission<R> submission, ServerState<R> owner, ClockReading now, List<Decision<R>> decisions) {
        if (draining) {
            decisions.add(new Decision.Refuse<>(submission.request(), ErrorCode.STOPPING));
        } else if (submission.owner() != null
                && (owner == null
                        || !owner.isUsable()
                        || owner.registry.rangeStart(submission.keyHash()).isEmpty())) {
            decisions.add(new Decision.Refuse<>(submission.request(), ErrorCode.ROUTE_UNSETTLED));
        } else if (submission.owner() == null && !isAnyServerUsable()) {
            decisions.add(new Decision.Refuse<>(submission.request(), ErrorCode.NO_BACKEND_SERVER));
        } else {
            if (!submission.onlyIfFree()) {
                retryBudget.countRequest();
                hedging.countRequest(now.monotonicMillis());
            }
            waiting.enqueue(newRequest(submission, owner, now));
        }
    }

    private void submitAtMostOnce(
            Submission<R> submission, ServerState<R> owner, ClockReading now, List<Decision<R>> decisions) {
        R request = submission.request();
        if (owner == null) {
            decisions.add(new Decision.Refuse<>(request, draining ? ErrorCode.STOPPING : ErrorCode.ROUTE_UNSETTLED));
            return;
        }
        // A recorded id may have run, so "not run" would be wrong even while no new id is admitted.
        Admission admission = !draining && owner.isUsable()
                ? owner.registry.admit(policy.name(), submission.requestId(), submission.keyHash(), now.wallMillis())
                : owner.registry
                        .lookup(policy.name(), submission.requestId(), submission.keyHash(), now.wallMillis())
                        .orElse(new Admission.Refused(draining ? ErrorCode.STOPPING : ErrorCode.ROUTE_UNSETTLED));
        if (admission instanceof Admission.Run) {
            waiting.enqueue(newAtMostOnceRequest(submission, owner, now));
        } else if (admission instanceof Admission.Wait) {
            waiting.hold(newAtMostOnceRequest(submission, owner, now));
        } else if (admission instanceof Admission.Running
                && owner.atMostOnceRequests.containsKey(submission.requestId())) {
            addWaiter(submission, owner.atMostOnceRequests.get(submission.requestId()));
        } else if (admission instanceof Admission.Done done) {
            decisions.add(new Decision.CompleteRecorded<>(request, done.status(), done.body()));
        } else if (admission instanceof Admission.Refused refused) {
            decisions.add(new Decision.Refuse<>(request, refused.code()));
        } else {
            decisions.add(new Decision.Refuse<>(request, ErrorCode.OUTCOME_UNKNOWN));
        }
    }

    private PendingRequest<R> newAtMostOnceRequest(Submission<R> submission, ServerState<R> owner, ClockReading now) {
        PendingRequest<R> pending = newRequest(submission, owner, now);
        owner.atMostOnceRequests.put(pending.requestId, pending);
        return pending;
    }

    private PendingRequest<R> newRequest(Submission<R> submission, ServerState<R> owner, ClockReading now) {
        PendingRequest<R> pending = new PendingRequest<>(submission, owner, nextSequence++, now.monotonicMillis());
        addWaiter(submission, pending);
        return pending;
    }

    private void addWaiter(Submission<R> submission, PendingRequest<R> pending) {
        Waiter<R> waiter = new Waiter<>(submission.request(), submission.deadlineMillis(), nextSequence++, pending);
        pending.waiters.add(waiter);
        waiters.put(waiter.request(), waiter);
        deadlines.add(waiter);
    }

    /**
     * Removes a request whose caller disconnected. A waiting request stays in the queue if a repeat waits for
     * it. The attempts of an idempotent request are cancelled; the attempt of an at-most-once request
     * continues, so that a repeat with the same id can get the response.
     */
    public List<Decision<R>> cancel(R request, ClockReading now) {
        List<Decision<R>> decisions = new ArrayList<>();
        Waiter<R> waiter = waiters.get(request);
        if (waiter != null) {
            removeWaiter(waiter, decisions);
        }
        processDue(now, decisions);
        return decisions;
    }

    /** Removes a request whose copy at another sender got its response first. Its attempt is cancelled. */
    public List<Decision<R>> cancelCompletedElsewhere(R request, ClockReading now) {
        return cancel(request, now);
    }

    /**
     * Reports the complete response of a backend server.
     *
     * @param attemptId the id of the attempt
     * @param status the HTTP status; below 500 counts as success for the slow start and the latencies
     * @param latencyMicros the time from the start of sending to the end of the response, in microseconds
     * @param startId the start id in the response, which identifies the incarnation of the server, or null
     * @param body the body if at most {@link RequestRegistry#MAX_BODY_BYTES} long, else null; not copied
     * @param now the time of the call
     */
    public List<Decision<R>> reportResponse(
            long attemptId, int status, long latencyMicros, String startId, byte[] body, ClockReading now) {
        List<Decision<R>> decisions = new ArrayList<>();
        Attempt<R> attempt = removeAttempt(attemptId);
        if (attempt != null) {
            boolean success = status < 500;
            attempt.server.releaseSlot();
            attempt.server.recordResponse(attempt, success, latencyMicros, startId, now.monotonicMillis());
            PendingRequest<R> pending = attempt.pending;
            if (pending.atMostOnce) {
                pending.owner.registry.recordDone(pending.requestId, status, body);
                pending.owner.atMostOnceRequests.remove(pending.requestId, pending);
            } else if (success && pending.owner == null) {
                hedging.recordLatency(latencyMicros);
            }
            for (Waiter<R> waiter : removeAllWaiters(pending)) {
                decisions.add(new Decision.Complete<>(waiter.request(), attemptId));
            }
            finishRequest(pending, decisions);
        }
        processDue(now, decisions);
        return decisions;
    }

    /** Reports that an attempt certainly did not run. The request is queued again if it can still run. */
    public List<Decision<R>> reportNotRun(long attemptId, NotRunReason reason, ClockReading now) {
        List<Decision<R>> decisions = new ArrayList<>();
        Attempt<R> attempt = removeAttempt(attemptId);
        if (attempt != null) {
            attempt.server.releaseSlot();
            attempt.server.recordNotRun(reason, now.monotonicMillis());
            // A late rejection of an earlier sender token does not affect a token that was accepted later.
            if (reason == NotRunReason.STALE_TOKEN && attempt.senderEpoch == attempt.server.senderEpoch()) {
                stopServer(attempt.server, decisions);
            }
            PendingRequest<R> pending = attempt.pending;
            if (pending.state == PendingRequest.State.IN_FLIGHT && pending.attempts.isEmpty()) {
                requeue(pending, reason.code(), decisions);
            }
        }
        processDue(now, decisions);
        return decisions;
    }

    /** Reports that an attempt ended without a complete response to its request and may have run. */
    public List<Decision<R>> reportLost(long attemptId, ClockReading now) {
        List<Decision<R>> decisions = new ArrayList<>();
        Attempt<R> attempt = removeAttempt(attemptId);
        if (attempt != null) {
            long until = Math.min(attempt.deadlineMillis, now.monotonicMillis() + LOST_ATTEMPT_SLOT_MILLIS);
            if (attempt.cancelled || until <= now.monotonicMillis()) {
                attempt.server.releaseSlot();
            } else {
                lostAttempts.add(attempt.server, until);
            }
            PendingRequest<R> pending = attempt.pending;
            if (!attempt.cancelled) {
                attempt.server.recordLoss(now.monotonicMillis() - attempt.dispatchedMillis);
            }
            pending.mayHaveRun = true;
            if (pending.atMostOnce) {
                pending.owner.registry.recordLost(pending.requestId);
                refuse(pending, ErrorCode.OUTCOME_UNKNOWN, decisions);
            } else if (pending.state == PendingRequest.State.IN_FLIGHT && pending.attempts.isEmpty()) {
                if (!pending.onlyIfFree && retryBudget.tryTake()) {
                    requeue(pending, ErrorCode.OUTCOME_UNKNOWN, decisions);
                } else {
                    refuse(pending, ErrorCode.OUTCOME_UNKNOWN, decisions);
                }
            }
        }
        processDue(now, decisions);
        return decisions;
    }

    /** Processes everything that is due: deadlines, hedges, ends of backoff times and held requests. */
    public List<Decision<R>> tick(ClockReading now) {
        List<Decision<R>> decisions = new ArrayList<>();
        processDue(now, decisions);
        return decisions;
    }

    /** Returns the monotonic time at which {@link #tick} must be called next, in milliseconds, or empty. */
    public OptionalLong nextTickMillis() {
        long next = deadlines.isEmpty() ? Long.MAX_VALUE : deadlines.first().deadlineMillis();
        next = Math.min(next, lostAttempts.nextReleaseMillis());
        next = Math.min(next, hedging.nextDueMillis().orElse(Long.MAX_VALUE));
        OptionalLong held = waiting.nextHeldWallMillis();
        if (held.isPresent()) {
            next = Math.min(next, lastCall.monotonicMillis() + Math.max(1, held.getAsLong() - lastCall.wallMillis()));
        }
        if (waiting.size() > 0) {
            for (ServerState<R> server : servers.values()) {
                if (server.isUsable() && server.backoffUntilMillis() > lastCall.monotonicMillis()) {
                    next = Math.min(next, server.backoffUntilMillis());
                }
            }
        }
        return next == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(next);
    }

    /**
     * Makes this instance the sender of a backend server. Called for every new sender token or assignment,
     * also if this instance was the sender before, because another one may have been the sender in between.
     * Called after the backend server accepted the token or the permit of the previous sender expired.
     * Without a handover, the records of the ranges are complete from the wall time of the call on.
     *
     * @param server the backend server
     * @param acceptsRequests whether the server may get new requests
     * @param ranges the key ranges that the server owns, with their range tokens; for pools, ranges of hashes
     *     of the ids of at-most-once requests
     * @param handover the state from the previous sender, which dispatched nothing after the export, or null
     * @param now the time of the call
     */
    public List<Decision<R>> addServer(
            BackendServer server,
            boolean acceptsRequests,
            Map<KeyRange, FencingToken> ranges,
            SenderHandover<?> handover,
            ClockReading now) {
        List<Decision<R>> decisions = new ArrayList<>();
        ServerState<R> state = servers.computeIfAbsent(server.id(), id -> new ServerState<>(id, policy));
        stopServer(state, decisions);
        state.startSender(server.slots(), acceptsRequests, handover, now.monotonicMillis());
        if (handover != null) {
            state.registry.restore(handover.registry(), now.wallMillis());
        }
        state.registry.assignRanges(ranges, now.wallMillis());
        processDue(now, decisions);
        return decisions;
    }

    /**
     * Sets the key ranges of a backend server with their range tokens. Waiting requests whose key the server
     * no longer owns and waiting at-most-once requests of a range whose token changed are refused, not run.
     */
    public List<Decision<R>> assignRanges(
            BackendServerId server, Map<KeyRange, FencingToken> ranges, ClockReading now) {
        List<Decision<R>> decisions = new ArrayList<>();
        ServerState<R> state = servers.get(server);
        if (state != null && state.isSender()) {
            state.registry.assignRanges(ranges, now.wallMillis());
            for (PendingRequest<R> pending : waiting.ownedBy(state)) {
                if (!pending.isOwnerStillValid()) {
                    removeAndRefuse(pending, ErrorCode.ROUTE_UNSETTLED, decisions);
                }
            }
        }
        processDue(now, decisions);
        return decisions;
    }

    /**
     * Sets the slots of a backend server and whether it may get new requests (not if it is leaving or its
     * failure domain is out of service). If not, waiting requests that only this server may run are refused,
     * not run; attempts in flight continue.
     */
    public List<Decision<R>> updateServer(
            BackendServerId server, int slots, boolean acceptsRequests, ClockReading now) {
        List<Decision<R>> decisions = new ArrayList<>();
        ServerState<R> state = servers.get(server);
        if (state != null) {
            state.update(slots, acceptsRequests);
            if (!acceptsRequests) {
                refuseOwned(state, decisions);
            }
        }
        processDue(now, decisions);
        return decisions;
    }

    /**
     * Stops dispatching to a backend server. The end of attempts in flight must still be reported. Waiting
     * requests that only this server may run are refused, not run, and their records are not exported.
     *
     * @return the state for the next sender, which must not be used if another instance was the sender in
     *     between; empty if this instance is not the sender
     */
    public Optional<SenderHandover<R>> removeServer(BackendServerId server, ClockReading now) {
        ServerState<R> state = servers.get(server);
        if (state == null || !state.isSender()) {
            return Optional.empty();
        }
        List<Decision<R>> decisions = new ArrayList<>();
        refuseOwned(state, decisions);
        RegistrySnapshot records = state.registry.exportSnapshot();
        stopServer(state, decisions);
        processDue(now, decisions);
        return Optional.of(new SenderHandover<>(server, state.limit(), state.startId(), records, decisions));
    }

    /** Records whether a backend server reports that it is busy, a hint to prefer other servers. */
    public void recordLoadReport(BackendServerId server, boolean busy) {
        ServerState<R> state = servers.get(server);
        if (state != null) {
            state.setReportedBusy(busy);
        }
    }

    /**
     * Records the median latency in microseconds that another sender observes at one of its backend servers.
     */
    public void recordRemoteMedian(BackendServerId server, long medianMicros, ClockReading now) {
        stragglerDetector.recordRemoteMedian(server, medianMicros, now.monotonicMillis());
    }

    /** Stops accepting requests. Waiting and dispatched ones are completed; see {@link #isEmpty}. */
    public void drain() {
        draining = true;
    }

    /** Returns whether no request waits and no attempt is in flight. */
    public boolean isEmpty() {
        return waiting.size() == 0 && attemptsInFlight.isEmpty();
    }

    /** Returns the number of waiting requests. */
    public int queueLength() {
        return waiting.size();
    }

    /** Returns the observed state of the backend servers of which this instance is the sender. */
    public List<ServerView> servers() {
        return servers.values().stream()
                .filter(ServerState::isSender)
                .map(ServerState::view)
                .toList();
    }

    /** Returns the record of a request id in the registry of a backend server, if there is one. */
    public Optional<RegistryRecord> requestStatus(BackendServerId server, RequestId id) {
        return Optional.ofNullable(servers.get(server)).flatMap(state -> state.registry.findRecord(id));
    }

    /**
     * Processes what is due and fills free slots. Every method that changes the queue calls this method last.
     */
    private void processDue(ClockReading now, List<Decision<R>> decisions) {
        lastCall = now;
        long millis = now.monotonicMillis();
        while (!deadlines.isEmpty() && deadlines.first().deadlineMillis() <= millis) {
            expireWaiter(deadlines.first(), decisions);
        }
        lostAttempts.releaseDue(millis);
        if (policy.routing() == Routing.POOL) {
            stragglerDetector.updateMarksIfDue(servers.values(), millis);
        }
        waiting.releaseHeld(now.wallMillis());
        dispatchWaiting(millis, decisions);
        hedgeDue(millis, decisions);
        while (waiting.size() > policy.queueLimit()) {
            removeAndRefuse(waiting.newest(), ErrorCode.QUEUE_FULL, decisions);
        }
        servers.values().removeIf(server -> !server.isSender() && server.isIdle());
    }

    private void dispatchWaiting(long now, List<Decision<R>> decisions) {
        boolean progress = true;
        while (progress) {
            progress = false;
            for (ServerState<R> server : servers.values()) {
                if (!server.queue.isEmpty() && server.hasFreeSlot(now)) {
                    progress |= dispatchNext(server.queue, now, server, decisions);
                }
            }
            if (!waiting.sharedQueue.isEmpty()) {
                progress |= dispatchNext(waiting.sharedQueue, now, null, decisions);
            }
        }
    }

    /** Dispatches the next request of a queue and the shared queue. Without a server, both are the same. */
    private boolean dispatchNext(DispatchQueue<R> queue, long now, ServerState<R> server, List<Decision<R>> decisions) {
        PendingRequest<R> pending = queue.peekNext(waiting.sharedQueue, now);
        ServerState<R> target = pending.owner == null ? chooseServer(now, null) : pending.owner;
        if (target == null && server != null) {
            // Stragglers get only probes from the shared queue, so the request for this server goes first.
            pending = queue.peekNext(queue, now);
            target = server;
        }
        if (target == null) {
            return false;
        }
        queue.recordDispatch(pending);
        waiting.remove(pending);
        dispatch(pending, target, now, decisions);
        if (pending.owner == null && policy.hedging() && policy.routing() == Routing.POOL && !pending.onlyIfFree) {
            hedging.schedule(pending, now);
        }
        return true;
    }

    private void dispatch(PendingRequest<R> pending, ServerState<R> server, long now, List<Decision<R>> decisions) {
        if (pending.atMostOnce && (!pending.attempts.isEmpty() || pending.mayHaveRun)) {
            throw new IllegalStateException("request " + pending.requestId + " may have run and must not run again");
        }
        long deadline =
                pending.waiters.stream().mapToLong(Waiter::deadlineMillis).max().orElseThrow();
        Attempt<R> attempt = new Attempt<>(nextSequence++, pending, server, now, deadline);
        server.occupySlot(now);
        pending.state = PendingRequest.State.IN_FLIGHT;
        pending.attempts.add(attempt);
        attemptsInFlight.put(attempt.id, attempt);
        decisions.add(new Decision.Dispatch<>(pending.waiters.get(0).request(), attempt.id, server.id, deadline));
    }

    private void hedgeDue(long now, List<Decision<R>> decisions) {
        List<PendingRequest<R>> deferred = new ArrayList<>();
        for (PendingRequest<R> pending = hedging.pollDue(now); pending != null; pending = hedging.pollDue(now)) {
            ServerState<R> current = pending.attempts.get(0).server;
            ServerState<R> target = waiting.sharedQueue.isEmpty() ? chooseServer(now, current) : null;
            if (target != null && target.isStraggler()) {
                target = null;
            }
            if ((target == null && !remoteHedging) || !hedging.tryTakeFromLimit(now)) {
                deferred.add(pending);
            } else if (target != null) {
                pending.hedged = true;
                dispatch(pending, target, now, decisions);
            } else {
                pending.hedged = true;
                decisions.add(
                        new Decision.HedgeElsewhere<>(pending.waiters.get(0).request(), current.id));
            }
        }
        deferred.forEach(pending -> hedging.reschedule(pending, now));
    }

    /** Chooses a straggler to probe, else the lowest expected wait, else any straggler, or null. */
    private ServerState<R> chooseServer(long now, ServerState<R> exclude) {
        ServerState<R> best = null;
        ServerState<R> straggler = null;
        int equalCount = 1;
        for (ServerState<R> server : servers.values()) {
            if (server == exclude || !server.acceptsShared(now)) {
                continue;
            }
            if (server.isStraggler()) {
                if (server.isProbeDue(now) && exclude == null) {
                    return server;
                }
                straggler = server;
                continue;
            }
            int comparison = best == null ? -1 : ServerState.BY_EXPECTED_WAIT.compare(server, best);
            equalCount = comparison < 0 ? 1 : comparison == 0 ? equalCount + 1 : equalCount;
            if (comparison < 0 || comparison == 0 && random.nextInt(equalCount) == 0) {
                best = server;
            }
        }
        return best == null ? straggler : best;
    }

    private void requeue(PendingRequest<R> pending, ErrorCode code, List<Decision<R>> decisions) {
        boolean canRun = pending.owner == null ? isAnyServerUsable() : pending.isOwnerStillValid();
        if (pending.waiters.isEmpty() || !canRun || pending.onlyIfFree) {
            refuse(pending, code, decisions);
        } else {
            pending.hedged = false;
            waiting.enqueue(pending);
        }
    }

    /** Refuses a request, for all of its callers, that is neither waiting nor in flight. */
    private void refuse(PendingRequest<R> pending, ErrorCode code, List<Decision<R>> decisions) {
        ErrorCode refusalCode = pending.mayHaveRun ? ErrorCode.OUTCOME_UNKNOWN : code;
        for (Waiter<R> waiter : removeAllWaiters(pending)) {
            decisions.add(new Decision.Refuse<>(waiter.request(), refusalCode));
        }
        if (pending.atMostOnce) {
            if (!pending.mayHaveRun) {
                pending.owner.registry.removeNotRun(pending.requestId);
            }
            pending.owner.atMostOnceRequests.remove(pending.requestId, pending);
        }
        pending.state = PendingRequest.State.FINISHED;
    }

    private void removeAndRefuse(PendingRequest<R> pending, ErrorCode code, List<Decision<R>> decisions) {
        waiting.remove(pending);
        refuse(pending, code, decisions);
    }

    private void refuseOwned(ServerState<R> server, List<Decision<R>> decisions) {
        waiting.ownedBy(server).forEach(pending -> removeAndRefuse(pending, ErrorCode.ROUTE_UNSETTLED, decisions));
        if (!isAnyServerUsable()) {
            while (!waiting.sharedQueue.isEmpty()) {
                removeAndRefuse(waiting.sharedQueue.anyRequest(), ErrorCode.NO_BACKEND_SERVER, decisions);
            }
        }
    }

    private void stopServer(ServerState<R> server, List<Decision<R>> decisions) {
        server.stopSender();
        refuseOwned(server, decisions);
    }

    private void expireWaiter(Waiter<R> waiter, List<Decision<R>> decisions) {
        PendingRequest<R> pending = waiter.pending();
        // The request may still run while an attempt is in flight or another caller waits for the same id.
        boolean mayRun =
                pending.mayHaveRun || pending.state == PendingRequest.State.IN_FLIGHT || pending.waiters.size() > 1;
        ErrorCode code = mayRun ? ErrorCode.OUTCOME_UNKNOWN : ErrorCode.DEADLINE_EXCEEDED;
        decisions.add(new Decision.Refuse<>(waiter.request(), code));
        removeWaiter(waiter, decisions);
    }

    private void removeWaiter(Waiter<R> waiter, List<Decision<R>> decisions) {
        PendingRequest<R> pending = waiter.pending();
        pending.waiters.remove(waiter);
        waiters.remove(waiter.request());
        deadlines.remove(waiter);
        if (!pending.waiters.isEmpty()) {
            return;
        }
        if (pending.state != PendingRequest.State.IN_FLIGHT) {
            removeAndRefuse(pending, ErrorCode.DEADLINE_EXCEEDED, decisions);
        } else if (!pending.atMostOnce) {
            finishRequest(pending, decisions);
        }
    }

    private List<Waiter<R>> removeAllWaiters(PendingRequest<R> pending) {
        List<Waiter<R>> removed = List.copyOf(pending.waiters);
        for (Waiter<R> waiter : removed) {
            waiters.remove(waiter.request());
            deadlines.remove(waiter);
        }
        pending.waiters.clear();
        return removed;
    }

    private void finishRequest(PendingRequest<R> pending, List<Decision<R>> decisions) {
        pending.state = PendingRequest.State.FINISHED;
        for (Attempt<R> attempt : pending.attempts) {
            if (!attempt.cancelled) {
                attempt.cancelled = true;
                decisions.add(new Decision.Cancel<>(attempt.id, attempt.server.id));
            }
        }
    }

    private Attempt<R> removeAttempt(long attemptId) {
        Attempt<R> attempt = attemptsInFlight.remove(attemptId);
        if (attempt != null) {
            attempt.pending.attempts.remove(attempt);
        }
        return attempt;
    }

    private boolean isAnyServerUsable() {
        return servers.values().stream().anyMatch(ServerState::isUsable);
    }

    /** Builds a {@link SenderQueue}. Not thread-safe. */
    public static final class Builder<R> {
        private final ServicePolicy policy;
        private RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
        private boolean remoteHedging;
        private double hedgeLimitShare = DEFAULT_HEDGE_SHARE;

        private Builder(ServicePolicy policy) {
            this.policy = policy;
        }

        /** Sets the random generator, which chooses among servers with the same expected wait. */
        public Builder<R> random(RandomGenerator generator) {
            this.random = generator;
            return this;
        }

        /** Sets whether {@link Decision.HedgeElsewhere} may be returned. The default is false. */
        public Builder<R> remoteHedging(boolean enabled) {
            this.remoteHedging = enabled;
            return this;
        }

        /** Sets the hedges for each request, from 0 to 1. The default is {@link #DEFAULT_HEDGE_SHARE}. */
        public Builder<R> hedgeLimitShare(double share) {
            this.hedgeLimitShare = share;
            return this;
        }

        /** Builds the queue. */
        public SenderQueue<R> build() {
            return new SenderQueue<>(this);
        }
    }
}
