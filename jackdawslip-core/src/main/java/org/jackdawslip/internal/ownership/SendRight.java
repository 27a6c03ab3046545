package org.jackdawslip.internal.ownership;

import org.jackdawslip.FencingToken;

/**
 * The tokens that this instance sends with a request to a backend server. Immutable and thread-safe.
 *
 * @param senderToken the token of the sender
 * @param rangeToken the token of the range; {@link FencingToken#NONE} for requests without a range
 * @param rangeSinceWallMillis since when this instance has been the sender for the range, in milliseconds of
 *     its wall clock; 0 for requests without a range
 */
public record SendRight(FencingToken senderToken, FencingToken rangeToken, long rangeSinceWallMillis) {}
