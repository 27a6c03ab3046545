package org.jackdawslip.internal.traffic;

import java.util.List;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;

/**
 * A route from a host name and a path prefix to one or more services. Immutable and thread-safe.
 *
 * @param name the name of the route in the configuration
 * @param host the host name in requests, without a port
 * @param prefix the path prefix, which starts and ends with a slash
 * @param kind how often a request may run
 * @param timeoutMillis the time after which a request times out, in milliseconds
 * @param targetLatencyMillis the latency up to which a response is on time, in milliseconds
 * @param maxAttempts the largest number of attempts of one request
 * @param priority the priority among all routes; 0 is the most urgent
 * @param services the services among which the requests are distributed, at least one
 * @param publicAccess whether requests need no key even if the configuration has client accounts
 */
public record HostRoute(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        long timeoutMillis,
        long targetLatencyMillis,
        int maxAttempts,
        int priority,
        List<WeightedService> services,
        boolean publicAccess) {

    /** Creates a route whose requests need a key if the configuration has client accounts. */
    public HostRoute(
            String name,
            String host,
            String prefix,
            RequestKind kind,
            long timeoutMillis,
            long targetLatencyMillis,
            int maxAttempts,
            int priority,
            List<WeightedService> services) {
        this(name, host, prefix, kind, timeoutMillis, targetLatencyMillis, maxAttempts, priority, services, false);
    }

    /**
     * Checks the route.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_BUNDLE} if a value is invalid
     */
    public HostRoute {
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw invalid(name, "prefix \"" + prefix + "\" does not begin and end with a slash");
        }
        if (timeoutMillis <= 0 || targetLatencyMillis <= 0 || maxAttempts <= 0) {
            throw invalid(name, "timeout, target latency and attempts must be positive");
        }
        if (services.stream().mapToInt(WeightedService::weight).sum() <= 0) {
            throw invalid(name, "no service has a weight");
        }
        services = List.copyOf(services);
    }

    private static JackdawslipException invalid(String name, String problem) {
        return new JackdawslipException(ErrorCode.INVALID_BUNDLE, "route \"" + name + "\": " + problem);
    }
}
