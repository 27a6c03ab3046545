package org.jackdawslip.internal.admission;

import org.jackdawslip.FencingToken;

/**
 * The time from which on the registry has a record of every at-most-once request that ran in an owned key
 * range. Immutable and thread-safe.
 *
 * @param token the range token, which increases with every change of the owner
 * @param completeSinceWallMillis that time, in milliseconds of the wall clock; a request id that was created
 *     before it and has no record may have run at a previous sender
 */
public record RangeStart(FencingToken token, long completeSinceWallMillis) {}
