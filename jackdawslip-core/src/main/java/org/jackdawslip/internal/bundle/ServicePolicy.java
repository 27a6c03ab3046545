package org.jackdawslip.internal.bundle;

import java.util.List;

import org.jackdawslip.ServiceName;

/**
 * The rules by which requests to one service are routed and run. Immutable and thread-safe.
 *
 * @param name the name of the service
 * @param routing whether keys have owners
 * @param checksTokens whether the backend servers reject stale fencing tokens
 * @param onSilence what happens to ranges whose sender is silent
 * @param ranges the initial number of ranges of the hash space
 * @param queueLimit the largest number of requests that wait at one sender
 * @param coldSlots the number of concurrent requests at a backend server whose warm-up starts
 * @param rampRequests the number of successful responses after which the limit of a cold server grows by one
 *     slot
 * @param rampMillis the least time between two such steps, in milliseconds
 * @param hedging whether idempotent pool requests may be hedged
 * @param rules the execution rules, of which the first matching one applies; without a match, requests are
 *     idempotent
 */
public record ServicePolicy(
        ServiceName name,
        Routing routing,
        boolean checksTokens,
        OnSilence onSilence,
        int ranges,
        int queueLimit,
        int coldSlots,
        int rampRequests,
        int rampMillis,
        boolean hedging,
        List<ExecutionRule> rules) {

    /** Makes defensive copies. */
    public ServicePolicy {
        rules = List.copyOf(rules);
    }

    /** Returns whether a request with this method and path may run more than once. */
    public Execution execution(String method, String path) {
        return rules.stream()
                .filter(rule -> rule.matches(method, path))
                .findFirst()
                .map(ExecutionRule::execution)
                .orElse(Execution.IDEMPOTENT);
    }

    /** Whether keys of a service have owners. */
    public enum Routing {
        /** Any backend server of the service may get a request. */
        POOL,
        /** Each key has one owner, which gets all requests for the key. */
        KEYED
    }

    /** Whether a request may run more than once. */
    public enum Execution {
        /** The request may be retried and hedged. */
        IDEMPOTENT,
        /** The request is sent at most once. */
        AT_MOST_ONCE
    }

    /** What happens to ranges whose sender is silent. */
    public enum OnSilence {
        /** The ranges stay with their owner until the sender returns or an operator releases them. */
        STAY,
        /** The grants expire by the clock of the owner, and then the ranges move to other backend servers. */
        MOVE
    }

    /**
     * Defines by method and path whether requests may run more than once.
     *
     * @param method the HTTP method, or {@code *} for any
     * @param pathPrefix the prefix of the path after the service name
     * @param execution whether matching requests may run more than once
     */
    public record ExecutionRule(String method, String pathPrefix, Execution execution) {

        boolean matches(String requestMethod, String path) {
            return ("*".equals(method) || method.equalsIgnoreCase(requestMethod)) && path.startsWith(pathPrefix);
        }
    }
}
