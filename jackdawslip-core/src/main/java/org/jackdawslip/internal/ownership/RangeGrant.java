package org.jackdawslip.internal.ownership;

import org.jackdawslip.FencingToken;

/**
 * One range that a grant call lists. Immutable and thread-safe.
 *
 * @param range the hashes of the range
 * @param token the range token
 */
public record RangeGrant(KeyRange range, FencingToken token) {}
