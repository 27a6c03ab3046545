package org.jackdawslip.internal.time;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against orders that are sent after the lease on the role may have ended. */
class LeaseGuardTest {

    private long monotonic = 1_000;
    private long wall = 1_000_000;
    private final LeaseGuard guard = new LeaseGuard(() -> monotonic, () -> wall);

    private void pass(long millis) {
        monotonic += millis;
        wall += millis;
    }

    @Test
    void validityEndsBeforeTheTermDoes() {
        guard.renewed(monotonic, 3_000);
        pass(2_600);
        assertTrue(guard.valid());
        pass(150);
        assertFalse(guard.valid());
    }

    /** The monotonic clock stands still while the machine is suspended, and the lease may have ended meanwhile. */
    @Test
    void suspensionEndsValidityUntilTheNextRenewal() {
        guard.renewed(monotonic, 3_000);
        wall += 5_000;
        assertFalse(guard.valid());
        assertFalse(guard.valid());
        guard.renewed(monotonic, 3_000);
        assertTrue(guard.valid());
    }

    /** A renewal that was sent before a suspension and answered after it proves nothing. */
    @Test
    void renewalAcrossASuspensionDoesNotCount() {
        long sentAt = monotonic;
        pass(10);
        wall += 5_000;
        guard.renewed(sentAt, 3_000);
        assertFalse(guard.valid());
    }

    /** A step of the time of day looks like a suspension and costs no more than one renewal. */
    @Test
    void clockStepBackEndsValidityToo() {
        guard.renewed(monotonic, 3_000);
        wall -= 2_000;
        assertFalse(guard.valid());
    }
}
