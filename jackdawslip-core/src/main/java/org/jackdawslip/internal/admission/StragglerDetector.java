package org.jackdawslip.internal.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jackdawslip.BackendServerId;

/**
 * Marks backend servers as stragglers if their median latency is far above the median of the pool. Not
 * thread-safe.
 *
 * <p>All senders of a pool rank the same medians, so together they mark at most a third of the pool without
 * exchanging further messages.
 */
final class StragglerDetector {

    /** A straggler's median latency exceeds the median of the pool by more than this factor. */
    private static final int LATENCY_FACTOR = 3;
    /** How long the median from another sender is used; senders report medians in heartbeats every 200 ms. */
    private static final long REMOTE_VALID_MILLIS = 2000;

    private static final long UPDATE_INTERVAL_MILLIS = 100;

    private final Map<BackendServerId, RemoteMedian> remoteMedians = new HashMap<>();
    private long nextUpdateMillis = Long.MIN_VALUE;

    /** Records the median latency of a backend server that another sender reports. */
    void recordRemoteMedian(BackendServerId server, long medianMicros, long now) {
        remoteMedians.put(server, new RemoteMedian(medianMicros, now));
    }

    /** Updates the straggler marks of the given servers if the interval between two updates has passed. */
    <R> void updateMarksIfDue(Collection<ServerState<R>> ownServers, long now) {
        if (now >= nextUpdateMillis) {
            nextUpdateMillis = now + UPDATE_INTERVAL_MILLIS;
            updateMarks(ownServers, now);
        }
    }

    private <R> void updateMarks(Collection<ServerState<R>> ownServers, long now) {
        remoteMedians.values().removeIf(median -> now - median.recordedAtMillis > REMOTE_VALID_MILLIS);
        Map<BackendServerId, Long> medians = new HashMap<>();
        remoteMedians.forEach((id, median) -> medians.put(id, median.micros));
        int poolSize = remoteMedians.size();
        for (ServerState<R> server : ownServers) {
            poolSize += server.isSender() && !remoteMedians.containsKey(server.id) ? 1 : 0;
            medians.remove(server.id);
            if (server.isSender() && server.medianMicros() >= 0) {
                medians.put(server.id, server.medianMicros());
            }
        }
        List<Long> sorted = new ArrayList<>(medians.values());
        sorted.sort(null);
        // The lower of the two middle values of an even count, so that one of two servers cannot raise the
        // pool's median.
        long poolMedian = sorted.isEmpty() ? 0 : sorted.get((sorted.size() - 1) / 2);
        List<BackendServerId> stragglers = medians.entrySet().stream()
                .filter(median -> median.getValue() > LATENCY_FACTOR * poolMedian)
                .sorted(Comparator.comparing((Map.Entry<BackendServerId, Long> median) -> -median.getValue())
                        .thenComparing(Map.Entry::getKey))
                .limit(poolSize / 3)
                .map(Map.Entry::getKey)
                .toList();
        ownServers.forEach(server -> server.markStraggler(stragglers.contains(server.id)));
    }

    private record RemoteMedian(long micros, long recordedAtMillis) {}
}
