package org.jackdawslip.internal.store;

import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;

/**
 * An entry of the list of instances in the store. Immutable and thread-safe.
 *
 * @param instance the instance
 * @param failureDomain the failure domain in which the instance runs
 * @param host the IP address on which the instance accepts peers
 * @param port the port on which the instance accepts peers
 * @param leaving whether the instance is being removed
 */
public record ListedInstance(
        InstanceId instance, FailureDomainId failureDomain, String host, int port, boolean leaving) {}
