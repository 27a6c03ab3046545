package org.jackdawslip.internal.gateway;

import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.RetryBudget;

/** The use of the retry budget of a service by one request. Confined to the event loop. */
final class RequestRetries {

    private final RequestComponents components;
    private final ServiceName service;

    RequestRetries(RequestComponents components, ServiceName service) {
        this.components = components;
        this.service = service;
    }

    /** Counts the request, once it may be sent. */
    void recordRequest() {
        budget().recordRequest(components.clock().millis());
    }

    /** Takes a further attempt from the budget; returns whether it is allowed. */
    boolean tryRetry() {
        boolean permitted = budget().tryRetry(
                        components.clock().millis(), components.routing().globalLimitShare());
        if (!permitted) {
            components.metrics().countDecision("retry-budget-empty", service.value());
        }
        return permitted;
    }

    /** Takes a further attempt that may be left out from the budget; returns whether it is allowed. */
    boolean tryOptionalRetry() {
        return budget().tryOptional(
                        components.clock().millis(), components.routing().globalLimitShare());
    }

    /** Returns how many further attempts remain in the current window. */
    double remaining() {
        return components.routing().remainingRetries(service, components.clock().millis());
    }

    private RetryBudget budget() {
        return components.routing().retryBudget(service);
    }
}
