package org.jackdawslip.internal.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.Backend;
import org.jackdawslip.internal.balance.BackendTracker;
import org.jackdawslip.internal.balance.IdleLimit;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.membership.MembershipStatus;
import org.jackdawslip.internal.time.MonotonicClock;
import org.jackdawslip.internal.traffic.RoutingConfig;
import org.jackdawslip.internal.traffic.ServiceConfig;

/**
 * The backend servers that discovery lists, each with its tracker and the connections of this instance to the
 * server.
 *
 * <p>Invariant: a server that is draining or has stated that it is shutting down, that is no longer listed or in a
 * failure domain that is taken out, or whose address belongs to a later server by now, receives no new request, and
 * a server that asked for a pause receives none until its end. A listing of a service that the configuration does not
 * name may come from another writer: it names no server, so it changes nothing that is known of the others. Confined to
 * the event loop.
 */
final class BackendDirectory {

    /**
     * Connections to one server that each instance may always open, whatever its share of the server's limit
     * is. Connections beyond the share are closed after their request, so their number does not exceed the
     * number of requests that the server processes at a time.
     */
    private static final int MIN_CONNECTIONS = 2;
    /** Idle connections to one server that an instance keeps while its share of the limit is unknown. */
    private static final int MAX_IDLE_WITHOUT_SHARE = 1;
    /** Fraction of a server's connection limit for callers; the rest is for grant calls and health checks. */
    private static final double CALLER_CONNECTION_SHARE = 0.8;

    /** Largest random extension of a requested pause, so that not all instances end it at the same time. */
    private static final double PAUSE_SPREAD_SHARE = 0.2;

    private static final long MAX_PAUSE_SPREAD_MILLIS = 1_000;
    /** Limit of a response that is buffered whole, because it is not passed on as it arrives. */
    static final int MAX_RESPONSE_BYTES = 256 * 1024;
    /** The responses that are buffered at a time may use this part of the heap. */
    private static final long RESPONSE_MEMORY_DIVISOR = 4;

    /** One listed incarnation of a server with its connections. Confined to the event loop. */
    static final class Target {
        /** Key of the listing in the store. */
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
    private final MembershipStatus membershipStatus;
    private final HeaderNames headerNames;
    private final Random random;
    private Consumer<Target> leavingListener = target -> {};
    private final Map<String, Target> byEntry = new HashMap<>();
    /** Listings of services that the configuration does not name. They are used if a later one names the service. */
    private final Map<String, Backend> unnamedListings = new LinkedHashMap<>();

    private final Map<BackendServerId, Target> byId = new HashMap<>();
    private final Map<BackendTracker, Target> byTracker = new HashMap<>();
    /** The server at each address that started last. Listings of ended servers expire seconds later. */
    private final Map<String, Target> latestByAddress = new HashMap<>();
    /** Listed servers whose address belongs to a server that started later. */
    private final Set<BackendTracker> trackersWithTakenAddress = new HashSet<>();

    private final Map<ServiceName, Map<String, BackendTracker>> byService = new HashMap<>();
    private final Map<ServiceName, IdleLimit> idleLimits = new HashMap<>();
    private final ResponseMemory responseMemory =
            new ResponseMemory(Runtime.getRuntime().maxMemory() / RESPONSE_MEMORY_DIVISOR);
    private final Set<FailureDomainId> excludedDomains = new HashSet<>();
    private int liveInstanceCount = 1;
    private RoutingConfig routingConfig;

    BackendDirectory(
            EventLoopGroup loop,
            MonotonicClock clock,
            EventLog log,
            MembershipStatus membershipStatus,
            HeaderNames headerNames,
            Random random) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.membershipStatus = membershipStatus;
        this.headerNames = headerNames;
        this.random = random;
    }

    /** Sets the receiver of servers that stated in a response to this instance that they are shutting down. */
    void setLeavingListener(Consumer<Target> listener) {
        leavingListener = listener;
    }

