package org.jackdawslip.internal.hedging;

import org.jackdawslip.internal.balance.BackendTracker;
import org.jackdawslip.internal.balance.RetryBudget;

/**
 * Decides whether a slow request to one service is sent to a second server.
 *
 * <p>Invariant: each decision to hedge takes one attempt from the limit of the operators and one from the retry
 * budget. The caller must have excluded requests that may run only once and requests of keyed services. Not
 * thread-safe.
 */
public final class HedgePolicy {

    private static final long IN_THE_PAST = Long.MIN_VALUE / 2;

    private final HedgeLimit limit;
    private final RetryBudget retryBudget;
    /** End of the time in which a hedge would take the place of a first attempt. */
    private long overloadedUntil = IN_THE_PAST;

    /** Creates the policy of a service from its limit and its retry budget. */
    public HedgePolicy(HedgeLimit limit, RetryBudget retryBudget) {
        this.limit = limit;
        this.retryBudget = retryBudget;
    }

    /** Returns the limit of the operators. */
    public HedgeLimit limit() {
        return limit;
    }

    /** Counts a request of a caller. */
    public void recordRequest(long now) {
        limit.recordRequest(now);
    }

    /**
     * Records that no server could take a request in time or that a server refused a hedge in spite of an apparently
     * free slot. Queues that exceed the target latency take about that time to shrink, so hedging pauses for it.
     */
    public void recordOverload(long targetMillis, long now) {
        overloadedUntil = Math.max(overloadedUntil, now + targetMillis);
    }

    /** Returns whether requests may be hedged at all, so that a timer is useful. */
    public boolean enabled() {
        return limit.share() > 0;
    }

    /**
     * Decides about one request and takes the attempt from the limit and the retry budget if it is hedged.
     *
     * @param second the server for the second attempt, or null if there is none
     * @param secondMillis the expected response time of the second server
     * @param elapsedMillis the time for which the first attempt has not responded
     * @param remainingMillis the time until the deadline of the request
     * @param budgetShare the share of the allowance of the retry budget that this instance may use
     */
    public HedgeDecision decide(
            BackendTracker second,
            double secondMillis,
            long elapsedMillis,
            long remainingMillis,
            double budgetShare,
            long now) {
        if (!enabled()) {
            return HedgeDecision.OFF;
        }
        if (second == null) {
            return HedgeDecision.NO_SERVER;
        }
        if (now < overloadedUntil
                || second.estimatedRequests(now) >= second.backend().slots()) {
            return HedgeDecision.OVERLOAD;
        }
        // Of work times with a long tail, those that have taken t are expected to take about as long again.
        if (second.cold(now) || second.paused(now) || secondMillis >= elapsedMillis) {
            return HedgeDecision.NOT_BETTER;
        }
        if (secondMillis >= remainingMillis) {
            return HedgeDecision.TOO_LATE;
        }
        if (!limit.isAvailable(now)) {
            return HedgeDecision.LIMIT;
        }
        if (!retryBudget.tryOptional(now, budgetShare)) {
            return HedgeDecision.RETRY_BUDGET;
        }
        limit.tryTake(now);
        return HedgeDecision.HEDGE;
    }
}
