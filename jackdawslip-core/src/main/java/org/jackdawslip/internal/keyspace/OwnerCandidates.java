package org.jackdawslip.internal.keyspace;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.internal.balance.BackendTracker;

/**
 * Decides which backend servers of a service may own keys. Stateless and thread-safe.
 *
 * <p>A cold server bears less than the requests for its keys, and all but two instances refuse them meanwhile. So it
 * owns none as long as at least half of the servers are warm.
 */
public final class OwnerCandidates {

    /** A server that is warm again within this time keeps its keys; they would not be served sooner elsewhere. */
    private static final long SOON_WARM_MILLIS = 500;
    /** Least part of the servers that has to be warm. Fewer would get more keys than they can serve. */
    private static final double MIN_WARM_SHARE = 0.5;

    private OwnerCandidates() {}

    /**
     * Returns the servers that may own keys, with their relative speed.
     *
     * @param admitted the servers that may get new requests
     */
    public static Map<BackendServerId, Double> capacities(Collection<BackendTracker> admitted, long now) {
        List<BackendTracker> warm = new ArrayList<>(admitted);
        warm.removeIf(server -> server.coldMillis(now) > SOON_WARM_MILLIS);
        Map<BackendServerId, Double> capacities = new TreeMap<>();
        for (BackendTracker server : warm.size() < MIN_WARM_SHARE * admitted.size() ? admitted : warm) {
            capacities.put(server.backend().id(), 1 / server.ratio());
        }
        return capacities;
    }
}
