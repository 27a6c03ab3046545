package org.jackdawslip.internal.settings;

import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;

/**
 * The address of another instance. Immutable and thread-safe.
 *
 * @param instance the other instance
 * @param failureDomain the failure domain of the other instance
 * @param address the address on which the other instance accepts peers
 */
public record PeerSettings(InstanceId instance, FailureDomainId failureDomain, HostPort address) {}
