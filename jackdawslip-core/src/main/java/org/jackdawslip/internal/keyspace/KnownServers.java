package org.jackdawslip.internal.keyspace;

import java.util.Map;
import java.util.function.Predicate;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.internal.balance.Backend;

/**
 * What an instance knows of the backend servers of one service when the key coordinator runs. Immutable and
 * thread-safe if the maps are not changed.
 *
 * @param listed all backend servers of the service that discovery lists
 * @param capacities the servers that may own keys, with their relative speed
 * @param addressTaken returns whether the address of a server belongs to a server with another id by now, so that
 *     every incarnation that had it has certainly ended
 * @param pausing returns whether a server asked for a pause in which it receives no calls
 */
public record KnownServers(
        Map<BackendServerId, Backend> listed,
        Map<BackendServerId, Double> capacities,
        Predicate<Backend> addressTaken,
        Predicate<BackendServerId> pausing) {

    /** Returns the listed server if it is still the given incarnation, else null. */
    Backend findIncarnation(BackendServerId id, long startedAtMillis) {
        Backend server = listed.get(id);
        return server != null && server.startedAtMillis() == startedAtMillis ? server : null;
    }
}
