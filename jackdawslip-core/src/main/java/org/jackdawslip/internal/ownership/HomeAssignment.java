package org.jackdawslip.internal.ownership;

import org.jackdawslip.FailureDomainId;

/**
 * The failure domain to which one range is assigned. Immutable and thread-safe.
 *
 * @param range the hashes of the range
 * @param failureDomain the failure domain whose backend servers may own the range
 */
public record HomeAssignment(KeyRange range, FailureDomainId failureDomain) {}
