package org.jackdawslip.internal.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.account.AccountDirectory;

/**
 * One version of the configuration of routes, services, caller limits and client accounts. Immutable and thread-safe.
 *
 * <p>Invariant: the routes of a host are ordered from the longest prefix to the shortest, so that the first
 * matching route is the most specific one.
 */
public final class RoutingConfig {

    private final long version;
    private final Map<String, List<HostRoute>> routesByHost = new HashMap<>();
    private final Map<ServiceName, ServiceConfig> services = new HashMap<>();
    private final CallerLimits limits;
    private final AccountDirectory accounts;

    /** Creates a configuration without client accounts. */
    public RoutingConfig(
            long version, List<HostRoute> routes, List<ServiceConfig> serviceConfigs, CallerLimits limits) {
        this(version, routes, serviceConfigs, limits, AccountDirectory.NONE);
    }

    /** Creates a configuration. */
    public RoutingConfig(
            long version,
            List<HostRoute> routes,
            List<ServiceConfig> serviceConfigs,
            CallerLimits limits,
            AccountDirectory accounts) {
        this.accounts = accounts;
        this.version = version;
        this.limits = limits;
        for (HostRoute route : routes) {
            routesByHost
                    .computeIfAbsent(normalize(route.host()), host -> new ArrayList<>())
                    .add(route);
        }
        Comparator<HostRoute> longestFirst =
                Comparator.comparingInt(route -> -route.prefix().length());
        routesByHost.values().forEach(list -> list.sort(longestFirst));
        serviceConfigs.forEach(service -> services.put(service.name(), service));
    }

    /** Returns the version. A configuration replaces those with lower versions. */
    public long version() {
        return version;
    }

    /** Returns the limits for callers. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns the client accounts; a directory without accounts if requests need no key. */
    public AccountDirectory accounts() {
        return accounts;
    }

    /** Returns all services by name. */
    public Map<ServiceName, ServiceConfig> services() {
        return Map.copyOf(services);
    }

    /** Returns the configuration of a service, or null if there is none. */
    public ServiceConfig service(ServiceName name) {
        return services.get(name);
    }

    /** Returns all routes, in no particular order. */
    public List<HostRoute> routes() {
        return routesByHost.values().stream().flatMap(List::stream).toList();
    }

    /**
     * Returns the route of the host with the longest prefix of the path, if there is one. The host is
     * compared without regard to case.
     *
     * @param hostHeader the value of the Host header, with or without a port; may be null
     * @param path the path without the query
     */
    public Optional<HostRoute> route(String hostHeader, String path) {
        if (hostHeader == null) {
            return Optional.empty();
        }
        for (HostRoute route : routesByHost.getOrDefault(normalize(hostHeader), List.of())) {
            if (path.startsWith(route.prefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the host in lower case without the port; a colon inside brackets belongs to an IPv6 address.
     */
    private static String normalize(String host) {
        int colon = host.lastIndexOf(':');
        String name = colon > 0 && host.indexOf(']') < colon ? host.substring(0, colon) : host;
        return name.toLowerCase(Locale.ROOT);
    }
}
