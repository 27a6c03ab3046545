package org.jackdawslip.internal.traffic;

/**
 * Bounds on what a caller may send and on how long it may take. Immutable and thread-safe.
 *
 * @param maxHeaderBytes bytes of all header lines of a request
 * @param maxBodyBytes bytes of a request body
 * @param headerTimeoutMillis time from the first byte of a request to the end of its headers
 * @param idleTimeoutMillis time that a connection may stay without a request
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** The limits before the first configuration is known. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 1_048_576, 3_000, 15_000);
}
