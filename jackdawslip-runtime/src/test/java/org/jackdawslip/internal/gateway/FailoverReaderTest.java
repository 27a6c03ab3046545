package org.jackdawslip.internal.gateway;

import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.embedded.EmbeddedChannel;
import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.logging.AsyncLineWriter;
import org.jackdawslip.internal.logging.EventLog;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class FailoverReaderTest {

    private static final long WAIT_MILLIS = 350;
    private static final long TIMEOUT_MILLIS = 650;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final StoreStub store = new StoreStub();
    private final Map<String, StoreStub> peers = new HashMap<>();
    /** Addresses of peers in the order in which they were called. */
    private final List<String> calledPeers = new ArrayList<>();

    private final List<DurableStore.Result> results = new ArrayList<>();
    private FailoverReader reader;
    private long now = 1_000;

    /** The store, or the path to it through one peer. Holds calls until the test completes them. */
    private static final class StoreStub implements DurableStore {
        private final List<Consumer<Result>> pendingCalls = new ArrayList<>();

        private void completeOldest(Result result) {
            pendingCalls.remove(0).accept(result);
        }

        @Override
        public void readAll(String prefix, long timeoutMillis, Consumer<Result> whenDone) {
            pendingCalls.add(whenDone);
        }

        @Override
        public void watch(
                String prefix, long afterRevision, long waitMillis, long timeoutMillis, Consumer<Result> whenDone) {
            pendingCalls.add(whenDone);
        }

        @Override
        public void commit(Transaction transaction, Consumer<Result> whenDone) {
            throw new AssertionError("a write was relayed");
        }

        @Override
        public void createLease(long termMillis, Consumer<Result> whenDone) {
            throw new AssertionError("a lease was relayed");
        }

        @Override
        public void renewLease(long lease, Consumer<Result> whenDone) {
            throw new AssertionError("a renewal was relayed");
        }

        @Override
        public void endLease(long lease, Consumer<Result> whenDone) {
            throw new AssertionError("the end of a lease was relayed");
        }
    }

    @BeforeEach
    void makeReader() {
        channel.freezeTime();
        EventLog log = new EventLog(
                new AsyncLineWriter(new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8)),
                "front-0",
                () -> now);
        GatewayContext context = new GatewayContext(
                SimulatedViews.settings(new InstanceId("front-0"), 2_000),
                channel.eventLoop(),
                () -> now,
                log,
                null,
                store);
        reader = new FailoverReader(
                context,
                address -> {
                    calledPeers.add(address);
                    return peers.computeIfAbsent(address, key -> new StoreStub());
                },
                address -> {});
        Map<InstanceId, PeerExchange.Peer> live = new HashMap<>();
        for (int i = 0; i < 4; i++) {
            live.put(
                    new InstanceId("front-" + i),
                    new PeerExchange.Peer(InetSocketAddress.createUnresolved("front-" + i, 1), i % 2 == 0, 100));
        }
        reader.setLivePeers(live);
    }

    private void advanceTime(long millis) {
        now += millis;
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runPendingTasks();
    }

    private void watch() {
        reader.watch("", 1, WAIT_MILLIS, TIMEOUT_MILLIS, results::add);
    }

    private void read() {
        reader.readAll("", TIMEOUT_MILLIS, results::add);
    }

    private static DurableStore.Result done(long revision) {
        return new DurableStore.Result(DurableStore.Status.DONE, List.of(), revision, 0, 0);
    }

    private static DurableStore.Result refused() {
        return DurableStore.Result.of(DurableStore.Status.REFUSED);
    }

    private StoreStub peer(int number) {
        return peers.get(calledPeers.get(number));
    }

    /** Guards against a delay after a refusal, which would add to the age of the view. */
    @Test
    void refusedCallIsMadeThroughAPeerAtOnce() {
        watch();
        store.completeOldest(refused());
        peer(0).completeOldest(done(7));
        assertEquals(7, results.get(0).revision());
        assertFalse(reader.direct());
        watch();
        assertEquals(0, store.pendingCalls.size(), "pending calls to the store");
        assertEquals(List.of(calledPeers.get(0), calledPeers.get(0)), calledPeers);
    }

    @Test
    void afterAPeerRefusedOneInAnotherDomainIsCalled() {
        read();
        store.completeOldest(refused());
        peer(0).completeOldest(refused());
        assertEquals(2, calledPeers.size());
        assertTrue(
                calledPeers.contains("front-2:1"),
                "the only peer in the own failure domain is not among the first two: " + calledPeers);
        peer(1).completeOldest(done(7));
        assertEquals(DurableStore.Status.DONE, results.get(0).status());
    }

    /** Guards against a call without a result, or with several, if neither the store nor a peer serves it. */
    @Test
    void callThatIsServedNowhereFailsOnce() {
        read();
        store.completeOldest(refused());
        for (int i = 0; i < 3; i++) {
            peer(i).completeOldest(refused());
        }
        assertEquals(List.of(refused()), results);
        assertEquals(3, calledPeers.size(), "all peers without this instance");
    }

    /**
     * Guards against waiting for a peer that has not detected yet that the store does not serve it either.
     */
    @Test
    void nextPeerIsCalledInParallelIfOneDoesNotRespondToARead() {
        read();
        store.completeOldest(refused());
        advanceTime(FailoverReader.NEXT_PEER_DELAY_MILLIS);
        assertEquals(2, calledPeers.size());
        peer(1).completeOldest(done(7));
        peer(0).completeOldest(done(7));
        assertEquals(1, results.size());
    }

    /** Guards against each call waiting for its timeout while the connections to the store hang. */
    @Test
    void callAfterOneWithoutAResponseDoesNotWaitForTheStore() {
        watch();
        advanceTime(TIMEOUT_MILLIS);
        store.completeOldest(DurableStore.Result.of(DurableStore.Status.UNKNOWN));
        assertEquals(0, calledPeers.size(), "peers called after the timeout");
        read();
        advanceTime(FailoverReader.HEDGE_DELAY_MILLIS);
        peer(0).completeOldest(done(7));
        assertEquals(DurableStore.Status.DONE, results.get(1).status());
    }

    /** Guards against a peer that sets the view back, for example because it reads another store. */
    @Test
    void olderResponseOfAPeerIsIgnored() {
        read();
        store.completeOldest(done(9));
        read();
        store.completeOldest(refused());
        peer(0).completeOldest(done(8));
        peer(1).completeOldest(done(9));
        assertEquals(9, results.get(1).revision());
    }

    /**
     * Guards against a late response to a watch from before a refusal, which proves nothing for later pendingCalls.
     */
    @Test
    void responseToACallFromBeforeARefusalDoesNotHideIt() {
        watch();
        watch();
        store.pendingCalls.get(1).accept(refused());
        store.pendingCalls.get(0).accept(done(7));
        assertFalse(reader.direct());
    }

    @Test
    void storeIsReadDirectlyAfterItServedAnotherCall() {
        watch();
        store.completeOldest(refused());
        peer(0).completeOldest(done(7));
        watch();
        peer(0).completeOldest(done(7));
        reader.recordOtherCallServed();
        watch();
        store.completeOldest(done(8));
        assertTrue(reader.direct());
        assertEquals(8, results.get(2).revision());
        peer(0).completeOldest(done(8));
        assertEquals(3, results.size());
    }

    @Test
    void storeIsProbedAtIntervals() {
        watch();
        store.completeOldest(refused());
        peer(0).completeOldest(done(7));
        advanceTime(FailoverReader.PROBE_INTERVAL_MILLIS);
        watch();
        assertEquals(1, store.pendingCalls.size());
    }

    /** Guards against valid responses that are ignored because revisions of an earlier era were higher. */
    @Test
    void callFromBeforeAReturnOfTheStoreAcceptsLowerRevisions() {
        read();
        store.completeOldest(done(9));
        read();
        reader.storeRestored();
        store.completeOldest(refused());
        peer(0).completeOldest(done(3));
        assertEquals(3, results.get(1).revision());
        read();
        peer(0).completeOldest(done(2));
        assertEquals(2, calledPeers.stream().distinct().count(), "a lower revision of the same era");
    }
}
