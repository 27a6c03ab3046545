package org.jackdawslip.internal.balance;

import java.util.HashMap;
import java.util.Map;

import org.jackdawslip.ServiceName;

/**
 * Decides whether a request is admitted to the queue of a backend server.
 *
 * <p>A queue longer than the target latency makes every response late without increasing throughput. The
 * first attempt of a caller is therefore admitted only if its response is expected within the target latency.
 * A caller that was refused and retries is admitted if its response is expected before its timeout.
 *
 * <p>If requests of different priorities are sent to a service, these limits alone favour the class with the longest
 * target latency: it fills the queues up to a length at which the others are refused. A request is then admitted only
 * while more urgent requests still find the queue of the same server short enough, except for the guaranteed minimum
 * of its class. The retries of a class wait beyond the target latency only if the class is a small part of the
 * requests, because they otherwise displace first attempts of the same class.
 *
 * <p>Invariants: a request is not refused at a server with a free slot; requests to a service whose recent requests
 * have one priority are decided by the first paragraph alone. Not thread-safe.
 */
public final class Admission {

    /**
     * A request whose remaining time is below this share of the longest remaining time seen on its route is
     * assumed to be a retry.
     */
    private static final double FIRST_ATTEMPT_MIN_TIME_SHARE = 0.97;
    /**
     * Share of the target latency of a more urgent class that the queues may reach with less urgent requests. The
     * rest is room for the requests that arrive until the load of the server is known to all instances.
     */
    private static final double ROOM_SHARE = 0.7;
    /**
     * Guaranteed admitted share of a class, relative to that of all requests to the service. The least that the
     * operators accept is a quarter.
     */
    private static final double GUARANTEED_SHARE = 0.6;

    private final Map<String, Long> longestRemainingByRoute = new HashMap<>();
    private final Map<ServiceName, ServiceDemand> demandByService = new HashMap<>();

    /**
     * Returns the expected response time up to which the request is admitted, in milliseconds from now, apart from the
     * room for more urgent requests.
     *
     * @param route the name of the route
     * @param remainingMillis remaining time until the timeout of the caller, in milliseconds
     */
    public long responseTimeLimitMillis(String route, RequestClass requestClass, long remainingMillis, long now) {
        long longest = longestRemainingByRoute.merge(route, remainingMillis, Math::max);
        long limit = Math.min(remainingMillis, requestClass.deadlineMillis());
        long targetMillis = requestClass.targetLatencyMillis();
        boolean firstAttempt = remainingMillis >= FIRST_ATTEMPT_MIN_TIME_SHARE * longest;
        if (firstAttempt || limit <= targetMillis) {
            return Math.min(limit, targetMillis);
        }
        ServiceDemand demand = demand(requestClass.service());
        if (!demand.competes(requestClass, now)) {
            return limit;
        }
        double shareOfOthers = 1 - demand.share(requestClass, now);
        return targetMillis + Math.round((limit - targetMillis) * shareOfOthers * shareOfOthers);
    }

    /**
     * Decides whether a request is admitted to a server, and counts the decision for its class.
     *
     * @param usualMillis usual response time of the class at an idle server of usual speed, in milliseconds
     * @param limitMillis the expected response time up to which the request is admitted, in milliseconds
     */
    public AdmissionDecision decide(
            RequestClass requestClass, BackendTracker server, double usualMillis, double limitMillis, long now) {
        ServiceDemand demand = demand(requestClass.service());
        AdmissionDecision decision = decide(demand, requestClass, server, usualMillis, limitMillis, now);
        demand.record(requestClass, decision.admitted(), usualMillis, now);
        return decision;
    }

    private static AdmissionDecision decide(
            ServiceDemand demand,
            RequestClass requestClass,
            BackendTracker server,
            double usualMillis,
            double limitMillis,
            long now) {
        if (server.estimatedRequests(now) < server.backend().slots()) {
            return AdmissionDecision.ADMITTED;
        }
        double excessMillis = server.expectedResponseMillis(usualMillis, now) - limitMillis;
        if (excessMillis > 0) {
            return new AdmissionDecision(AdmissionDecision.Reason.TOO_LATE, excessMillis);
        }
        double urgentExcessMillis = 0;
        for (RequestClass urgent : demand.moreUrgentClasses(requestClass, now)) {
            double urgentMillis = server.expectedResponseMillis(demand.usualMillis(urgent), now);
            urgentExcessMillis = Math.max(urgentExcessMillis, urgentMillis - ROOM_SHARE * urgent.targetLatencyMillis());
        }
        if (urgentExcessMillis <= 0) {
            return AdmissionDecision.ADMITTED;
        }
        return demand.isBelowMinimum(requestClass, GUARANTEED_SHARE, now)
                ? new AdmissionDecision(AdmissionDecision.Reason.ADMITTED_MINIMUM, 0)
                : new AdmissionDecision(AdmissionDecision.Reason.ROOM_FOR_URGENT, urgentExcessMillis);
    }

    private ServiceDemand demand(ServiceName service) {
        return demandByService.computeIfAbsent(service, name -> new ServiceDemand());
    }
}
