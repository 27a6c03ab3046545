package org.jackdawslip.internal.keyspace;

import org.jackdawslip.BackendServerId;

/**
 * A decision to give the slots of one segment, or a part of them, to another owner. Immutable and thread-safe.
 *
 * @param first the first slot
 * @param last the last slot, inclusive
 * @param target the next owner
 */
public record KeyMove(int first, int last, BackendServerId target) {}
