package org.jackdawslip.internal.ownership;

import java.util.List;

import org.jackdawslip.InstanceId;

/**
 * The load report of one sender about its backend servers of keyed services. Immutable and thread-safe.
 *
 * @param from the sender
 * @param servers the load of each of its backend servers
 */
public record RangeLoads(InstanceId from, List<ServerLoad> servers) {

    /** Makes a defensive copy. */
    public RangeLoads {
        servers = List.copyOf(servers);
    }
}
