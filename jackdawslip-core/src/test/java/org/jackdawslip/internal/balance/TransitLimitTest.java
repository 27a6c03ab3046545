package org.jackdawslip.internal.balance;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.ServiceName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against requests and unread responses that exceed the memory of a server, and against a limit that ordinary
 * requests reach.
 */
class TransitLimitTest {

    private static final long LIMIT = TransitLimit.DEFAULT_BYTES;

    private static BackendTracker server() {
        return new BackendTracker(
                new Backend(
                        new BackendServerId("s1"),
                        0,
                        new ServiceName("pool"),
                        "127.0.0.1",
                        1,
                        new FailureDomainId("a"),
                        3,
                        false,
                        0),
                0);
    }

    @Test
    void oneRequestIsAdmittedWhateverItsSize() {
        BackendTracker server = server();
        TransitLimit limit = new TransitLimit(LIMIT, () -> 13_000);
        assertTrue(limit.admits(server, 64L << 20));
        server.addBytesInTransit(64L << 20);
        assertFalse(limit.admits(server, 1));
        server.addBytesInTransit(-(64L << 20));
        assertTrue(limit.admits(server, 1));
    }

    @Test
    void unreadResponseLeavesNoRoomForFurtherRequests() {
        BackendTracker server = server();
        TransitLimit limit = new TransitLimit(LIMIT, () -> 12);
        server.addBytesInTransit(LIMIT / 12);
        assertFalse(limit.admits(server, 1));
    }

    @Test
    void ordinaryRequestsThatFillAServerAreAdmittedAtOneInstance() {
        BackendTracker server = server();
        TransitLimit limit = new TransitLimit(LIMIT, () -> 100);
        for (int i = 0; i < 15; i++) {
            assertTrue(limit.admits(server, 100_000), "request " + i);
            server.addBytesInTransit(100_000);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void sumOfAllInstancesStaysWithinTheLimit(long seed) {
        Random random = new Random(seed);
        int instances = 1 + random.nextInt(100);
        TransitLimit limit = new TransitLimit(LIMIT, () -> instances);
        List<BackendTracker> views = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            views.add(server());
        }
        long sum = 0;
        for (int i = 0; i < 100_000; i++) {
            BackendTracker view = views.get(random.nextInt(instances));
            long bytes = 1 + random.nextInt((int) limit.shareBytes());
            if (limit.admits(view, bytes)) {
                view.addBytesInTransit(bytes);
                sum += bytes;
            }
            assertTrue(sum <= LIMIT, "seed " + seed + ": " + sum + " bytes of " + instances + " instances");
        }
    }
}
