package org.jackdawslip.internal.traffic;

import java.util.List;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;

/**
 * Sends the requests of one host below one path prefix to one or more services. Immutable and thread-safe.
 *
 * @param name the operator's name of the route
 * @param host the host name that requests carry, without a port
 * @param prefix the beginning of the path; it starts and ends with a slash
 * @param kind how often a request may run
 * @param timeoutMillis the longest time a caller waits for the final answer
 * @param targetLatencyMillis the time within which an answer is on time
 * @param maxAttempts the largest number of backend servers that one request is sent to
 * @param priority the rank among all routes; 0 is the most urgent
 * @param services the services that share the requests, at least one
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
        List<WeightedService> services) {

    /**
     * Checks the route.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_BUNDLE} if a value is not valid
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
