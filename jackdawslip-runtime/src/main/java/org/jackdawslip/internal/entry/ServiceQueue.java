package org.jackdawslip.internal.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FencingToken;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.admission.ClockReading;
import org.jackdawslip.internal.admission.Decision;
import org.jackdawslip.internal.admission.RangeLoadMeter;
import org.jackdawslip.internal.admission.SenderHandover;
import org.jackdawslip.internal.admission.SenderQueue;
import org.jackdawslip.internal.admission.ServerView;
import org.jackdawslip.internal.bundle.BackendServer;
import org.jackdawslip.internal.bundle.Bundle;
import org.jackdawslip.internal.bundle.ServicePolicy;
import org.jackdawslip.internal.ownership.AssignmentTable;
import org.jackdawslip.internal.ownership.DomainMember;
import org.jackdawslip.internal.ownership.KeyRange;
import org.jackdawslip.internal.ownership.RangeAssignment;
import org.jackdawslip.internal.ownership.RangeLoad;
import org.jackdawslip.internal.ownership.SendRight;
import org.jackdawslip.internal.ownership.ServerLoad;

/**
 * The queue of one service at this instance, updated from the send rights that the domain member holds.
 *
 * <p>Invariant: after {@link #sync}, the queue contains exactly the backend servers for which the member has
 * a right to send, without those that this instance handed over or whose token was rejected as stale. Not
 * thread-safe; confined to the decision thread.
 */
final class ServiceQueue {

    /** Handed-over state is discarded if this instance does not get the send right within this time. */
    private static final long HANDOVER_VALID_MILLIS = 3000;

    private final ServicePolicy policy;
    private final SenderQueue<Exchange> senderQueue;
    private final Map<BackendServerId, HeldServer> heldByServer = new HashMap<>();
    private final Map<BackendServerId, QueueState> handovers = new HashMap<>();
    private final Map<BackendServerId, QueueState> previousQueueStates = new HashMap<>();
    private final Map<BackendServerId, FencingToken> staleTokens = new HashMap<>();
    private final Map<BackendServerId, Map<KeyRange, FencingToken>> rangesByServer = new HashMap<>();
    private AssignmentTable rangesTable = AssignmentTable.EMPTY;
    private final Set<BackendServerId> drainingServers = new HashSet<>();
    private final Set<BackendServerId> releasedServers = new HashSet<>();
    private final RangeLoadMeter rangeLoadMeter = new RangeLoadMeter();

    /**
     * Creates an empty queue.
     *
     * @param hedgeLimitShare hedged attempts for each request, from 0 to 1
     */
    ServiceQueue(ServicePolicy policy, double hedgeLimitShare) {
        this.policy = policy;
        this.senderQueue = SenderQueue.<Exchange>builder(policy)
                .remoteHedging(true)
                .hedgeLimitShare(hedgeLimitShare)
                .build();
    }

    ServiceName service() {
        return policy.name();
    }

    ServicePolicy policy() {
        return policy;
    }

    SenderQueue<Exchange> senderQueue() {
        return senderQueue;
    }

    Set<BackendServerId> heldServers() {
        return Set.copyOf(heldByServer.keySet());
    }

    /**
     * Updates the queue from the member's send rights and ranges and from the bundle. Returns the decisions
     * of the queue, which the caller carries out.
     */
    List<Decision<Exchange>> sync(DomainMember member, Bundle bundle, ClockReading now) {
        List<Decision<Exchange>> decisions = new ArrayList<>();
        Set<BackendServerId> permitted = new HashSet<>();
        for (BackendServer server : bundle.backendServers().values()) {
            if (!server.service().equals(policy.name())) {
                continue;
            }
            Optional<SendRight> right = member.sendRight(now.monotonicMillis(), server.id())
                    .filter(found -> !found.senderToken().equals(staleTokens.get(server.id())));
            if (right.isPresent() && !releasedServers.contains(server.id())) {
                permitted.add(server.id());
                syncServer(member, server, right.get().senderToken(), now, decisions);
            }
        }
        for (BackendServerId server : Set.copyOf(heldByServer.keySet())) {
            if (!permitted.contains(server)) {
                heldByServer.remove(server);
                rangeLoadMeter.removeServer(server);
                senderQueue.removeServer(server, now).ifPresent(state -> decisions.addAll(state.decisions()));
            }
        }
        return decisions;
    }

    private void syncServer(
            DomainMember member,
            BackendServer server,
            FencingToken token,
            ClockReading now,
            List<Decision<Exchange>> decisions) {
        Map<KeyRange, FencingToken> ownedRanges = ownedRanges(member, server.id());
        boolean acceptsRequests = !server.leaving() && !drainingServers.contains(server.id());
        HeldServer current = new HeldServer(token, server.slots(), acceptsRequests, ownedRanges);
        HeldServer previous = heldByServer.put(server.id(), current);
        if (previous == null || previous.ranges != ownedRanges) {
            rangeLoadMeter.assignRanges(server.id(), ownedRanges.keySet(), now.monotonicMillis());
        }
        if (previous != null && !previous.token.equals(token)) {
            // Another sender may have had the right between the two tokens, so the recorded requests may be
            // incomplete and are discarded.
            senderQueue.removeServer(server.id(), now).ifPresent(state -> decisions.addAll(state.decisions()));
            previous = null;
        }
        if (previous == null) {
            decisions.addAll(senderQueue.addServer(
                    server, acceptsRequests, ownedRanges, takeQueueState(server.id(), token, now), now));
            return;
        }
        if (!previous.ranges.equals(ownedRanges)) {
            decisions.addAll(senderQueue.assignRanges(server.id(), ownedRanges, now));
        }
        if (previous.slots != server.slots() || previous.acceptsRequests != acceptsRequests) {
            decisions.addAll(senderQueue.updateServer(server.id(), server.slots(), acceptsRequests, now));
        }
    }

