package org.jackdawslip.internal.admission;

import java.util.TreeMap;

/**
 * A queue of requests that wait for the same set of backend servers. Urgent requests are dispatched before
 * normal ones, older ones before newer ones; aging and a limit on consecutive urgent dispatches prevent
 * starvation of normal requests. Not thread-safe.
 */
final class DispatchQueue<R> {

    /** A normal request that has waited this long is scheduled like an urgent one, in milliseconds. */
    static final long AGING_THRESHOLD_MILLIS = 1000;
    /** After this many consecutive urgent dispatches, a waiting normal request is dispatched. */
    static final int MAX_CONSECUTIVE_URGENT = 8;

    private final TreeMap<Long, PendingRequest<R>> urgent = new TreeMap<>();
    private final TreeMap<Long, PendingRequest<R>> normal = new TreeMap<>();
    private int consecutiveUrgent;

    void add(PendingRequest<R> pending) {
        (pending.urgent ? urgent : normal).put(pending.sequence, pending);
    }

    void remove(PendingRequest<R> pending) {
        (pending.urgent ? urgent : normal).remove(pending.sequence);
    }

    boolean isEmpty() {
        return urgent.isEmpty() && normal.isEmpty();
    }

    /** Returns one of the waiting requests, or null if there is none. */
    PendingRequest<R> anyRequest() {
        return urgent.isEmpty() ? firstOrNull(normal) : firstOrNull(urgent);
    }

    /**
     * Returns the request of this queue or the other one to dispatch next, or null. Does not remove the
     * request.
     */
    PendingRequest<R> peekNext(DispatchQueue<R> other, long now) {
        PendingRequest<R> firstUrgent = olderOf(firstOrNull(urgent), firstOrNull(other.urgent));
        PendingRequest<R> firstNormal = olderOf(firstOrNull(normal), firstOrNull(other.normal));
        if (firstNormal == null || firstUrgent == null) {
            return firstNormal == null ? firstUrgent : firstNormal;
        }
        boolean aged = now - firstNormal.submittedMillis >= AGING_THRESHOLD_MILLIS
                && firstNormal.sequence < firstUrgent.sequence;
        return aged || consecutiveUrgent >= MAX_CONSECUTIVE_URGENT ? firstNormal : firstUrgent;
    }

    /** Records the dispatch of a request that {@link #peekNext} of this queue returned. */
    void recordDispatch(PendingRequest<R> pending) {
        consecutiveUrgent = pending.urgent ? consecutiveUrgent + 1 : 0;
    }

    private PendingRequest<R> firstOrNull(TreeMap<Long, PendingRequest<R>> requests) {
        return requests.isEmpty() ? null : requests.firstEntry().getValue();
    }

    private PendingRequest<R> olderOf(PendingRequest<R> first, PendingRequest<R> second) {
        if (first == null || second == null) {
            return first == null ? second : first;
        }
        return first.sequence < second.sequence ? first : second;
    }
}
