package org.jackdawslip.internal.traffic;

import org.jackdawslip.ServiceName;

/**
 * The configuration of one service. Immutable and thread-safe.
 *
 * @param name the service
 * @param healthPath the path of the health check
 * @param maxConnections the number of connections that one backend server accepts from all instances together
 * @param warmupMillis the time for which a started backend server is cold, in milliseconds
 * @param warmupRequestsPerSecond the capacity of a cold backend server, in requests per second
 * @param keyed whether a backend server serves only the keys that were granted to it
 */
public record ServiceConfig(
        ServiceName name,
        String healthPath,
        int maxConnections,
        long warmupMillis,
        double warmupRequestsPerSecond,
        boolean keyed) {}
