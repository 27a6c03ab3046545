package org.jackdawslip.internal.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.netty.channel.EventLoopGroup;
import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.Backend;
import org.jackdawslip.internal.balance.BackendTracker;
import org.jackdawslip.internal.balance.IdleLimit;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.membership.MemberStanding;
import org.jackdawslip.internal.time.MonotonicClock;
import org.jackdawslip.internal.traffic.RoutingConfig;
import org.jackdawslip.internal.traffic.ServiceConfig;

/**
 * The backend servers that discovery lists, with what this instance knows about each and its connections to it.
 *
 * <p>Invariant: a server that is draining, gone or in a failure domain that is taken out gets no new request. Confined
 * to the event loop.
 */
final class BackendDirectory {

    /**
     * Connections to one server that each instance may always open, whatever its share of the limit is. Those beyond
     * its share end with their request, so they are not more than the requests that the server takes at a time.
     */
    private static final int MIN_CONNECTIONS = 2;
    /** Idle connections to one server that an instance keeps while it does not know how many share the limit. */
    private static final int KEPT_WITHOUT_SHARE = 1;
    /** Part of a server's connection limit that callers use; the rest is for grants and health checks. */
    private static final double CALLER_CONNECTION_SHARE = 0.8;

    /** One server with its connections. */
    static final class Target {
        final String entry;
        final BackendTracker tracker;
        final ConnectionPool pool;

        Target(String entry, BackendTracker tracker, ConnectionPool pool) {
            this.entry = entry;
            this.tracker = tracker;
            this.pool = pool;
        }

        Backend backend() {
            return tracker.backend();
        }
    }

    private final EventLoopGroup loop;
    private final MonotonicClock clock;
    private final EventLog log;
    private final MemberStanding standing;
    private final Map<String, Target> byEntry = new HashMap<>();
    private final Map<BackendServerId, Target> byId = new HashMap<>();
    private final Map<BackendTracker, Target> byTracker = new HashMap<>();
    private final Map<ServiceName, Map<String, BackendTracker>> byService = new HashMap<>();
    private final Map<ServiceName, IdleLimit> idleLimits = new HashMap<>();
    private final Set<FailureDomainId> takenOut = new HashSet<>();
    private int instances = 1;
    private RoutingConfig config;