    private SenderHandover<?> takeQueueState(BackendServerId server, FencingToken token, ClockReading now) {
        QueueState previousQueueState = previousQueueStates.remove(server);
        if (previousQueueState != null && previousQueueState.token.equals(token)) {
            return previousQueueState.state;
        }
        QueueState pending = handovers.remove(server);
        // Only the directly following token proves that no other instance was the sender in between.
        return pending != null
                        && pending.token.next().equals(token)
                        && now.monotonicMillis() - pending.atMillis <= HANDOVER_VALID_MILLIS
                ? pending.state
                : null;
    }

    private Map<KeyRange, FencingToken> ownedRanges(DomainMember member, BackendServerId server) {
        if (member.table() != rangesTable) {
            rangesTable = member.table();
            rangesByServer.clear();
            for (RangeAssignment entry : rangesTable.ranges()) {
                if (entry.service().equals(policy.name()) && entry.owner().isPresent()) {
                    rangesByServer
                            .computeIfAbsent(entry.owner().get(), unused -> new HashMap<>())
                            .put(entry.range(), entry.token());
                }
            }
        }
        return rangesByServer.getOrDefault(server, Map.of());
    }

    /** Keeps the state that a leaving sender handed over until this instance gets the send right. */
    void recordHandover(BackendServerId server, FencingToken token, SenderHandover<?> state, long now) {
        handovers.put(server, new QueueState(token, state, now));
    }

    /** Excludes a sender token that the backend server rejected because another instance is its sender. */
    void recordStaleToken(BackendServerId server, FencingToken token) {
        staleTokens.put(server, token);
    }

    /** Sets whether a backend server reports that it is draining; a draining one gets no new requests. */
    void setDraining(BackendServerId server, boolean value) {
        if (value) {
            drainingServers.add(server);
        } else {
            drainingServers.remove(server);
        }
    }

    /**
     * Moves all backend servers to a queue with another policy. Attempts in flight still complete in this
     * queue. Returns the decisions of this queue.
     */
    List<Decision<Exchange>> transferTo(ServiceQueue next, ClockReading now) {
        List<Decision<Exchange>> decisions = new ArrayList<>();
        for (Map.Entry<BackendServerId, HeldServer> entry : heldByServer.entrySet()) {
            senderQueue.removeServer(entry.getKey(), now).ifPresent(state -> {
                decisions.addAll(state.decisions());
                next.previousQueueStates.put(
                        entry.getKey(), new QueueState(entry.getValue().token, state, now.monotonicMillis()));
            });
        }
        heldByServer.clear();
        next.staleTokens.putAll(staleTokens);
        next.drainingServers.addAll(drainingServers);
        next.releasedServers.addAll(releasedServers);
        return decisions;
    }

    /** Stops new attempts at a backend server whose send right is about to be handed over. */
    List<Decision<Exchange>> stopDispatching(BackendServerId server, ClockReading now) {
        HeldServer current = heldByServer.get(server);
        return current == null ? List.of() : senderQueue.updateServer(server, current.slots, false, now);
    }

    /** Returns the number of attempts in flight at a backend server. */
    int inFlight(BackendServerId server) {
        return view(server).map(ServerView::inFlight).orElse(0);
    }

    /** Removes a backend server from the queue permanently and returns its state for the next sender. */
    Optional<SenderHandover<Exchange>> removeForHandover(BackendServerId server, ClockReading now) {
        releasedServers.add(server);
        heldByServer.remove(server);
        rangeLoadMeter.removeServer(server);
        return senderQueue.removeServer(server, now);
    }

    Optional<FencingToken> heldToken(BackendServerId server) {
        return Optional.ofNullable(heldByServer.get(server)).map(HeldServer::token);
    }

    Optional<ServerView> view(BackendServerId server) {
        return senderQueue.servers().stream()
                .filter(view -> view.id().equals(server))
                .findFirst();
    }

    /** Adds the time in microseconds for which an attempt occupied a slot to the load of a key. */
    void addSlotTime(long keyHash, long micros, long now) {
        rangeLoadMeter.addSlotTime(keyHash, micros, now);
    }

    /** Returns the loads of the backend servers that this instance is the sender of. */
    List<ServerLoad> serverLoads(long now) {
        List<ServerLoad> loads = new ArrayList<>();
        for (ServerView view : senderQueue.servers()) {
            HeldServer current = heldByServer.get(view.id());
            if (current != null) {
                List<RangeLoad> ranges = rangeLoadMeter.loads(view.id(), now);
                loads.add(new ServerLoad(
                        view.id(),
                        ranges.stream().mapToDouble(RangeLoad::slots).sum(),
                        view.accepting() && view.limit() >= current.slots && !view.straggler(),
                        view.medianMicros(),
                        ranges));
            }
        }
        return loads;
    }

    /** Returns the monotonic time in milliseconds of the queue's next hedge or deadline. */
    OptionalLong nextTickMillis() {
        return senderQueue.nextTickMillis();
    }

    private record HeldServer(
            FencingToken token, int slots, boolean acceptsRequests, Map<KeyRange, FencingToken> ranges) {}

    private record QueueState(FencingToken token, SenderHandover<?> state, long atMillis) {}
}
