package org.jackdawslip.internal.keyspace;

import java.util.List;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FencingToken;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests to an owner that is releasing the key, and against outdated announcements. */
class OwnerViewTest {

    private final OwnerView view = new OwnerView();

    OwnerViewTest() {
        view.updateTable(new KeyTable(List.of(segment("s1", 0, 999, 5)), new FencingToken(6)));
    }

    private static KeySegment segment(String owner, int first, int last, long token) {
        return new KeySegment(first, last, new BackendServerId(owner), 1, new FencingToken(token));
    }

    @Test
    void slotsThatAreBeingReleasedHaveNoOwner() {
        view.addAnnouncement(segment("s1", 100, 199, 5), false, 0);
        assertNull(view.find(150, 10));
        assertEquals("s1", view.find(200, 10).owner().value());
    }

    /** A request waits for an owner only during a move; without an owner it is refused at once. */
    @Test
    void onlySlotsThatAreBeingReleasedAreMoving() {
        view.addAnnouncement(segment("s1", 100, 199, 5), false, 0);
        assertTrue(view.moving(150, 10));
        assertFalse(view.moving(200, 10));
        assertFalse(view.moving(5_000, 10));
        view.addAnnouncement(segment("s2", 100, 199, 6), true, 5);
        assertFalse(view.moving(150, 10));
    }

    @Test
    void grantedSlotsBelongToTheNewOwnerBeforeTheTableArrives() {
        view.addAnnouncement(segment("s1", 100, 199, 5), false, 0);
        view.addAnnouncement(segment("s2", 100, 199, 6), true, 5);
        assertEquals("s2", view.find(150, 10).owner().value());
    }

    /** A release that was announced and then abandoned must not hide the owner permanently. */
    @Test
    void announcementsExpire() {
        view.addAnnouncement(segment("s1", 100, 199, 5), false, 0);
        assertEquals("s1", view.find(150, 4_000).owner().value());
    }

    @Test
    void newerTableOverridesOldAnnouncements() {
        view.addAnnouncement(segment("s2", 0, 999, 6), true, 0);
        view.updateTable(new KeyTable(List.of(segment("s3", 0, 999, 7)), new FencingToken(8)));
        assertEquals("s3", view.find(150, 10).owner().value());
    }

    @Test
    void olderTableIsIgnored() {
        view.updateTable(new KeyTable(List.of(segment("s9", 0, 999, 4)), new FencingToken(5)));
        assertEquals("s1", view.find(0, 0).owner().value());
        assertEquals(6, view.table().nextToken().value());
    }

    /** Guards against owners that stay in use although the table was written again without them. */
    @Test
    void tableWithTheSameNextTokenReplacesTheEarlierOne() {
        view.updateTable(new KeyTable(List.of(segment("s1", 0, 499, 5)), new FencingToken(6)));
        assertNull(view.find(500, 0));
        assertEquals("s1", view.find(499, 0).owner().value());
    }
}
