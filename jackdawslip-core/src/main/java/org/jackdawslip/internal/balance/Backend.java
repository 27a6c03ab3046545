package org.jackdawslip.internal.balance;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.ServiceName;

/**
 * One incarnation of a backend server as discovery lists it. Immutable and thread-safe.
 *
 * @param id the identifier, which a restarted server may keep
 * @param startedAtMillis start of this incarnation in milliseconds since the epoch; distinguishes
 *     incarnations of one id
 * @param service the service that the server runs
 * @param host the IP address
 * @param port the port
 * @param domain the failure domain
 * @param slots requests that the server processes concurrently
 * @param draining whether the server has announced its shutdown
 * @param warmupRemainingMillis remaining time of the warm-up at the time of the listing, in milliseconds; 0
 *     if warm
 */
public record Backend(
        BackendServerId id,
        long startedAtMillis,
        ServiceName service,
        String host,
        int port,
        FailureDomainId domain,
        int slots,
        boolean draining,
        long warmupRemainingMillis) {

    /** Returns whether both listings describe the same incarnation. */
    public boolean sameIncarnation(Backend other) {
        return id.equals(other.id) && startedAtMillis == other.startedAtMillis;
    }

    /** Returns the address as {@code host:port}. */
    public String address() {
        return host + ":" + port;
    }
}