    BackendDirectory(EventLoopGroup loop, MonotonicClock clock, EventLog log, MemberStanding standing) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.standing = standing;
    }

    void listed(String entry, Backend backend) {
        long now = clock.millis();
        Target known = byEntry.get(entry);
        if (known != null
                && known.backend().sameLife(backend)
                && known.backend().address().equals(backend.address())) {
            boolean changed = known.backend().draining() != backend.draining();
            boolean wasCold = known.tracker.cold(now);
            known.tracker.update(backend, now);
            noteColdness(known, wasCold, "listing", now);
            if (changed) {
                log.info("backend-draining", "backend", backend.id(), "service", backend.service());
            }
            return;
        }
        int sentToEarlierLife = known == null ? 0 : known.tracker.recentSends(now);
        removed(entry);
        BackendTracker tracker = new BackendTracker(backend, now);
        IdleLimit idleLimit = idleLimits.computeIfAbsent(backend.service(), service -> new IdleLimit());
        ConnectionPool pool = new ConnectionPool(
                loop,
                clock,
                backend.host(),
                backend.port(),
                idleLimit,
                limitMillis -> log.warn(
                        "idle-limit-shortened",
                        "service",
                        backend.service(),
                        "backend",
                        backend.id(),
                        "limitMillis",
                        limitMillis),
                () -> keptIdle(backend.service()),
                connections(backend.service()));
        Target target = new Target(entry, tracker, pool);
        byEntry.put(entry, target);
        byId.put(backend.id(), target);
        byTracker.put(tracker, target);
        byService
                .computeIfAbsent(backend.service(), service -> new LinkedHashMap<>())
                .put(entry, tracker);
        log.info(
                "backend-listed",
                "backend",
                backend.id(),
                "service",
                backend.service(),
                "address",
                backend.address(),
                "domain",
                backend.domain(),
                "startedAt",
                backend.startedAtMillis(),
                "coldMillis",
                backend.warmupRemainingMillis(),
                "sentInLastSecond",
                sentToEarlierLife);
    }

    /** Logs that a server is now taken to be cold, or no longer, and how many requests it got before that was known. */
    private void noteColdness(Target target, boolean before, String source, long now) {
        boolean cold = target.tracker.cold(now);
        if (cold != before) {
            log.info(
                    cold ? "backend-cold" : "backend-warm",
                    "backend",
                    target.backend().id(),
                    "service",
                    target.backend().service(),
                    "source",
                    source,
                    "coldMillis",
                    target.tracker.coldMillis(now),
                    "sentInLastSecond",
                    target.tracker.recentSends(now));
        }
    }

    void removed(String entry) {
        Target target = byEntry.remove(entry);
        if (target != null) {
            byId.remove(target.backend().id(), target);
            byTracker.remove(target.tracker);
            byService.get(target.backend().service()).remove(entry);
            target.pool.closeIdle();
            log.info(
                    "backend-removed",
                    "backend",
                    target.backend().id(),
                    "service",
                    target.backend().service());
        }
    }

    void takenOut(FailureDomainId domain, boolean out) {
        boolean changed = out ? takenOut.add(domain) : takenOut.remove(domain);
        if (changed) {
            log.info(
                    out ? "domain-taken-out" : "domain-brought-back",
                    "domain",
                    domain,
                    "sentInLastSecond",
                    recentSends(domain, clock.millis()));
        }
    }

    private int recentSends(FailureDomainId domain, long now) {
        return byEntry.values().stream()
                .filter(target -> target.backend().domain().equals(domain))
                .mapToInt(target -> target.tracker.recentSends(now))
                .sum();
    }

    /**
     * Takes what a server states of its warm-up.
     *
     * @param askedAt when it was asked
     */
    void stated(Target target, long remainingMillis, long askedAt) {
        long now = clock.millis();
        boolean before = target.tracker.cold(now);
        target.tracker.stated(remainingMillis, askedAt, now);
        noteColdness(target, before, "server", now);
    }

    /** Returns whether new requests may be sent to the server. */
    boolean admits(Backend backend) {
        return !backend.draining() && !takenOut.contains(backend.domain());
    }

    /** Returns whether the server is still listed and takes new requests. */
    boolean takesRequests(Target target) {
        return byEntry.get(target.entry) == target && admits(target.backend());
    }

    Collection<BackendTracker> trackers(ServiceName service) {
        return byService.getOrDefault(service, Map.of()).values();
    }

    Target target(BackendTracker tracker) {
        return byTracker.get(tracker);
    }

    Target find(BackendServerId id) {
        return byId.get(id);
    }

    Collection<Target> all() {
        return byEntry.values();
    }

    List<Backend> backends(ServiceName service) {
        List<Backend> backends = new ArrayList<>();
        trackers(service).forEach(tracker -> backends.add(tracker.backend()));
        return backends;
    }

    /** Adapts the connection limits to the number of live instances. */
    void instances(int live) {
        if (live != instances) {
            instances = live;
            relimit();
        }
    }

    void config(RoutingConfig newest) {
        config = newest;
        relimit();
    }

    private void relimit() {
        byEntry.values()
                .forEach(
                        target -> target.pool.limit(connections(target.backend().service())));
    }

    private int connections(ServiceName service) {
        ServiceConfig found = config == null ? null : config.service(service);
        if (found == null) {
            return MIN_CONNECTIONS;
        }
        return Math.max(MIN_CONNECTIONS, (int) (CALLER_CONNECTION_SHARE * found.maxConnections() / instances));
    }

    /** Returns how many idle connections to one server this instance keeps; those of all instances add up. */
    private int keptIdle(ServiceName service) {
        ServiceConfig found = config == null ? null : config.service(service);
        if (found == null) {
            return KEPT_WITHOUT_SHARE;
        }
        int part = (int) (CALLER_CONNECTION_SHARE * found.maxConnections() / instances);
        return standing.established() ? part : Math.min(part, KEPT_WITHOUT_SHARE);
    }

    void forgetPeer(InstanceId peer) {
        byEntry.values().forEach(target -> target.tracker.forgetPeer(peer));
    }

    void expireConnections() {
        byEntry.values().forEach(target -> target.pool.expire());
    }
}
