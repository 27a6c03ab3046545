package org.jackdawslip.internal.limits;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ClientLimitsTest {

    private static final long MEGABYTE = 1024 * 1024;

    /** Guards against limits that leave no descriptors for the store, peers and servers. */
    @Test
    void descriptorsAreLeftForServers() {
        for (int descriptors : new int[] {400, 1_024, 4_100}) {
            ClientLimits limits = ClientLimits.derive(descriptors, 330 * MEGABYTE, 62 * MEGABYTE, 96 * MEGABYTE);
            int incoming = limits.callerConnections() + limits.peerConnections() + 2 * limits.statusConnections();
            int toServers = limits.callerConnections() + limits.pipelinedRequests();
            assertTrue(incoming + toServers <= (descriptors - 200) * 0.9, descriptors + " descriptors");
        }
    }

    /** Guards against a body of 64 MB, the largest legal one, that the smallest machine cannot hold. */
    @Test
    void largestLegalBodyFitsOnTheSmallestMachine() {
        ClientLimits limits = ClientLimits.derive(4_100, 330 * MEGABYTE, 62 * MEGABYTE, 96 * MEGABYTE);
        assertTrue(limits.largeBodyBytes() >= 64 * MEGABYTE);
        assertTrue(62 * MEGABYTE + limits.largeBodyBytes() + 100 * MEGABYTE <= 330 * MEGABYTE);
        assertEquals(62 * MEGABYTE / 4, limits.heapBytes());
    }

    /** Guards against a process without any limit, or without room for any body, if the settings are small. */
    @Test
    void smallHostHasLowerLimits() {
        ClientLimits limits = ClientLimits.derive(100, 128 * MEGABYTE, 64 * MEGABYTE, 64 * MEGABYTE);
        assertEquals(8 * MEGABYTE, limits.largeBodyBytes());
        assertTrue(limits.callerConnections() > 0 && limits.statusConnections() > 0);
    }
}
