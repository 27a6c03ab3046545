package org.jackdawslip.internal.ownership;

import java.util.Optional;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FencingToken;
import org.jackdawslip.ServiceName;

/**
 * The owner of one range in an assignment table. Immutable and thread-safe.
 *
 * @param service the service
 * @param range the hashes of the range
 * @param owner the backend server; empty while the range is moving
 * @param token the range token of the owner, or of the last owner while the range is moving
 */
public record RangeAssignment(
        ServiceName service, KeyRange range, Optional<BackendServerId> owner, FencingToken token) {}
