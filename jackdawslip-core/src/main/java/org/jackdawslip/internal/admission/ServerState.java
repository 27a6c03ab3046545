package org.jackdawslip.internal.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.RequestId;
import org.jackdawslip.internal.bundle.ServicePolicy;

/**
 * The state of one backend server at its sender: slots, slow start, latencies, backoff and the request
 * registry. Not thread-safe.
 *
 * <p>Slow start (ramp): a cold server starts with a low limit of attempts in flight, which rises to the
 * number of its slots with successful responses and time. Invariant: {@link #occupySlot} is called only while
 * fewer attempts than the limit are in flight.
 */
final class ServerState<R> {

    /**
     * The backoff after the first refusal. Doubles up to the maximum, so that a dead server costs few
     * attempts.
     */
    private static final long INITIAL_BACKOFF_MILLIS = 10;
    /** The longest backoff, well below the 2 s within which a key must be served again after a failure. */
    private static final long MAX_BACKOFF_MILLIS = 500;
    /**
     * Ten fast probes change the median of 20 latencies, so recovery of a straggler is detected within about
     * 1 s.
     */
    private static final long PROBE_INTERVAL_MILLIS = 100;

    private static final int MEDIAN_SAMPLES = 20;

    /**
     * Orders servers by expected wait: the share of the slots in use with one more request, times the average
     * latency. The share is of the slots and not of the limit, because a share of the limit starves cold
     * servers: at 16 % load, their slow start does not end within 3 s.
     */
    static final Comparator<ServerState<?>> BY_EXPECTED_WAIT = Comparator.comparingDouble(ServerState::expectedWait);

    /**
     * Load reports lag behind, so a reported load counts only as much as one more request on an idle server.
     */
    private static final double REPORTED_BUSY_FACTOR = 2;

    final BackendServerId id;
    final RequestRegistry registry;
    final DispatchQueue<R> queue = new DispatchQueue<>();
    final Map<RequestId, PendingRequest<R>> atMostOnceRequests = new HashMap<>();
    private final ServicePolicy policy;
    private final LatencyWindow latencies = new LatencyWindow(MEDIAN_SAMPLES, 1);
    private double averageMicros;
    private boolean sender;
    private boolean acceptsRequests;
    private boolean straggler;
    private boolean reportedBusy;
    private int slots;
    private int limit;
    private int inFlight;
    private int rampSuccesses;
    private long lastRampStepMillis;
    private long rampEpoch;
    private long senderEpoch;
    private String startId;
    private long backoffMillis;
    private long backoffUntilMillis = Long.MIN_VALUE;
    private long lastDispatchMillis = Long.MIN_VALUE / 2;

    ServerState(BackendServerId id, ServicePolicy policy) {
        this.id = id;
        this.policy = policy;
        this.registry = new RequestRegistry(policy.name());
    }

    /** Makes this instance the sender, at the start of the slow start or at the limit in the handover. */
    void startSender(int newSlots, boolean newAcceptsRequests, SenderHandover<?> handover, long now) {
        sender = true;
        senderEpoch++;
        acceptsRequests = newAcceptsRequests;
        slots = newSlots;
        straggler = false;
        latencies.clear();
        averageMicros = 0;
        resetRamp(now);
        startId = null;
        if (handover != null) {
            limit = Math.max(limit, Math.min(handover.limit(), slots));
            startId = handover.startId();
        }
    }

    void stopSender() {
        sender = false;
        registry.clearRanges();
    }

    void update(int newSlots, boolean newAcceptsRequests) {
        slots = newSlots;
        limit = Math.min(limit, slots);
        acceptsRequests = newAcceptsRequests;
    }

    boolean isSender() {
        return sender;
    }

    boolean isIdle() {
        return inFlight == 0 && queue.isEmpty() && atMostOnceRequests.isEmpty();
    }

    boolean isUsable() {
        return sender && acceptsRequests;
    }

    boolean hasFreeSlot(long now) {
        return isUsable() && now >= backoffUntilMillis && inFlight < limit;
    }

    /**
     * Returns whether a request that any server may run can be dispatched here; a straggler gets one at a
     * time.
     */
    boolean acceptsShared(long now) {
        return hasFreeSlot(now) && !(straggler && inFlight > 0);
    }

    boolean isProbeDue(long now) {
        return straggler && now - lastDispatchMillis >= PROBE_INTERVAL_MILLIS;
    }

    void occupySlot(long now) {
        if (inFlight >= limit) {
            throw new IllegalStateException("backend server " + id + " is at its limit of " + limit);
        }
        inFlight++;
        lastDispatchMillis = now;
    }

    void releaseSlot() {
        inFlight--;
    }

    void recordResponse(
            PendingRequest.Attempt<R> attempt, boolean success, long latencyMicros, String responseStartId, long now) {
        backoffMillis = 0;
        if (responseStartId != null && !responseStartId.equals(startId)) {
            if (startId != null) {
                resetRamp(now);
            }
            startId = responseStartId;
        }
        if (!success) {
            return;
        }
        latencies.add(latencyMicros);
        averageMicros = averageMicros == 0 ? latencyMicros : averageMicros * 0.8 + latencyMicros * 0.2;
        // A response to an attempt from before a reset may come from an earlier incarnation and must not
        // advance the slow start of the cold one.
        if (attempt.rampEpoch == rampEpoch) {
            rampSuccesses++;
            if (limit < slots
                    && rampSuccesses >= policy.rampRequests()
                    && now - lastRampStepMillis >= policy.rampMillis()) {
                limit++;
                rampSuccesses = 0;
                lastRampStepMillis = now;
            }
        }
    }

    void recordLoss(long elapsedMillis) {
        averageMicros = averageMicros * 0.8 + elapsedMillis * 1000 * 0.2;
    }

    void recordNotRun(NotRunReason reason, long now) {
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, Math.max(INITIAL_BACKOFF_MILLIS, backoffMillis * 2));
        backoffUntilMillis = now + backoffMillis;
        if (reason.resetsRamp()) {
            resetRamp(now);
        }
    }

    private void resetRamp(long now) {
        limit = Math.max(1, Math.min(policy.coldSlots(), slots));
        rampSuccesses = 0;
        lastRampStepMillis = now;
        rampEpoch++;
    }

    /**
     * Returns the median latency of the last 20 successful responses in microseconds, or -1 if there are
     * fewer.
     */
    long medianMicros() {
        return latencies.size() < MEDIAN_SAMPLES ? -1 : latencies.quantile(0.5);
    }

    private double expectedWait() {
        double waitMicros = (inFlight + 1.0) / slots * Math.max(1, averageMicros);
        return reportedBusy ? waitMicros * REPORTED_BUSY_FACTOR : waitMicros;
    }

    void markStraggler(boolean marked) {
        straggler = marked;
    }

    boolean isStraggler() {
        return straggler;
    }

    void setReportedBusy(boolean busy) {
        reportedBusy = busy;
    }

    int limit() {
        return limit;
    }

    long rampEpoch() {
        return rampEpoch;
    }

    /** Returns how many times this instance has become the sender of the backend server. */
    long senderEpoch() {
        return senderEpoch;
    }

    String startId() {
        return startId;
    }

    ServerView view() {
        return new ServerView(id, acceptsRequests, limit, inFlight, straggler, medianMicros(), startId);
    }

    long backoffUntilMillis() {
        return backoffUntilMillis;
    }
}
