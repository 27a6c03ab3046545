package org.jackdawslip.internal.gateway;

import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;

/**
 * The settings of one gateway instance. Immutable and thread-safe.
 *
 * @param instance the instance
 * @param domain its failure domain
 * @param callerAddress where callers connect, as host and port
 * @param readinessAddress where the load balancer asks for readiness, as host and port
 * @param peerAddress where peers send datagrams and, over TCP, reads of the store, as host and port
 * @param metricsAddress where metrics are served, as host and port
 * @param storeAddress the platform's store, as host and port
 * @param bounds what the platform guarantees and demands
 */
public record GatewaySettings(
        InstanceId instance,
        FailureDomainId domain,
        String callerAddress,
        String readinessAddress,
        String peerAddress,
        String metricsAddress,
        String storeAddress,
        Bounds bounds) {

    /**
     * Figures of the platform. Immutable and thread-safe.
     *
     * @param heartbeatMillis interval at which backend servers renew their listing
     * @param stopMillis time from the signal to stop until the process is killed
     * @param retryRatio sends beyond the first for each request, over all instances
     * @param retryAllowance sends beyond the first in each window without any request, over all instances
     * @param retryWindowMillis length of the window
     * @param longestHoldMillis longest term of a grant
     * @param changeMillis time from the store's confirmation of a change until it has to be in force
     */
    public record Bounds(
            long heartbeatMillis,
            long stopMillis,
            double retryRatio,
            double retryAllowance,
            long retryWindowMillis,
            long longestHoldMillis,
            long changeMillis) {}
}
