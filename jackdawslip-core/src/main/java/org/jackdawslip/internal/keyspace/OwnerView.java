package org.jackdawslip.internal.keyspace;

import java.util.ArrayList;
import java.util.List;

/**
 * Owners of the key slots of one service as known to this instance: the newest durable table and the move
 * announcements since.
 *
 * <p>Announcements may be lost or delayed, in which case a server that does not own the key rejects the
 * request. Invariant: the next token of the table never decreases, so the table of a store that came back from
 * an earlier copy changes nothing. Not thread-safe.
 */
public final class OwnerView {

    /**
     * Time to live of the announcement of a release. A release completes when the running requests for its
     * slots have ended.
     */
    private static final long RELEASE_ANNOUNCEMENT_TTL_MILLIS = 3_500;
    /** Time to live of the announcement of a grant. The table with the new owner arrives well before. */
    private static final long GRANT_ANNOUNCEMENT_TTL_MILLIS = 2_000;

    private record Announcement(KeySegment segment, boolean granted, long expiresAt) {}

    private final List<Announcement> announcements = new ArrayList<>();
    private KeyTable table = KeyTable.empty();

    /** Replaces the durable table unless the next token of the given one is lower. */
    public void updateTable(KeyTable newest) {
        if (newest.nextToken().compareTo(table.nextToken()) >= 0) {
            table = newest;
        }
    }

    /** Returns the durable table. */
    public KeyTable table() {
        return table;
    }

    /** Adds a move announcement, which replaces those of the same slots with a lower or equal token. */
    public void addAnnouncement(KeySegment segment, boolean granted, long now) {
        announcements.removeIf(announcement -> now >= announcement.expiresAt()
                || announcement.segment().first() >= segment.first()
                        && announcement.segment().last() <= segment.last()
                        && announcement.segment().token().compareTo(segment.token()) <= 0);
        long expiresAt = now + (granted ? GRANT_ANNOUNCEMENT_TTL_MILLIS : RELEASE_ANNOUNCEMENT_TTL_MILLIS);
        announcements.add(new Announcement(segment, granted, expiresAt));
    }

    /**
     * Returns the segment whose owner serves the slot, or null if the slot has no owner or is being released.
     */
    public KeySegment find(int slot, long now) {
        Announcement announcement = overridingAnnouncement(slot, now);
        if (announcement == null) {
            return table.find(slot);
        }
        return announcement.granted() ? announcement.segment() : null;
    }

    /** Returns whether the slot is being released, so that another owner will serve it soon. */
    public boolean moving(int slot, long now) {
        Announcement announcement = overridingAnnouncement(slot, now);
        return announcement != null && !announcement.granted();
    }

    /** Returns the announcement that overrides the table for the slot, or null. */
    private Announcement overridingAnnouncement(int slot, long now) {
        KeySegment newest = table.find(slot);
        Announcement overriding = null;
        for (Announcement announcement : announcements) {
            KeySegment segment = announcement.segment();
            if (now < announcement.expiresAt() && segment.first() <= slot && slot <= segment.last()) {
                int comparison = newest == null ? 1 : segment.token().compareTo(newest.token());
                if (comparison > 0 || comparison == 0 && !announcement.granted()) {
                    newest = segment;
                    overriding = announcement;
                }
            }
        }
        return overriding;
    }
}
