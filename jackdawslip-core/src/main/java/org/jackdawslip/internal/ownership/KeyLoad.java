package org.jackdawslip.internal.ownership;

/**
 * The load of one key. Immutable and thread-safe.
 *
 * @param hash the hash of the key
 * @param slots a lower bound of the average number of slots that requests for the key occupy
 */
public record KeyLoad(long hash, double slots) {}
