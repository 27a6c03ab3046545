package org.jackdawslip.internal.routing;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.InstanceId;

/** The decision where a request is sent. */
public sealed interface Route {

    /**
     * Submit the request to this instance's queue; the owner is null if any backend server may run the
     * request.
     */
    record RunHere(BackendServerId owner) implements Route {}

    /** Relay the request to another instance; {@code hops} is the number of hops in the relayed request. */
    record Relay(InstanceId instance, int hops) implements Route {}

    /**
     * The owner has no known sender: route the request again after a short time, until the given monotonic
     * time.
     */
    record AwaitOwner(long untilMillis) implements Route {}

    /** Refuse the request, which has not run. */
    record Refuse(ErrorCode code) implements Route {}
}
