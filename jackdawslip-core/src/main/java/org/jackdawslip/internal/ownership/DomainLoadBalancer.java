package org.jackdawslip.internal.ownership;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.bundle.BackendServer;
import org.jackdawslip.internal.bundle.ServicePolicy.Routing;

/**
 * Stores the load reports of the senders, and runs the {@link LoadBalancer} of each service while the failure
 * domain is settled.
 *
 * <p>Invariant: the load is not balanced within {@link #SETTLE_MILLIS} of a disturbance: a change of bundle
 * or role, a loss, or a move for another reason. Not thread-safe; confined to its member.
 */
final class DomainLoadBalancer {

    /**
     * How long after a disturbance the load is not balanced. Three reports arrive in this time and replace
     * older ones.
     */
    static final long SETTLE_MILLIS = 3_000;
    /** The age up to which a report is used. Reports arrive every second, and two of them may be lost. */
    static final long MAX_REPORT_AGE_MILLIS = 3_500;

    /**
     * A backend server with a median latency above this multiple of the median of all is a straggler, as in
     * pools.
     */
    private static final double STRAGGLER_MULTIPLE = 3;
    /**
     * A backend server with more load than this share of the mean needs no further ranges, however few it
     * has.
     */
    private static final double LOADED_SHARE = 0.5;

    /**
     * The interval between two decisions. Reports change once a second, so more frequent decisions have no
     * use.
     */
    private static final long DECISION_INTERVAL_MILLIS = 500;
    /**
     * How long a backend server counts as loaded without reports. A new sender reports it within this time.
     */
    private static final long LOADED_RETENTION_MILLIS = 10_000;

    private final MemberState state;
    private final Map<BackendServerId, Long> loadedAt = new HashMap<>();
    private final Map<InstanceId, ReceivedReport> reports = new HashMap<>();
    private final Map<ServiceName, ServiceState> services = new HashMap<>();
    private long bundleVersion;

    DomainLoadBalancer(MemberState state) {
        this.state = state;
    }

    /** The newest load report of an instance, with the time of its receipt. */
    private record ReceivedReport(long at, RangeLoads loads) {}

    /** The balancer of one service, with the times that control it. */
    private static final class ServiceState {
        private final LoadBalancer balancer = new LoadBalancer();
        private long disturbedAt = Long.MIN_VALUE;
        private long nextDecisionAt;
        /** Whether a term started or the bundle changed since the last tick. */
        private boolean restarted = true;
    }

    /** Stores a load report, and discards those of instances that are no longer peers. */
    void onRangeLoads(long now, RangeLoads loads) {
        if (loads.from().equals(state.self) || state.detector.peers().contains(loads.from())) {
            reports.keySet()
                    .removeIf(id ->
                            !id.equals(state.self) && !state.detector.peers().contains(id));
            reports.put(loads.from(), new ReceivedReport(now, loads));
        }
    }

    /** Starts a term of the coordinator. */
    void beginTerm() {
        services.clear();
    }

    /** Returns the backend servers that have enough load to get no further ranges, however few they have. */
    Set<BackendServerId> loadedServers(long now, ServiceName service) {
        Map<BackendServerId, ServerLoad> loads = loads(now, service);
        double mean =
                loads.values().stream().mapToDouble(ServerLoad::slots).average().orElse(0);
        loads.forEach((server, load) -> {
            if (load.slots() > LOADED_SHARE * mean) {
                loadedAt.put(server, now);
            }
        });
        loadedAt.values().removeIf(at -> now - at > LOADED_RETENTION_MILLIS);
        return Set.copyOf(loadedAt.keySet());
    }

    /**
     * Returns the changes that are due. Must be called in every tick, so that each disturbance is registered.
     */
    List<LoadBalancer.Change> changes(
            long now, ServiceName service, Collection<LoadBalancer.TableRange> tableRanges, boolean settled) {
        if (state.bundle.orElseThrow().services().get(service).routing() != Routing.KEYED) {
            return List.of();
        }
        if (state.bundle.get().version() != bundleVersion) {
            bundleVersion = state.bundle.get().version();
            services.values().forEach(balancing -> balancing.restarted = true);
        }
        ServiceState balancing = services.computeIfAbsent(service, unused -> new ServiceState());
        Map<BackendServerId, ServerLoad> loads = loads(now, service);
        Set<BackendServerId> available = availableServers(now, service);
        boolean loadsComplete = tableRanges.stream()
                .flatMap(tableRange -> tableRange.owner().stream())
                .allMatch(owner -> available.contains(owner) && loads.containsKey(owner));
        if (balancing.restarted || !settled || !loadsComplete) {
            balancing.restarted = false;
            balancing.disturbedAt = now;
            balancing.balancer.reset();
            return List.of();
        }
        if (now - balancing.disturbedAt < SETTLE_MILLIS || now < balancing.nextDecisionAt) {
            return List.of();
        }
        balancing.nextDecisionAt = now + DECISION_INTERVAL_MILLIS;
        Set<BackendServerId> targets = new HashSet<>(available);
        targets.removeIf(server -> !loads.containsKey(server)
                || !loads.get(server).warm()
                || !accepting(now, server)
                || isStraggler(loads.get(server), loads.values()));
        return balancing.balancer.decide(now, tableRanges, loads, targets);
    }

    /** Returns for each backend server the load that its current sender reported recently. */
    private Map<BackendServerId, ServerLoad> loads(long now, ServiceName service) {
        Map<BackendServerId, ServerLoad> result = new TreeMap<>();
        for (BackendServer server : state.ownServers()) {
            if (!server.service().equals(service)) {
                continue;
            }
            Optional<ReceivedReport> received = state.newestReport(now, server.id())
                    .map(reported -> reports.get(reported.by()))
                    .filter(report -> now - report.at() <= MAX_REPORT_AGE_MILLIS);
            received.stream()
                    .flatMap(report -> report.loads().servers().stream())
                    .filter(load -> load.backendServer().equals(server.id()))
                    .forEach(load -> result.put(server.id(), load));
        }
        return result;
    }

    /** Returns the backend servers that are neither leaving nor unreachable. */
    private Set<BackendServerId> availableServers(long now, ServiceName service) {
        Set<BackendServerId> result = new HashSet<>();
        for (BackendServer server : state.ownServers()) {
            if (server.service().equals(service)
                    && !server.leaving()
                    && state.newestReport(now, server.id())
                            .filter(reported -> !reported.summary().unreachable())
                            .isPresent()) {
                result.add(server.id());
            }
        }
        return result;
    }

    private boolean accepting(long now, BackendServerId server) {
        return state.newestReport(now, server).orElseThrow().summary().accepting();
    }

    private static boolean isStraggler(ServerLoad load, Collection<ServerLoad> all) {
        long[] medians = all.stream()
                .mapToLong(ServerLoad::medianMicros)
                .filter(median -> median >= 0)
                .sorted()
                .toArray();
        return medians.length > 0 && load.medianMicros() > STRAGGLER_MULTIPLE * medians[medians.length / 2];
    }
}
