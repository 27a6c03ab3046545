package org.jackdawslip.internal.ownership;

import java.util.List;

import org.jackdawslip.BackendServerId;

/**
 * The load of one backend server of a keyed service, as its sender observes it. Immutable and thread-safe.
 *
 * @param backendServer the backend server
 * @param slots the average number of occupied slots, for all ranges of the backend server, listed or not
 * @param warm whether the backend server has completed its warm-up and uses all its slots
 * @param medianMicros the median latency in microseconds, or -1 while there are too few responses
 * @param ranges the loads of those of its ranges that have the most load
 */
public record ServerLoad(
        BackendServerId backendServer, double slots, boolean warm, long medianMicros, List<RangeLoad> ranges) {

    /** Makes a defensive copy. */
    public ServerLoad {
        ranges = List.copyOf(ranges);
    }
}
