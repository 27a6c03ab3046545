package org.jackdawslip.internal.ownership;

import java.util.Optional;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.FencingToken;

/**
 * The destination of the requests for one key. Immutable and thread-safe.
 *
 * @param home the failure domain that holds the range; empty while no homes record is available
 * @param owner the backend server that owns the range; empty if the home is another failure domain or the
 *     range is moving
 * @param rangeToken the range token of the owner; {@link FencingToken#NONE} without an owner
 */
public record Route(Optional<FailureDomainId> home, Optional<BackendServerId> owner, FencingToken rangeToken) {

    /** The route while no homes record is available. */
    static final Route UNKNOWN = new Route(Optional.empty(), Optional.empty(), FencingToken.NONE);
}
