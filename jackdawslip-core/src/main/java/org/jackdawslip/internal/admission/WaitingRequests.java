package org.jackdawslip.internal.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.TreeMap;

/**
 * All requests of a {@link SenderQueue} without an attempt in flight: queued for a slot, or held until the
 * wall clock reaches the creation time of their request id. Not thread-safe.
 */
final class WaitingRequests<R> {

    /** The requests that any backend server may run. */
    final DispatchQueue<R> sharedQueue = new DispatchQueue<>();

    private final TreeMap<Long, PendingRequest<R>> urgent = new TreeMap<>();
    private final TreeMap<Long, PendingRequest<R>> normal = new TreeMap<>();
    private final PriorityQueue<PendingRequest<R>> held = new PriorityQueue<>(
            Comparator.comparingLong((PendingRequest<R> pending) -> pending.requestId.createdAtMillis()));

    void enqueue(PendingRequest<R> pending) {
        pending.state = PendingRequest.State.QUEUED;
        bySequence(pending).put(pending.sequence, pending);
        queueOf(pending).add(pending);
    }

    void hold(PendingRequest<R> pending) {
        pending.state = PendingRequest.State.HELD;
        bySequence(pending).put(pending.sequence, pending);
        held.add(pending);
    }

    void remove(PendingRequest<R> pending) {
        bySequence(pending).remove(pending.sequence);
        if (pending.state == PendingRequest.State.HELD) {
            held.remove(pending);
        } else {
            queueOf(pending).remove(pending);
        }
    }

    /** Queues the held requests whose creation time the wall clock has reached. */
    void releaseHeld(long wallMillis) {
        while (!held.isEmpty() && held.peek().requestId.createdAtMillis() <= wallMillis) {
            enqueue(held.remove());
        }
    }

    /** Returns the wall time at which the next held request can be queued, in milliseconds. */
    OptionalLong nextHeldWallMillis() {
        return held.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(held.peek().requestId.createdAtMillis());
    }

    int size() {
        return urgent.size() + normal.size();
    }

    /**
     * Returns the request to refuse when the queue is over its limit: the newest normal request, or the
     * newest urgent one if there is no normal request.
     */
    PendingRequest<R> newest() {
        return normal.isEmpty()
                ? urgent.lastEntry().getValue()
                : normal.lastEntry().getValue();
    }

    /** Returns the waiting requests that only the given backend server may run. */
    List<PendingRequest<R>> ownedBy(ServerState<R> server) {
        List<PendingRequest<R>> owned = new ArrayList<>();
        urgent.values().stream().filter(pending -> pending.owner == server).forEach(owned::add);
        normal.values().stream().filter(pending -> pending.owner == server).forEach(owned::add);
        return owned;
    }

    private DispatchQueue<R> queueOf(PendingRequest<R> pending) {
        return pending.owner == null ? sharedQueue : pending.owner.queue;
    }

    private TreeMap<Long, PendingRequest<R>> bySequence(PendingRequest<R> pending) {
        return pending.urgent ? urgent : normal;
    }
}
