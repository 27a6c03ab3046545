package org.jackdawslip.internal.limits;

import java.util.List;

import org.jackdawslip.internal.limits.ConnectionBudget.Activity;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ConnectionBudgetTest {

    private final ConnectionBudget budget = new ConnectionBudget(4);

    private static final class FakeConnection implements ConnectionBudget.Connection {
        private final String address;
        private final Activity activity;
        private final long waitingMillis;
        private boolean closed;

        FakeConnection(String address, Activity activity, long waitingMillis) {
            this.address = address;
            this.activity = activity;
            this.waitingMillis = waitingMillis;
        }

        @Override
        public Activity activity() {
            return activity;
        }

        @Override
        public long waitingMillis() {
            return waitingMillis;
        }

        @Override
        public Object address() {
            return address;
        }

        @Override
        public void closeForAnother() {
            closed = true;
        }
    }

    private FakeConnection open(String address, Activity activity, long waitingMillis) {
        FakeConnection connection = new FakeConnection(address, activity, waitingMillis);
        assertTrue(budget.tryOpen(connection));
        return connection;
    }

    /** Guards against clients that send nothing and take the places of callers that reuse their connections. */
    @Test
    void unprovenConnectionMakesRoomBeforeIdleOne() {
        FakeConnection idle = open("a", Activity.IDLE, 9_000);
        FakeConnection unproven = open("b", Activity.UNPROVEN, 500);
        FakeConnection older = open("c", Activity.UNPROVEN, 800);
        open("d", Activity.BUSY, 20_000);
        open("e", Activity.UNPROVEN, 0);
        assertTrue(older.closed);
        assertFalse(unproven.closed || idle.closed);
        assertEquals(4, budget.open());
        assertEquals(1, budget.replaced());
    }

    /** Guards against the loss of a request that is being processed. */
    @Test
    void busyConnectionsAreNeverClosed() {
        List<FakeConnection> busy = List.of(
                open("a", Activity.BUSY, 1),
                open("a", Activity.BUSY, 2),
                open("a", Activity.BUSY, 3),
                open("a", Activity.BUSY, 4));
        assertFalse(budget.tryOpen(new FakeConnection("b", Activity.UNPROVEN, 0)));
        assertTrue(busy.stream().noneMatch(connection -> connection.closed));
        assertEquals(1, budget.refused());
    }

    /** Guards against one address that displaces the connections of all others. */
    @Test
    void addressWithMostConnectionsMakesRoomFirst() {
        FakeConnection other = open("b", Activity.UNPROVEN, 9_000);
        open("a", Activity.UNPROVEN, 1);
        FakeConnection oldest = open("a", Activity.UNPROVEN, 3);
        open("a", Activity.UNPROVEN, 2);
        open("c", Activity.UNPROVEN, 0);
        assertTrue(oldest.closed);
        assertFalse(other.closed);
    }

    /** Guards against a count that falls twice, once at the replacement and once at the end of the connection. */
    @Test
    void replacedConnectionIsRemovedOnce() {
        FakeConnection first = open("a", Activity.ENDING, 0);
        open("a", Activity.BUSY, 0);
        open("a", Activity.BUSY, 0);
        open("a", Activity.BUSY, 0);
        open("a", Activity.BUSY, 0);
        assertTrue(first.closed);
        budget.close(first);
        assertEquals(4, budget.open());
    }
}
