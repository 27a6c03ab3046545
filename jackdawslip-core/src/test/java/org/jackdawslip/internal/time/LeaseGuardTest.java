package org.jackdawslip.internal.time;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against ownership calls that are sent after the lease of the coordinator role may have ended. */
class LeaseGuardTest {

    private long monotonic = 1_000;
    private long wall = 1_000_000;
    private final LeaseGuard guard = new LeaseGuard(() -> monotonic, () -> wall);

    private void advance(long millis) {
        monotonic += millis;
        wall += millis;
    }

    @Test
    void validityEndsBeforeTheTermDoes() {
        guard.recordRenewal(monotonic, 3_000);
        advance(2_600);
        assertTrue(guard.isValid());
        advance(150);
        assertFalse(guard.isValid());
    }

    /**
     * The monotonic clock does not advance while the host is suspended, but the lease may end in that time.
     */
    @Test
    void suspensionEndsValidityUntilTheNextRenewal() {
        guard.recordRenewal(monotonic, 3_000);
        wall += 5_000;
        assertFalse(guard.isValid());
        assertFalse(guard.isValid());
        guard.recordRenewal(monotonic, 3_000);
        assertTrue(guard.isValid());
    }

    /**
     * A renewal that was sent before a suspension may have expired when its response arrives after the
     * suspension.
     */
    @Test
    void renewalAcrossASuspensionDoesNotCount() {
        long sentAt = monotonic;
        advance(10);
        wall += 5_000;
        guard.recordRenewal(sentAt, 3_000);
        assertFalse(guard.isValid());
    }

    /**
     * The event loop may check the lease between a suspension and the response to a renewal that was sent before it.
     */
    @Test
    void renewalAcrossASuspensionDoesNotCountAfterACheck() {
        long sentAt = monotonic;
        advance(10);
        wall += 5_000;
        assertFalse(guard.isValid());
        guard.recordRenewal(sentAt, 3_000);
        assertFalse(guard.isValid());
    }

    /**
     * A step of the wall clock is treated like a suspension; the lease is valid again after the next renewal.
     */
    @Test
    void clockStepBackEndsValidityToo() {
        guard.recordRenewal(monotonic, 3_000);
        wall -= 2_000;
        assertFalse(guard.isValid());
    }
}
