package org.jackdawslip.internal.keyspace;

import org.jackdawslip.BackendServerId;

/**
 * A planned move of the slots of one segment, or of some of them, to another owner. Immutable and
 * thread-safe.
 *
 * @param first the first slot
 * @param last the last slot, inclusive
 * @param target the new owner
 */
public record KeyMove(int first, int last, BackendServerId target) {}
