package org.jackdawslip.internal.balance;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.ServiceName;

/**
 * One life of a backend server as discovery lists it. Immutable and thread-safe.
 *
 * @param id the identifier; a restarted server may keep it
 * @param startedAtMillis the start of this life in milliseconds since the epoch; distinguishes lives of one id
 * @param service the service that it runs
 * @param host the IP address
 * @param port the port
 * @param domain the failure domain
 * @param slots requests that it works on at the same time
 * @param draining whether it announced that it leaves
 * @param warmupRemainingMillis how much longer it is cold, as of the listing
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

    /** Returns whether both are the same process. */
    public boolean sameLife(Backend other) {
        return id.equals(other.id) && startedAtMillis == other.startedAtMillis;
    }

    /** Returns the address as {@code host:port}. */
    public String address() {
        return host + ":" + port;
    }
}
