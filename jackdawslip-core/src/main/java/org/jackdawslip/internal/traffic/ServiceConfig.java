package org.jackdawslip.internal.traffic;

import org.jackdawslip.ServiceName;

/**
 * What the operator says of one service. Immutable and thread-safe.
 *
 * @param name the service
 * @param healthPath the path of the health check
 * @param maxConnections connections that one backend server accepts from all instances together
 * @param warmupMillis for how long a backend server is cold
 * @param warmupRequestsPerSecond requests a second that a cold backend server bears
 * @param keyed whether a backend server serves only the keys that were granted to it
 */
public record ServiceConfig(
        ServiceName name,
        String healthPath,
        int maxConnections,
        long warmupMillis,
        double warmupRequestsPerSecond,
        boolean keyed) {}
