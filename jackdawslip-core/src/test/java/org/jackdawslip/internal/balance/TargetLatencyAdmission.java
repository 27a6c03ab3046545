package org.jackdawslip.internal.balance;

import java.util.HashMap;
import java.util.Map;

/**
 * Admission by the limits of each class alone, without regard to other classes: the rule that {@link Admission}
 * replaced, for comparison. Not thread-safe.
 */
final class TargetLatencyAdmission implements HeavyLoadModel.AdmissionRule {

    private static final double FIRST_ATTEMPT_MIN_TIME_SHARE = 0.97;

    private final Map<RequestClass, Long> longestRemaining = new HashMap<>();

    @Override
    public double excessMillis(
            RequestClass requestClass, BackendTracker server, double usualMillis, long remainingMillis, long now) {
        long longest = longestRemaining.merge(requestClass, remainingMillis, Math::max);
        boolean firstAttempt = remainingMillis >= FIRST_ATTEMPT_MIN_TIME_SHARE * longest;
        long limit = firstAttempt ? Math.min(remainingMillis, requestClass.targetLatencyMillis()) : remainingMillis;
        boolean busy = server.estimatedRequests(now) >= server.backend().slots();
        return busy ? Math.max(0, server.expectedResponseMillis(usualMillis, now) - limit) : 0;
    }
}
