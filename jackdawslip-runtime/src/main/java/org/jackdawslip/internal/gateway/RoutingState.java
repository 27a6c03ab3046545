package org.jackdawslip.internal.gateway;

import java.util.HashMap;
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
import org.jackdawslip.internal.balance.WarmupGate;
import org.jackdawslip.internal.keyspace.OwnerView;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.membership.MemberStanding;
import org.jackdawslip.internal.traffic.CallerLimits;
import org.jackdawslip.internal.traffic.HostRoute;
import org.jackdawslip.internal.traffic.RoutingConfig;
import org.jackdawslip.internal.traffic.TrafficSplitter;

/**
 * What decides where a request goes: the configuration in force, the owners of keys, the live instances, and the
 * budgets and running means that follow from requests.
 *
 * <p>Invariant: the version of the configuration never falls. Confined to the event loop.
 */
final class RoutingState {

    /** Part of the shared retry bound that is used; counts of different instances do not cover the same window. */
    private static final double BUDGET_SHARE = 0.8;
    /** Share of the target latency that an answer is assumed to take before the first was seen. */
    private static final double ASSUMED_SHARE = 0.33;

    private final GatewaySettings settings;
    private final EventLog log;
    private final TrafficSplitter splitter;
    private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();
    private final Map<String, LatencyEstimate> latencies = new HashMap<>();
    private final Map<ServiceName, OwnerView> owners = new HashMap<>();
    private final Admission admission = new Admission();
    private final WarmupGate warmup;
    private final MemberStanding standing;
    private Set<InstanceId> instances;
    private RoutingConfig config;

    RoutingState(GatewaySettings settings, EventLog log, Random random, MemberStanding standing) {
        this.settings = settings;
        this.log = log;
        this.splitter = new TrafficSplitter(random);
        this.standing = standing;
        this.instances = Set.of(settings.instance());
        this.warmup = new WarmupGate(settings.instance(), standing::established);
    }

    /** Returns the configuration in force, or null before the first is known. */
    RoutingConfig config() {
        return config;
    }

    /** Returns the limits for callers in force. */
    CallerLimits limits() {
        return config == null ? CallerLimits.DEFAULT : config.limits();
    }

    /** Puts a configuration in force if it is newer. */
    boolean offer(RoutingConfig newer) {
        if (config != null && newer.version() <= config.version()) {
            if (newer.version() < config.version()) {
                log.warn("config-older", "version", newer.version(), "inForce", config.version());
            }
            return false;
        }
        config = newer;
        log.info("config-in-force", "version", newer.version());
        return true;
    }

    ServiceName serviceFor(HostRoute route) {
        return splitter.next(route);
    }

    RetryBudget budget(ServiceName service) {
        return budgets.computeIfAbsent(
                service,
                name -> new RetryBudget(
                        BUDGET_SHARE * settings.bounds().retryRatio(),
                        BUDGET_SHARE * settings.bounds().retryAllowance(),
                        settings.bounds().retryWindowMillis()));
    }

    LatencyEstimate latency(HostRoute route, ServiceName service) {
        return latencies.computeIfAbsent(
                route.name() + ' ' + service, name -> new LatencyEstimate(ASSUMED_SHARE * route.targetLatencyMillis()));
    }

    OwnerView owners(ServiceName service) {
        return owners.computeIfAbsent(service, name -> new OwnerView());
    }

    WarmupGate warmup() {
        return warmup;
    }

    Admission admission() {
        return admission;
    }

    /** Returns the live instances, this one included. */
    Set<InstanceId> instances() {
        return instances;
    }

    /** Returns the part of a bound over all instances that this one may use, from 0 to 1. */
    double share() {
        return standing.share(instances.size());
    }

    void instances(List<InstanceId> peers) {
        Set<InstanceId> live = new TreeSet<>(peers);
        live.add(settings.instance());
        instances = Set.copyOf(live);
        warmup.instances(instances);
    }
}
