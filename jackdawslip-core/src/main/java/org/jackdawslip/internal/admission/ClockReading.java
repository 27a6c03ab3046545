package org.jackdawslip.internal.admission;

/**
 * The monotonic and the wall clock time at which a call is made. Immutable and thread-safe.
 *
 * @param monotonicMillis the monotonic time in milliseconds; never decreases between calls
 * @param wallMillis the wall clock time in milliseconds since the epoch; may decrease
 */
public record ClockReading(long monotonicMillis, long wallMillis) {}
