package org.jackdawslip.internal.balance;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.ServiceName;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a server that takes requests without answering, and against counts that drift. */
class BackendTrackerTest {

    private final BackendTracker tracker = new BackendTracker(
            new Backend(
                    new BackendServerId("s1"),
                    1,
                    new ServiceName("pool"),
                    "10.0.0.1",
                    80,
                    new FailureDomainId("a"),
                    3,
                    false,
                    0),
            0);

    private void silence(long now) {
        tracker.chosen();
        tracker.silent(now);
    }

    /** A server that fell silent has nothing in flight and would seem free. */
    @Test
    void silentServerIsAvoidedForAWhile() {
        silence(0);
        assertFalse(tracker.paused(1));
        silence(10);
        assertTrue(tracker.paused(11));
        assertFalse(tracker.paused(2_000));
    }

    @Test
    void oneLongRequestBetweenAnswersIsNotSilence() {
        for (int i = 0; i < 10; i++) {
            silence(i);
            tracker.chosen();
            tracker.answered(true);
        }
        assertFalse(tracker.paused(11));
    }

    /** Each request to an address that another service has by now counts against the retry budget of that service. */
    @Test
    void serverThatDeniesRequestsIsAskedOnlyAfterAPause() {
        tracker.chosen();
        tracker.denied(0);
        assertFalse(tracker.denies());
        tracker.chosen();
        tracker.denied(60);
        assertTrue(tracker.denies() && tracker.paused(100));
        assertFalse(tracker.paused(60 + 2_000));
        tracker.chosen();
        tracker.answered(true);
        assertFalse(tracker.denies());
    }

    @Test
    void pausesDoubleUpToALimit() {
        for (int i = 0; i < 10; i++) {
            silence(0);
        }
        assertTrue(tracker.paused(1_900));
        assertFalse(tracker.paused(2_100));
    }

    @Test
    void countsOfPeersReplaceEachOther() {
        tracker.peerInFlight(new InstanceId("p"), 4);
        tracker.peerInFlight(new InstanceId("p"), 1);
        tracker.chosen();
        assertEquals(2, tracker.busy(0));
        tracker.forgetPeer(new InstanceId("p"));
        assertEquals(1, tracker.busy(0));
    }

    /** A long queue at a pace that lasts a moment must not look like seconds of work. */
    @Test
    void reportedPaceCountsForAMomentOnly() {
        tracker.report(new LoadReport(3, 9, 3, 300), 0, 0);
        double millis = tracker.expectedMillis(400, 0);
        assertTrue(millis < 2_600, "expected " + millis);
    }

    private Backend listing(long coldMillis) {
        Backend first = tracker.backend();
        return new Backend(
                first.id(),
                first.startedAtMillis(),
                first.service(),
                first.host(),
                first.port(),
                first.domain(),
                first.slots(),
                first.draining(),
                coldMillis);
    }

    /** What an instance has known for longer says nothing about a server that may turn cold at any moment. */
    @Test
    void statementThatAServerIsWarmExpires() {
        tracker.stated(0, 0, 20);
        tracker.stated(0, 1, 20);
        assertTrue(tracker.takeWarmStatement(1 + BackendTracker.STATEMENT_MILLIS));
        tracker.stated(0, 0, 20);
        assertFalse(tracker.takeWarmStatement(1 + BackendTracker.STATEMENT_MILLIS));
    }

    /** Many requests at once relied on one statement, and a server that had just turned cold got all of them. */
    @Test
    void statementThatAServerIsWarmAdmitsOneRequest() {
        tracker.stated(0, 0, 1);
        tracker.stated(0, 0, 1);
        assertTrue(tracker.takeWarmStatement(1));
        assertTrue(tracker.takeWarmStatement(1));
        assertFalse(tracker.takeWarmStatement(1));
    }

    /** A listing that was written before the server turned cold let the full load through. */
    @Test
    void listingOfAWarmServerDoesNotEndItsOwnStatementThatItIsCold() {
        tracker.stated(3_000, 0, 0);
        tracker.update(listing(0), 100);
        assertTrue(tracker.cold(2_999));
        assertFalse(tracker.cold(3_000));
    }

    /** Answers on two connections may arrive in another order than they were asked for. */
    @Test
    void earlierStatementThatAServerIsWarmDoesNotEndALaterOneThatItIsCold() {
        tracker.stated(1_000, 20, 30);
        tracker.stated(0, 10, 40);
        assertTrue(tracker.cold(41));
        assertFalse(tracker.takeWarmStatement(41));
    }

    @Test
    void newerListingReplacesAnOlderOne() {
        tracker.update(listing(1_000), 100);
        assertTrue(tracker.cold(1_099));
        assertFalse(tracker.cold(1_100));
        tracker.update(listing(0), 500);
        assertFalse(tracker.cold(500));
        assertEquals(0, tracker.coldMillis(500));
    }

    /** The log tells by this count whether a server was flooded before its cold state was known. */
    @Test
    void recentSendsAreThoseOfTheLastSecond() {
        tracker.sent(0);
        tracker.sent(400);
        assertEquals(2, tracker.recentSends(999));
        assertEquals(1, tracker.recentSends(1_000));
    }
}