    /**
     * Adds a server or updates its listing. A new incarnation or a new address replaces the tracker and the
     * connections.
     *
     * @param entry the key of the listing in the store
     */
    void addOrUpdate(String entry, Backend backend) {
        long now = clock.millis();
        Target current = byEntry.get(entry);
        if (current != null
                && current.backend().sameIncarnation(backend)
                && current.backend().address().equals(backend.address())) {
            boolean changed = current.backend().draining() != backend.draining();
            boolean wasCold = current.tracker.cold(now);
            current.tracker.update(backend, now);
            logIfColdChanged(current, wasCold, "listing", now);
            if (changed) {
                log.info("backend-draining", "backend", backend.id(), "service", backend.service());
            }
            return;
        }
        int sentToPreviousIncarnation = current == null ? 0 : current.tracker.recentAttempts(now);
        remove(entry);
        if (!isNamed(backend.service())) {
            unnamedListings.put(entry, backend);
            log.info(
                    "listing-of-unnamed-service",
                    "backend",
                    backend.id(),
                    "service",
                    backend.service(),
                    "address",
                    backend.address());
            return;
        }
        BackendTracker tracker = new BackendTracker(backend, now);
        IdleLimit idleLimit = idleLimits.computeIfAbsent(backend.service(), service -> new IdleLimit());
        ConnectionPool pool = ConnectionPool.builder(loop, clock, backend.host(), backend.port())
                .idleLimit(idleLimit, limitMillis -> logIdleLimit(backend, limitMillis))
                .connections(() -> maxIdleConnections(backend.service()), maxConnections(backend.service()))
                .responseMemory(MAX_RESPONSE_BYTES, responseMemory)
                .build();
        Target target = new Target(entry, tracker, pool);
        byEntry.put(entry, target);
        byId.put(backend.id(), target);
        byTracker.put(tracker, target);
        takeAddress(target);
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
                sentToPreviousIncarnation);
    }

    private boolean isNamed(ServiceName service) {
        return routingConfig != null && routingConfig.service(service) != null;
    }

    private void logIdleLimit(Backend backend, long limitMillis) {
        log.warn(
                "idle-limit-shortened",
                "service",
                backend.service(),
                "backend",
                backend.id(),
                "limitMillis",
                limitMillis);
    }

    /** Returns the number of bytes of responses that are buffered. */
    long bufferedResponseBytes() {
        return responseMemory.reservedBytes();
    }

    /** Returns the bytes of requests and unread responses of this instance that the servers hold. */
    long transitBytes() {
        return byEntry.values().stream()
                .mapToLong(target -> target.tracker.bytesInTransit())
                .sum();
    }

    /** Logs a change between cold and warm, and how many requests were sent in the second before the change. */
    private void logIfColdChanged(Target target, boolean wasCold, String source, long now) {
        boolean cold = target.tracker.cold(now);
        if (cold != wasCold) {
            log.info(
                    cold ? "backend-cold" : "backend-warm",
                    "backend",
                    target.backend().id(),
                    "service",
                    target.backend().service(),
                    "source",
                    source,
                    "coldMillis",
                    target.tracker.remainingColdMillis(now),
                    "sentInLastSecond",
                    target.tracker.recentAttempts(now));
        }
    }

    /** Removes a server that is no longer listed. Its open exchanges complete. */
    void remove(String entry) {
        unnamedListings.remove(entry);
        Target target = byEntry.remove(entry);
        if (target != null) {
            byId.remove(target.backend().id(), target);
            byTracker.remove(target.tracker);
            giveUpAddress(target);
            byService.get(target.backend().service()).remove(entry);
            target.pool.shutDown();
            log.info(
                    "backend-removed",
                    "backend",
                    target.backend().id(),
                    "service",
                    target.backend().service());
        }
    }

    /** Stops or resumes new requests to the servers of a failure domain. */
    void setDomainTakenOut(FailureDomainId domain, boolean takenOut) {
        boolean changed = takenOut ? excludedDomains.add(domain) : excludedDomains.remove(domain);
        if (changed) {
            log.info(
                    takenOut ? "domain-taken-out" : "domain-brought-back",
                    "domain",
                    domain,
                    "sentInLastSecond",
                    recentAttempts(domain, clock.millis()));
        }
    }

    private int recentAttempts(FailureDomainId domain, long now) {
        return byEntry.values().stream()
                .filter(target -> target.backend().domain().equals(domain))
                .mapToInt(target -> target.tracker.recentAttempts(now))
                .sum();
    }

    /**
     * Records the warm-up time of a state report.
     *
     * @param remainingMillis for how much longer the server is cold, in milliseconds; 0 if it is warm
     * @param probeSentAt earliest time at which the report was valid, by the monotonic clock in milliseconds
     */
    void recordStateReport(Target target, long remainingMillis, long probeSentAt) {
        long now = clock.millis();
        boolean wasCold = target.tracker.cold(now);
        target.tracker.recordStateReport(remainingMillis, probeSentAt, now);
        logIfColdChanged(target, wasCold, "server", now);
    }

    private void takeAddress(Target target) {
        Backend backend = target.backend();
        Target previous = latestByAddress.get(backend.address());
        if (previous == null || previous.backend().startedAtMillis() < backend.startedAtMillis()) {
            latestByAddress.put(backend.address(), target);
            if (previous != null) {
                trackersWithTakenAddress.add(previous.tracker);
                log.info(
                        "backend-address-reused",
                        "address",
                        backend.address(),
                        "backend",
                        backend.id(),
                        "service",
                        backend.service(),
                        "previousBackend",
                        previous.backend().id(),
                        "previousService",
                        previous.backend().service());
            }
        } else if (previous.backend().startedAtMillis() > backend.startedAtMillis()) {
            trackersWithTakenAddress.add(target.tracker);
        }
    }

    private void giveUpAddress(Target target) {
        String address = target.backend().address();
        trackersWithTakenAddress.remove(target.tracker);
        if (latestByAddress.remove(address, target)) {
            List<Target> others = byEntry.values().stream()
                    .filter(other -> other.backend().address().equals(address))
                    .toList();
            others.forEach(other -> trackersWithTakenAddress.remove(other.tracker));
            others.forEach(this::takeAddress);
        }
    }

    /** Returns whether a server with another id that started later is listed at the address of the server. */
    boolean isAddressTaken(Backend backend) {
        Target latest = latestByAddress.get(backend.address());
        return latest != null
                && !latest.backend().id().equals(backend.id())
                && latest.backend().startedAtMillis() > backend.startedAtMillis();
    }

    /**
     * Records what a server states of itself in any response: that it is shutting down, or that it wants no requests
     * for some time.
     */
    void recordResponseHead(Target target, int status, HttpHeaders headers) {
        String leaving = headers.get(headerNames.leaving());
        if (leaving != null && leaving.trim().equals(HeaderNames.LEAVING) && recordLeaving(target, "response")) {
            leavingListener.accept(target);
        }
        if (status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()) {
            recordRequestedPause(target, RetryAfter.parseMillis(headers.getAll(HttpHeaderNames.RETRY_AFTER)));
        }
    }

    /**
     * Records that this incarnation of a server is shutting down; returns whether this was not known.
     *
     * @param source where the statement came from, for the log
     */
    boolean recordLeaving(Target target, String source) {
        boolean news = target.tracker.recordLeaving();
        if (news) {
            log.info(
                    "backend-leaving",
                    "backend",
                    target.backend().id(),
                    "service",
                    target.backend().service(),
                    "source",
                    source);
        }
        return news;
    }

    private void recordRequestedPause(Target target, long millis) {
        long now = clock.millis();
        if (millis <= 0) {
            return;
        }
        double spread = Math.min(MAX_PAUSE_SPREAD_MILLIS, PAUSE_SPREAD_SHARE * millis) * random.nextDouble();
        boolean news = target.tracker.requestedPauseMillis(now) == 0;
        target.tracker.recordRequestedPause(millis + Math.round(spread), now);
        if (news) {
            log.info(
                    "backend-pause-requested",
                    "backend",
                    target.backend().id(),
                    "service",
                    target.backend().service(),
                    "pauseMillis",
                    millis);
        }
    }

    /** Returns whether a server is listed that asked for a pause which has not ended. */
    boolean pauseRequested(BackendServerId id) {
        Target target = byId.get(id);
        return target != null && target.tracker.requestedPauseMillis(clock.millis()) > 0;
    }

    /** Returns whether new requests may be sent to the server, at once or after a pause that it asked for. */
    boolean acceptsRequests(BackendTracker tracker) {
        Backend backend = tracker.backend();
        return !backend.draining()
                && !tracker.leaving()
                && !excludedDomains.contains(backend.domain())
                && !trackersWithTakenAddress.contains(tracker);
    }

    /** Returns whether the server is still listed and new requests may be sent to it now. */
    boolean mayReceiveRequest(Target target) {
        return byEntry.get(target.entry) == target
                && acceptsRequests(target.tracker)
                && target.tracker.requestedPauseMillis(clock.millis()) == 0;
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

    /** Sets the number of live instances and adapts the connection limits. */
    void setLiveInstanceCount(int count) {
        if (count != liveInstanceCount) {
            liveInstanceCount = count;
            applyConnectionLimits();
        }
    }

    /**
     * Sets the configuration in force, adapts the connection limits, and lists the servers of services that it is the
     * first to name.
     */
    void setRoutingConfig(RoutingConfig newConfig) {
        routingConfig = newConfig;
        applyConnectionLimits();
        for (Map.Entry<String, Backend> listing : List.copyOf(unnamedListings.entrySet())) {
            if (isNamed(listing.getValue().service())) {
                addOrUpdate(listing.getKey(), listing.getValue());
            }
        }
    }

    private void applyConnectionLimits() {
        byEntry.values()
                .forEach(target -> target.pool.setMaxConnections(
                        maxConnections(target.backend().service())));
    }

    private int maxConnections(ServiceName service) {
        ServiceConfig serviceConfig = routingConfig == null ? null : routingConfig.service(service);
        if (serviceConfig == null) {
            return MIN_CONNECTIONS;
        }
        return Math.max(
                MIN_CONNECTIONS, (int) (CALLER_CONNECTION_SHARE * serviceConfig.maxConnections() / liveInstanceCount));
    }

    /**
     * Returns how many idle connections to one server this instance keeps open. The idle connections of all
     * instances count against the server's connection limit together.
     */
    private int maxIdleConnections(ServiceName service) {
        ServiceConfig serviceConfig = routingConfig == null ? null : routingConfig.service(service);
        if (serviceConfig == null) {
            return MAX_IDLE_WITHOUT_SHARE;
        }
        int share = (int) (CALLER_CONNECTION_SHARE * serviceConfig.maxConnections() / liveInstanceCount);
        return membershipStatus.isEstablished() ? share : Math.min(share, MAX_IDLE_WITHOUT_SHARE);
    }

    /** Removes the in-flight counts that the peer reported. */
    void removePeer(InstanceId peer) {
        byEntry.values().forEach(target -> target.tracker.removePeer(peer));
    }

    /** Closes idle connections that have exceeded their idle limit. */
    void closeExpiredConnections() {
        byEntry.values().forEach(target -> target.pool.closeExpired());
    }
}
