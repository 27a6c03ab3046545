package org.jackdawslip.internal.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CallerMemoryTest {

    private static final int OPERATIONS = 20_000;

    /** Limit 1,000, of which 200 are reserved; 400 for a connection, 600 for an address, 500 for a use. */
    private final CallerMemory memory = new CallerMemory(new MemoryShares(1_000, 200, 400, 600, 500));

    /** A client that releases everything when it is dropped. */
    private final class FakeClient implements CallerMemory.Client {
        private final CallerMemory.Holder holder;
        private final long[] held = new long[MemoryUse.values().length];
        private long slowMillis;
        private boolean dropped;

        FakeClient(String address, long slowMillis) {
            this.slowMillis = slowMillis;
            holder = memory.open(address, this);
        }

        boolean tryReserve(MemoryUse use, long bytes, boolean ordinary) {
            boolean reserved = holder.tryReserve(use, bytes, ordinary);
            held[use.ordinal()] += reserved ? bytes : 0;
            return reserved;
        }

        @Override
        public long slowMillis() {
            return slowMillis;
        }

        @Override
        public void drop() {
            dropped = true;
            for (MemoryUse use : MemoryUse.values()) {
                holder.release(use, held[use.ordinal()]);
                held[use.ordinal()] = 0;
            }
        }
    }

    /** Guards against one connection that takes the memory of all. */
    @Test
    void connectionIsLimitedToItsShare() {
        FakeClient client = new FakeClient("a", 0);
        assertTrue(client.tryReserve(MemoryUse.BODY, 400, false));
        assertFalse(client.tryReserve(MemoryUse.HEADERS, 1, true));
        assertEquals(400, memory.reservedBytes());
    }

    /** Guards against one remote address that takes the memory of all others. */
    @Test
    void addressIsLimitedToItsShare() {
        assertTrue(new FakeClient("a", 0).tryReserve(MemoryUse.BODY, 400, false));
        assertFalse(new FakeClient("a", 0).tryReserve(MemoryUse.HEADERS, 201, false));
        assertTrue(new FakeClient("b", 0).tryReserve(MemoryUse.HEADERS, 201, false));
    }

    /** Guards against one kind of use, such as incomplete bodies, that leaves no room for the others. */
    @Test
    void useIsLimitedToItsShare() {
        assertTrue(new FakeClient("a", 0).tryReserve(MemoryUse.BODY, 400, false));
        assertFalse(new FakeClient("b", 0).tryReserve(MemoryUse.BODY, 101, false));
        assertTrue(new FakeClient("b", 0).tryReserve(MemoryUse.HEADERS, 101, false));
    }

    /** Guards against large requests that leave nothing for ordinary ones, although no client is slow. */
    @Test
    void ordinaryRequestsHaveAReserve() {
        assertTrue(new FakeClient("a", 0).tryReserve(MemoryUse.BODY, 400, false));
        assertTrue(new FakeClient("b", 0).tryReserve(MemoryUse.HEADERS, 400, false));
        assertFalse(new FakeClient("c", 0).tryReserve(MemoryUse.RESPONSE, 1, false));
        assertTrue(new FakeClient("c", 0).tryReserve(MemoryUse.BODY, 200, true));
        assertEquals(1_000, memory.reservedBytes());
    }

    /** Guards against a refused newcomer while a client holds memory and makes no progress. */
    @Test
    void slowestClientIsDroppedFirst() {
        FakeClient slow = new FakeClient("a", 2_000);
        FakeClient slower = new FakeClient("b", 3_000);
        assertTrue(slow.tryReserve(MemoryUse.BODY, 400, false));
        assertTrue(slower.tryReserve(MemoryUse.HEADERS, 400, false));
        assertTrue(new FakeClient("c", 0).tryReserve(MemoryUse.BODY, 100, false));
        assertTrue(slower.dropped);
        assertFalse(slow.dropped);
    }

    /** Guards against the loss of a request that a server may be processing. */
    @Test
    void clientWithPassedOnRequestIsNotDropped() {
        FakeClient first = new FakeClient("a", CallerMemory.Client.NOT_DROPPABLE);
        FakeClient second = new FakeClient("b", CallerMemory.Client.NOT_DROPPABLE);
        assertTrue(first.tryReserve(MemoryUse.FORWARDED, 400, true));
        assertTrue(second.tryReserve(MemoryUse.FORWARDED, 400, true));
        assertFalse(new FakeClient("c", 0).tryReserve(MemoryUse.BODY, 300, true));
        assertFalse(first.dropped);
        assertFalse(second.dropped);
        assertEquals(1, memory.refusals());
    }

    /** Guards against the loss of an ordinary caller with a lost packet in favour of a large request. */
    @Test
    void shortDelayIsToleratedInFavourOfLargeRequests() {
        FakeClient delayed = new FakeClient("a", 900);
        assertTrue(delayed.tryReserve(MemoryUse.BODY, 400, false));
        assertTrue(new FakeClient("b", 0).tryReserve(MemoryUse.HEADERS, 400, false));
        assertFalse(new FakeClient("c", 0).tryReserve(MemoryUse.RESPONSE, 100, false));
        assertFalse(delayed.dropped);
    }

    /** Guards against unread responses without limit: they exist already and cannot be refused. */
    @Test
    void clientsThatDoNotReadAreDroppedForResponses() {
        FakeClient unread = new FakeClient("a", 0);
        unread.held[MemoryUse.RESPONSE.ordinal()] = 450;
        assertTrue(unread.holder.reserveResponse(450));
        FakeClient next = new FakeClient("b", 0);
        assertTrue(next.holder.reserveResponse(100));
        assertTrue(unread.dropped);
        assertFalse(next.holder.reserveResponse(1_000));
    }

    /** Guards against sums that drift from the reservations, and against a sum above the limit. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15})
    void randomReservationsStayWithinTheLimit(long seed) {
        Random random = new Random(seed);
        List<FakeClient> clients = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            clients.add(new FakeClient("address " + i % 7, 0));
        }
        for (int i = 0; i < OPERATIONS; i++) {
            FakeClient client = clients.get(random.nextInt(clients.size()));
            MemoryUse use = MemoryUse.values()[random.nextInt(MemoryUse.values().length)];
            client.slowMillis = random.nextInt(4_000) - 1;
            if (random.nextInt(3) == 0) {
                long released = client.held[use.ordinal()] == 0 ? 0 : random.nextLong(client.held[use.ordinal()]) + 1;
                client.holder.release(use, released);
                client.held[use.ordinal()] -= released;
            } else {
                client.tryReserve(use, random.nextInt(150), random.nextBoolean());
            }
            long expected = 0;
            for (FakeClient each : clients) {
                long held = 0;
                for (long bytes : each.held) {
                    held += bytes;
                }
                assertEquals(held, each.holder.heldBytes(), "seed " + seed);
                expected += held;
            }
            assertEquals(expected, memory.reservedBytes(), "seed " + seed);
            assertTrue(expected <= memory.limitBytes(), "seed " + seed);
        }
    }
}
