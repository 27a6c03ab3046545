package org.jackdawslip.internal.gateway;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Predicate;
import java.util.stream.Stream;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.BackendTracker;
import org.jackdawslip.internal.balance.LatencyEstimate;
import org.jackdawslip.internal.balance.SendDecision;
import org.jackdawslip.internal.balance.WarmupGate;
import org.jackdawslip.internal.keyspace.KeySegment;
import org.jackdawslip.internal.keyspace.OwnerView;
import org.jackdawslip.internal.traffic.HostRoute;
import org.jackdawslip.internal.traffic.ServiceConfig;

/**
 * Selects the backend server for each attempt of one request: the owner of its key, or the best server
 * without an earlier attempt if the service has no keys.
 *
 * <p>Confined to the event loop.
 */
final class ServerSelector {

    /** The key slot of a request to a service without keys. */
    static final int NO_KEY = -1;
    /** Time before another attempt at an owner after a rejection; its grant call may still be in transit. */
    private static final long SAME_OWNER_RETRY_DELAY_MILLIS = 60;

    /** Longest wait for an owner; a planned key move takes about as long as one request. */
    private static final long MAX_OWNER_WAIT_MILLIS = 600;
    /** Longest wait for an owner as a fraction of the target latency, so that the response may be on time. */
    private static final double MAX_OWNER_WAIT_SHARE = 0.5;

    /** Largest random extension of the time after which refused callers come back to a server that paused. */
    private static final double PAUSE_SPREAD_SHARE = 0.3;

    private final RequestComponents components;
    private final HostRoute route;
    private final ServiceConfig service;
    private final int keySlot;
    private final long requestBytes;
    private final Set<BackendServerId> excludedServers = new HashSet<>();
    private KeySegment lastSegment;
    private KeySegment rejectedSegment;
    private long rejectedAt;
    /** Time when the wait for an owner began, or -1. */
    private long waitStartedAt = -1;

    /**
     * Creates a selector.
     *
     * @param requestBytes the bytes that a server holds for the request
     */
    ServerSelector(
            RequestComponents components, HostRoute route, ServiceConfig service, int keySlot, long requestBytes) {
        this.components = components;
        this.route = route;
        this.service = service;
        this.keySlot = keySlot;
        this.requestBytes = requestBytes;
    }

    /** Returns whether the bytes in transit to the server leave room for the request. */
    boolean hasRoom(BackendTracker server) {
        return components.routing().transitLimit().admits(server, requestBytes);
    }

    boolean keyed() {
        return keySlot != NO_KEY;
    }

    ServiceName service() {
        return service.name();
    }

    LatencyEstimate latency() {
        return components.routing().latencyEstimate(route, service.name());
    }

    /** Returns the server for the next attempt, or null if none is available. */
    BackendTracker selectServer() {
        return keyed() ? selectOwner() : selectAnyServer();
    }

    /** Excludes the server from further attempts of this request, unless it owns the key. */
    void excludeFromSelection(BackendTracker server) {
        excludedServers.add(server.backend().id());
    }

    /**
     * Decides whether the request is sent to the server, immediately before the write.
     *
     * @param verified whether the connection is new or the server has just responded on it
     */
    SendDecision beforeSend(BackendTracker server, boolean verified, long now) {
        WarmupGate warmup = components.routing().warmupGate();
        if (!verified) {
            return warmup.admits(server, now) ? SendDecision.PROBE : SendDecision.WITHDRAW;
        }
        return warmup.beforeSend(server, service.warmupRequestsPerSecond(), now);
    }

    String healthCheckPath() {
        return service.healthPath();
    }

    /** Records that the last selected server rejected the request because it does not own the key. */
    void recordRejection() {
        rejectedSegment = lastSegment;
        rejectedAt = components.clock().millis();
    }

    /**
     * Returns the time in milliseconds until the first server ends a pause that it asked for, or 0 if no server that
     * could take the request is in such a pause. A random part spreads the callers that come back then.
     */
    long requestedPauseMillis() {
        long now = components.clock().millis();
        long shortest = candidatesForRequest(now)
                .mapToLong(server -> server.requestedPauseMillis(now))
                .filter(millis -> millis > 0)
                .min()
                .orElse(0);
        return Math.round(
                shortest * (1 + PAUSE_SPREAD_SHARE * ThreadLocalRandom.current().nextDouble()));
    }

