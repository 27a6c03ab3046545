package org.jackdawslip.internal.keyspace;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.internal.balance.BackendTracker;

/**
 * Selects the backend servers of a service that may own keys. Stateless and thread-safe.
 *
 * <p>The requests for the keys of a server exceed its capacity while it is cold, and all instances but its
 * two senders refuse these requests. A cold server therefore owns no keys as long as at least half of the
 * servers are warm.
 */
public final class OwnerCandidates {

    /** A server that becomes warm within this time may own keys; moving them would not serve them sooner. */
    private static final long MAX_IGNORED_COLD_MILLIS = 500;
    /** Share of warm servers below which all servers may own keys; too few could not serve all keys. */
    private static final double MIN_WARM_SHARE = 0.5;

    private OwnerCandidates() {}

    /**
     * Returns the servers that may own keys, with their speed relative to a usual server.
     *
     * @param admitted the servers that may get new requests
     */
    public static Map<BackendServerId, Double> capacities(Collection<BackendTracker> admitted, long now) {
        List<BackendTracker> warm = new ArrayList<>(admitted);
        warm.removeIf(server -> server.remainingColdMillis(now) > MAX_IGNORED_COLD_MILLIS);
        Map<BackendServerId, Double> capacities = new TreeMap<>();
        for (BackendTracker server : warm.size() < MIN_WARM_SHARE * admitted.size() ? admitted : warm) {
            capacities.put(server.backend().id(), 1 / server.relativeServiceTime());
        }
        return capacities;
    }
}
