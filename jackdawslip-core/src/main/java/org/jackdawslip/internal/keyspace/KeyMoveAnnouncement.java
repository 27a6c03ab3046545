package org.jackdawslip.internal.keyspace;

import org.jackdawslip.ServiceName;

/**
 * Announcement of a key move to other instances, before the durable table has the move. Immutable and
 * thread-safe.
 *
 * @param service the service
 * @param segment the slots with their owner and fencing token
 * @param granted true if the owner has received the slots, false if it is releasing them
 */
public record KeyMoveAnnouncement(ServiceName service, KeySegment segment, boolean granted) {}