    private Stream<BackendTracker> candidatesForRequest(long now) {
        if (!keyed()) {
            return components.directory().trackers(service.name()).stream()
                    .filter(server -> components.directory().acceptsRequests(server));
        }
        KeySegment segment = components.routing().ownerView(service.name()).find(keySlot, now);
        BackendDirectory.Target owner =
                segment == null ? null : components.directory().find(segment.owner());
        return owner == null ? Stream.empty() : Stream.of(owner.tracker);
    }

    /** Returns whether an owner is expected early enough for the response to be on time. */
    boolean mayWaitForOwner(long now) {
        if (waitStartedAt < 0) {
            waitStartedAt = now;
        }
        long limit = Math.min(MAX_OWNER_WAIT_MILLIS, (long) (MAX_OWNER_WAIT_SHARE * route.targetLatencyMillis()));
        return now - waitStartedAt < limit && ownerExpected(now);
    }

    private boolean ownerExpected(long now) {
        OwnerView owners = components.routing().ownerView(service.name());
        KeySegment segment = owners.find(keySlot, now);
        if (segment == null) {
            return owners.moving(keySlot, now);
        }
        BackendDirectory.Target target = components.directory().find(segment.owner());
        return target != null
                && target.tracker.requestedPauseMillis(now) == 0
                && !isAvoided(target.tracker, now)
                && mayBecomeAvailable(target.tracker, now);
    }

    /** Returns whether waiting for the owner is useful: only some instances send to a cold server. */
    private boolean mayBecomeAvailable(BackendTracker owner, long now) {
        return !owner.cold(now) || components.routing().warmupGate().isSenderTo(owner);
    }

    private BackendTracker selectOwner() {
        long now = components.clock().millis();
        KeySegment segment = components.routing().ownerView(service.name()).find(keySlot, now);
        BackendDirectory.Target target =
                segment == null ? null : components.directory().find(segment.owner());
        if (target == null
                || target.backend().startedAtMillis() != segment.ownerStartedAtMillis()
                || !components.directory().acceptsRequests(target.tracker)
                || segment.equals(rejectedSegment) && now < rejectedAt + SAME_OWNER_RETRY_DELAY_MILLIS) {
            return null;
        }
        BackendTracker tracker = target.tracker;
        if (tracker.requestedPauseMillis(now) > 0
                || isAvoided(tracker, now)
                || !components.routing().warmupGate().admits(tracker, now)) {
            return null;
        }
        lastSegment = segment;
        return tracker;
    }

    /**
     * Returns whether no request is sent to the owner until its pause ends. A request to an address that
     * belongs to another server counts against the retry budget of that server, and a request to an unreachable
     * owner is delayed without result.
     */
    private static boolean isAvoided(BackendTracker tracker, long now) {
        return tracker.rejectsRequests() && tracker.paused(now) || tracker.repeatedlyUnreachable(now);
    }

    /**
     * Selects a server without an earlier attempt; one without room for the request, or one that is paused, is selected
     * only if there is no other.
     */
    private BackendTracker selectAnyServer() {
        long now = components.clock().millis();
        Predicate<BackendTracker> candidate = server -> isCandidate(server, now);
        Predicate<BackendTracker> withRoom = candidate.and(this::hasRoom);
        BackendTracker server = selectBest(withRoom.and(each -> !each.paused(now)), now);
        if (server == null) {
            server = selectBest(withRoom, now);
        }
        return server != null ? server : selectBest(candidate, now);
    }

    private BackendTracker selectBest(Predicate<BackendTracker> admitted, long now) {
        return components
                .balancer()
                .choose(
                        components.directory().trackers(service.name()),
                        admitted,
                        latency().meanMillis(),
                        route.targetLatencyMillis(),
                        now);
    }

    private boolean isCandidate(BackendTracker server, long now) {
        return components.directory().acceptsRequests(server)
                && server.requestedPauseMillis(now) == 0
                && !excludedServers.contains(server.backend().id())
                && components.routing().warmupGate().admits(server, now);
    }
}
