package org.jackdawslip.internal.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

import org.jackdawslip.InstanceId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.Admission;
import org.jackdawslip.internal.balance.LatencyEstimate;
import org.jackdawslip.internal.balance.RetryBudget;
import org.jackdawslip.internal.balance.RetryDelay;
import org.jackdawslip.internal.balance.TransitLimit;
import org.jackdawslip.internal.balance.WarmupGate;
import org.jackdawslip.internal.hedging.HedgeLimit;
import org.jackdawslip.internal.hedging.HedgePolicy;
import org.jackdawslip.internal.hedging.HedgeTiming;
import org.jackdawslip.internal.keyspace.OwnerView;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.membership.MembershipStatus;
import org.jackdawslip.internal.traffic.CallerLimits;
import org.jackdawslip.internal.traffic.HostRoute;
import org.jackdawslip.internal.traffic.RequestKind;
import org.jackdawslip.internal.traffic.RoutingConfig;
import org.jackdawslip.internal.traffic.TrafficSplitter;

/**
 * The state that determines how requests are routed: the configuration in force, the owners of keys, the live
 * instances, and the retry budgets and response time estimates that are derived from requests.
 *
 * <p>Invariant: the version of the configuration never decreases. Confined to the event loop.
 */
final class RoutingState {

    /**
     * Used part of the global retry limit; less than 1 because the windows of the instances are not aligned.
     */
    private static final double USED_RETRY_LIMIT_SHARE = 0.8;
    /** Part of the target latency that is assumed as response time until the first response arrives. */
    private static final double INITIAL_LATENCY_SHARE = 0.33;

    /** Property for the bytes in transit to one backend server, for all instances together. */
    private static final String TRANSIT_LIMIT_PROPERTY = "jackdawslip.serverTransitBytes";

    private final GatewaySettings settings;
    private final EventLog log;
    private final TrafficSplitter splitter;
    private final Map<ServiceName, RetryBudget> retryBudgets = new HashMap<>();
    private final Map<String, LatencyEstimate> latencyEstimates = new HashMap<>();
    private final Map<ServiceName, HedgePolicy> hedgePolicies = new HashMap<>();
    private final Map<String, HedgeTiming> hedgeTimings = new HashMap<>();
    private final Map<ServiceName, OwnerView> ownerViews = new HashMap<>();
    private final Admission admission = new Admission();
    private final RetryDelay retryDelay;
    private final TransitLimit transitLimit;
    /** Routes whose unknown kind has been logged. */
    private final Set<String> routesOfUnknownKind = new HashSet<>();

    private final WarmupGate warmupGate;
    private final MembershipStatus membershipStatus;
    private Set<InstanceId> instances;
    private RoutingConfig config;

    RoutingState(GatewaySettings settings, EventLog log, Random random, MembershipStatus membershipStatus) {
        this.settings = settings;
        this.log = log;
        this.splitter = new TrafficSplitter(random);
        this.retryDelay = new RetryDelay(random);
        this.transitLimit = new TransitLimit(
                ProcessProperties.positiveLong(TRANSIT_LIMIT_PROPERTY, TransitLimit.DEFAULT_BYTES),
                () -> instances.size());
        this.membershipStatus = membershipStatus;
        this.instances = Set.of(settings.instance());
        this.warmupGate = new WarmupGate(settings.instance(), membershipStatus::isEstablished);
    }

    /** Returns the configuration in force, or null before the first one arrives. */
    RoutingConfig config() {
        return config;
    }

    /** Returns the limits for callers that are in force. */
    CallerLimits callerLimits() {
        return config == null ? CallerLimits.DEFAULT : config.limits();
    }

    /** Puts a configuration in force if its version is higher; returns whether it was put in force. */
    boolean applyIfNewer(RoutingConfig newer) {
        if (config != null && newer.version() <= config.version()) {
            if (newer.version() < config.version()) {
                log.warn("config-older", "version", newer.version(), "inForce", config.version());
            }
            return false;
        }
        config = newer;
        log.info("config-in-force", "version", newer.version());
        warnOfUnknownKinds(newer);
        return true;
    }

    private void warnOfUnknownKinds(RoutingConfig newer) {
        for (HostRoute route : newer.routes()) {
            if (route.kind() == RequestKind.UNKNOWN && routesOfUnknownKind.add(route.name())) {
                log.warn("route-kind-unknown", "route", route.name(), "handledAs", RequestKind.AT_MOST_ONCE);
            }
        }
    }

    /** Selects the service for the next request of a route. */
    ServiceName selectService(HostRoute route) {
        return splitter.nextService(route);
    }

    RetryBudget retryBudget(ServiceName service) {
        return retryBudgets.computeIfAbsent(
                service,
                name -> new RetryBudget(
                        USED_RETRY_LIMIT_SHARE * settings.platformLimits().retryRatio(),
                        USED_RETRY_LIMIT_SHARE * settings.platformLimits().retryAllowance(),
                        settings.platformLimits().retryWindowMillis()));
    }

    /** Returns the number of retries that this instance may still send to the service. */
    double remainingRetries(ServiceName service, long now) {
        return retryBudget(service).remaining(now, globalLimitShare());
    }

    LatencyEstimate latencyEstimate(HostRoute route, ServiceName service) {
        return latencyEstimates.computeIfAbsent(
                route.name() + ' ' + service,
                name -> new LatencyEstimate(INITIAL_LATENCY_SHARE * route.targetLatencyMillis()));
    }

    HedgePolicy hedgePolicy(ServiceName service) {
        return hedgePolicies.computeIfAbsent(
                service,
                name -> new HedgePolicy(new HedgeLimit(settings.hedging().share(name)), retryBudget(name)));
    }

    HedgeTiming hedgeTiming(HostRoute route, ServiceName service) {
        return hedgeTimings.computeIfAbsent(route.name() + ' ' + service, name -> new HedgeTiming());
    }

    OwnerView ownerView(ServiceName service) {
        return ownerViews.computeIfAbsent(service, name -> new OwnerView());
    }

    WarmupGate warmupGate() {
        return warmupGate;
    }

    Admission admission() {
        return admission;
    }

    TransitLimit transitLimit() {
        return transitLimit;
    }

    RetryDelay retryDelay() {
        return retryDelay;
    }

    /** Returns the live instances, this one included. */
    Set<InstanceId> instances() {
        return instances;
    }

    /** Returns the share of global limits that this instance may use, from 0 to 1. */
    double globalLimitShare() {
        return membershipStatus.limitShare(instances.size());
    }

    /** Sets the live instances; this instance is always one of them. */
    void setLiveInstances(List<InstanceId> peers) {
        Set<InstanceId> live = new TreeSet<>(peers);
        live.add(settings.instance());
        instances = Set.copyOf(live);
        warmupGate.setLiveInstances(instances);
    }
}
