package org.jackdawslip.internal.routing;

import java.util.OptionalLong;

import org.jackdawslip.ServiceName;

/**
 * The properties of a request that determine its route. Immutable.
 *
 * @param service the service
 * @param keyHash the hash of the key, or of the request id for at-most-once requests to a pool; else empty
 * @param hops the number of relays so far; 0 at the instance that the caller is connected to
 * @param deadlineMillis the monotonic time in milliseconds after which the caller no longer waits
 */
public record RouteRequest(ServiceName service, OptionalLong keyHash, int hops, long deadlineMillis) {}
