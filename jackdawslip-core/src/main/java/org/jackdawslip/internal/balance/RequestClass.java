package org.jackdawslip.internal.balance;

import org.jackdawslip.ServiceName;

/**
 * Requests to one service for which callers need the same. Immutable and thread-safe.
 *
 * @param service the service
 * @param priority the priority of the client account, or of the route if the request has no account; 0 is the most
 *     urgent
 * @param targetLatencyMillis the latency up to which a response is on time, in milliseconds
 * @param deadlineMillis the time after which a caller no longer waits, in milliseconds
 */
public record RequestClass(ServiceName service, int priority, long targetLatencyMillis, long deadlineMillis) {

    /** Returns whether requests of this class are more urgent than those of the other one. */
    boolean moreUrgentThan(RequestClass other) {
        return priority < other.priority;
    }
}
