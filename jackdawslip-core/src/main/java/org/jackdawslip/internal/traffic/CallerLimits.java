package org.jackdawslip.internal.traffic;

/**
 * Limits on the size and the duration of callers' requests. Immutable and thread-safe.
 *
 * @param maxHeaderBytes the largest size of all header lines of a request, in bytes
 * @param maxBodyBytes the largest size of a request body, in bytes
 * @param headerTimeoutMillis the longest time from the first byte of a request to the end of its headers, in
 *     milliseconds
 * @param idleTimeoutMillis the longest time that a connection may stay open without a request, in
 *     milliseconds
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** The limits until the first configuration is loaded. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 1_048_576, 3_000, 15_000);
}
