package org.jackdawslip.internal.bundle;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.ServiceName;

/**
 * A backend server as the bundle declares it. Immutable and thread-safe.
 *
 * @param id the id of the backend server
 * @param service the service to which the backend server belongs
 * @param failureDomain the failure domain in which the backend server runs
 * @param host the IP address
 * @param port the HTTP port
 * @param slots the number of concurrent requests when the backend server is warm
 * @param leaving whether operators are removing the backend server
 */
public record BackendServer(
        BackendServerId id,
        ServiceName service,
        FailureDomainId failureDomain,
        String host,
        int port,
        int slots,
        boolean leaving) {}
