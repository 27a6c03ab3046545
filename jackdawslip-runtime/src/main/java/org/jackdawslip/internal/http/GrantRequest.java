package org.jackdawslip.internal.http;

import java.util.List;
import java.util.OptionalLong;

import org.jackdawslip.FencingToken;
import org.jackdawslip.InstanceId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.ownership.KeyRange;

/**
 * Claims or renews the exclusive right to send to one backend server, and the grants of its key ranges.
 * Immutable and thread-safe.
 *
 * @param sender the claiming instance
 * @param senderToken the token of the right to send
 * @param termMillis the time in milliseconds for which the ranges are granted, by the clock of the backend
 *     server
 * @param notAfterMillis the time on the monotonic clock of the backend server after which it refuses the
 *     call; empty for a call without ranges, which extends no grant
 * @param ranges all granted ranges
 */
public record GrantRequest(
        InstanceId sender,
        FencingToken senderToken,
        long termMillis,
        OptionalLong notAfterMillis,
        List<RangeGrant> ranges) {

    /** Copies the ranges into an unmodifiable list. */
    public GrantRequest {
        ranges = List.copyOf(ranges);
    }

    /**
     * The grant of one key range.
     *
     * @param service the service
     * @param range the range
     * @param token the token of the range
     */
    public record RangeGrant(ServiceName service, KeyRange range, long token) {}
}
