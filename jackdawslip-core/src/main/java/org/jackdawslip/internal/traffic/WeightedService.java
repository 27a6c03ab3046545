package org.jackdawslip.internal.traffic;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.ServiceName;

/**
 * One service of a route and its share of the requests. Immutable and thread-safe.
 *
 * @param service the service
 * @param weight the weight relative to the other services of the route; a service with weight 0 gets no
 *     requests
 */
public record WeightedService(ServiceName service, int weight) {

    /**
     * Checks the weight.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_BUNDLE} if the weight is negative
     */
    public WeightedService {
        if (weight < 0) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_BUNDLE, "weight " + weight + " of " + service + " is negative");
        }
    }
}
