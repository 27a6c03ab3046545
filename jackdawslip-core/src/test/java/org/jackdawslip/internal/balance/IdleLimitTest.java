package org.jackdawslip.internal.balance;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against at-most-once requests that are lost on connections which the server dropped while they were idle. */
class IdleLimitTest {

    private final IdleLimit limit = new IdleLimit();

    @Test
    void droppedConnectionShortensTheLimitForAWhile() {
        assertEquals(IdleLimit.NONE, limit.millis(0));
        assertTrue(limit.lost(600, 2, 0));
        assertEquals(300, limit.millis(1));
        limit.lost(900, 2, 5);
        assertEquals(300, limit.millis(6));
        assertEquals(IdleLimit.NONE, limit.millis(20_000));
    }

    /** A server that crashes while it works says nothing about idle connections. */
    @Test
    void lossDuringTheWorkChangesNothing() {
        assertFalse(limit.lost(600, 80, 0));
        assertEquals(IdleLimit.NONE, limit.millis(1));
    }

    @Test
    void limitIsNeverTooShortToKeepABusyConnection() {
        limit.lost(10, 1, 0);
        assertEquals(100, limit.millis(1));
    }
}
