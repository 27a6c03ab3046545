package org.jackdawslip.internal.keyspace;

import org.jackdawslip.ServiceName;

/**
 * Announces a move that is under way, before the durable table says so. Immutable and thread-safe.
 *
 * @param service the service
 * @param segment the slots with their owner and token
 * @param granted whether the owner has the slots now; otherwise it is giving them up
 */
public record KeyNotice(ServiceName service, KeySegment segment, boolean granted) {}
