package org.jackdawslip.internal.bundle;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.ServiceName;

/**
 * One version of the configuration that operators publish: failure domains, services and backend servers.
 *
 * <p>Immutable and thread-safe. {@link BundleReader} checks that every referenced failure domain and service
 * exists.
 *
 * @param version the version: at least 1, and higher in each later bundle
 * @param failureDomains the state of each failure domain
 * @param services the policy of each service
 * @param backendServers the backend servers by id
 */
public record Bundle(
        long version,
        Map<FailureDomainId, DomainState> failureDomains,
        Map<ServiceName, ServicePolicy> services,
        Map<BackendServerId, BackendServer> backendServers) {

    /** Makes defensive copies. */
    public Bundle {
        failureDomains = Map.copyOf(failureDomains);
        services = Map.copyOf(services);
        backendServers = Map.copyOf(backendServers);
    }

    /** Returns the policy of a service. */
    public Optional<ServicePolicy> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns whether the failure domain exists and may get new work. */
    public boolean inService(FailureDomainId domain) {
        return failureDomains.get(domain) == DomainState.IN;
    }

    /** Returns the backend servers of a service in a failure domain in the order of their ids. */
    public List<BackendServer> backendServers(ServiceName service, FailureDomainId domain) {
        return backendServers.values().stream()
                .filter(server -> server.service().equals(service)
                        && server.failureDomain().equals(domain))
                .sorted((a, b) -> a.id().compareTo(b.id()))
                .toList();
    }
}
