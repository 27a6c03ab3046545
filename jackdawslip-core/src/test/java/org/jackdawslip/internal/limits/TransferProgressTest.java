package org.jackdawslip.internal.limits;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TransferProgressTest {

    /** Guards against a client that holds its request for any time by sending one byte a second. */
    @Test
    void singleBytesDoNotExtendTheTimeLimit() {
        TransferProgress progress = new TransferProgress(32, 0);
        for (int second = 1; second <= 15; second++) {
            progress.advance(1, second * 1_000L);
            assertFalse(progress.isOverdue(15_000, second * 1_000L));
        }
        progress.advance(1, 16_000);
        assertTrue(progress.isOverdue(15_000, 16_000));
        assertEquals(16_000, progress.slowMillis(16_000));
    }

    /** Guards against a time limit that cuts off a large body which arrives steadily. */
    @Test
    void steadyTransferIsNotOverdue() {
        TransferProgress progress = new TransferProgress(32, 0);
        for (int second = 1; second <= 600; second++) {
            progress.advance(100_000, second * 1_000L);
            assertFalse(progress.isOverdue(15_000, second * 1_000L));
            assertEquals(0, progress.slowMillis(second * 1_000L));
        }
    }

    /** Guards against a client that sent fast, stopped just short of the end and counts as fast from then on. */
    @Test
    void stoppedTransferBecomesSlowAtOnce() {
        TransferProgress progress = new TransferProgress(32, 0);
        progress.advance(60_000_000, 100);
        assertEquals(2_000, progress.slowMillis(2_100));
    }
}
