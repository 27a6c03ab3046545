package org.jackdawslip.internal.keyspace;

import java.util.ArrayList;
import java.util.List;

/**
 * What one instance knows about the owners of one service: the newest durable table, and notices of moves.
 *
 * <p>A notice can be lost or late; a wrong owner denies the request. Invariant: the revision of the table never falls.
 * Not thread-safe.
 */
public final class OwnerView {

    /** A notice that slots are given up is forgotten after this time; a release waits for the work on its slots. */
    private static final long RELEASE_NOTICE_MILLIS = 3_500;
    /** A notice of a grant is forgotten after this time; the table that names the owner arrives long before. */
    private static final long GRANT_NOTICE_MILLIS = 2_000;

    private record Noted(KeySegment segment, boolean granted, long until) {}

    private final List<Noted> notices = new ArrayList<>();
    private KeyTable table = KeyTable.empty();
    private long revision;

    /** Takes a durable table if it is newer. */
    public void table(KeyTable newest, long newRevision) {
        if (newRevision > revision) {
            table = newest;
            revision = newRevision;
        }
    }

    /** Returns the revision of the durable table. */
    public long revision() {
        return revision;
    }

    /** Takes a notice. */
    public void notice(KeySegment segment, boolean granted, long now) {
        notices.removeIf(noted -> now >= noted.until()
                || noted.segment().first() >= segment.first()
                        && noted.segment().last() <= segment.last()
                        && noted.segment().token().compareTo(segment.token()) <= 0);
        long until = now + (granted ? GRANT_NOTICE_MILLIS : RELEASE_NOTICE_MILLIS);
        notices.add(new Noted(segment, granted, until));
    }

    /** Returns the segment whose owner serves the slot, or null if nobody does at the moment. */
    public KeySegment find(int slot, long now) {
        Noted noted = newestNotice(slot, now);
        if (noted == null) {
            return table.find(slot);
        }
        return noted.granted() ? noted.segment() : null;
    }

    /** Returns whether an owner is giving the slot up, so that another one is about to serve it. */
    public boolean moving(int slot, long now) {
        Noted noted = newestNotice(slot, now);
        return noted != null && !noted.granted();
    }

    /** Returns the notice that overrides the table, or null. */
    private Noted newestNotice(int slot, long now) {
        KeySegment newest = table.find(slot);
        Noted overriding = null;
        for (Noted noted : notices) {
            KeySegment segment = noted.segment();
            if (now < noted.until() && segment.first() <= slot && slot <= segment.last()) {
                int order = newest == null ? 1 : segment.token().compareTo(newest.token());
                if (order > 0 || order == 0 && !noted.granted()) {
                    newest = segment;
                    overriding = noted;
                }
            }
        }
        return overriding;
    }
}
