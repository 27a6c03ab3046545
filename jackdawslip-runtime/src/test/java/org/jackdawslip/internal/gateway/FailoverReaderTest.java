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
import org.jackdawslip.internal.logging.BoundedLines;
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
    private final Way store = new Way();
    private final Map<String, Way> peers = new HashMap<>();
    /** Addresses of peers in the order in which they were asked. */
    private final List<String> asked = new ArrayList<>();

    private final List<DurableStore.Result> results = new ArrayList<>();
    private FailoverReader reader;
    private long now = 1_000;

    /** One way to the store: keeps the calls until the test answers them. */
    private static final class Way implements DurableStore {
        private final List<Consumer<Result>> calls = new ArrayList<>();

        private void answer(Result result) {
            calls.remove(0).accept(result);
        }

        @Override
        public void readAll(String prefix, long timeoutMillis, Consumer<Result> whenDone) {
            calls.add(whenDone);
        }

        @Override
        public void watch(
                String prefix, long afterRevision, long waitMillis, long timeoutMillis, Consumer<Result> whenDone) {
            calls.add(whenDone);
        }

        @Override
        public void change(Change change, Consumer<Result> whenDone) {
            throw new AssertionError("a write was relayed");
        }

        @Override
        public void lease(long termMillis, Consumer<Result> whenDone) {
            throw new AssertionError("a lease was relayed");
        }

        @Override
        public void renew(long lease, Consumer<Result> whenDone) {
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
                new BoundedLines(new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8)),
                "front-0",
                () -> now);
        Context context = new Context(
                SimulatedViews.settings(new InstanceId("front-0"), 2_000),
                channel.eventLoop(),
                () -> now,
                log,
                null,
                store);
        reader = new FailoverReader(
                context,
                address -> {
                    asked.add(address);
                    return peers.computeIfAbsent(address, key -> new Way());
                },
                address -> {});
        Map<InstanceId, PeerExchange.Peer> live = new HashMap<>();
        for (int i = 0; i < 4; i++) {
            live.put(
                    new InstanceId("front-" + i),
                    new PeerExchange.Peer(InetSocketAddress.createUnresolved("front-" + i, 1), i % 2 == 0));
        }
        reader.peers(live);
    }

    private void pass(long millis) {
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

    private Way peer(int number) {
        return peers.get(asked.get(number));
    }

    /** A pause after the refusal would add to the age of the view. */
    @Test
    void refusedCallIsMadeThroughAPeerAtOnce() {
        watch();
        store.answer(refused());
        peer(0).answer(done(7));
        assertEquals(7, results.get(0).revision());
        assertFalse(reader.direct());
        watch();
        assertEquals(0, store.calls.size(), "the store was called again at once");
        assertEquals(List.of(asked.get(0), asked.get(0)), asked);
    }

    @Test
    void peerThatRefusesIsFollowedByOneInAnotherDomain() {
        read();
        store.answer(refused());
        peer(0).answer(refused());
        assertEquals(2, asked.size());
        assertTrue(
                asked.contains("front-2:1"), "the only peer in the own failure domain is among the first two " + asked);
        peer(1).answer(done(7));
        assertEquals(DurableStore.Status.DONE, results.get(0).status());
    }

    /** Each call ends with one result, also if nobody serves it. */
    @Test
    void callThatNobodyServesFailsOnce() {
        read();
        store.answer(refused());
        for (int i = 0; i < 3; i++) {
            peer(i).answer(refused());
        }
        assertEquals(List.of(refused()), results);
        assertEquals(3, asked.size(), "this instance is not its own peer");
    }

    /** A peer may not know yet that the store does not answer it either. */
    @Test
    void peerThatDoesNotAnswerAReadIsJoinedByTheNext() {
        read();
        store.answer(refused());
        pass(FailoverReader.NEXT_PEER_MILLIS);
        assertEquals(2, asked.size());
        peer(1).answer(done(7));
        peer(0).answer(done(7));
        assertEquals(1, results.size());
    }

    /** Connections to the store may hang while other calls of this instance still wait for their time to end. */
    @Test
    void callAfterOneWithoutAnAnswerDoesNotWaitForTheStore() {
        watch();
        pass(TIMEOUT_MILLIS);
        store.answer(DurableStore.Result.of(DurableStore.Status.UNKNOWN));
        assertEquals(0, asked.size(), "its time was over");
        read();
        pass(FailoverReader.HEDGE_MILLIS);
        peer(0).answer(done(7));
        assertEquals(DurableStore.Status.DONE, results.get(1).status());
    }

    /** A view must not go back, whatever a peer takes for the store. */
    @Test
    void olderAnswerOfAPeerIsNotTaken() {
        read();
        store.answer(done(9));
        read();
        store.answer(refused());
        peer(0).answer(done(8));
        peer(1).answer(done(9));
        assertEquals(9, results.get(1).revision());
    }

    /** A watch that waits since before a refusal is answered later; that shows nothing about the next call. */
    @Test
    void answerToACallFromBeforeARefusalDoesNotHideIt() {
        watch();
        watch();
        store.calls.get(1).accept(refused());
        store.calls.get(0).accept(done(7));
        assertFalse(reader.direct());
    }

    @Test
    void storeIsReadDirectlyAfterItServedAnotherCall() {
        watch();
        store.answer(refused());
        peer(0).answer(done(7));
        watch();
        peer(0).answer(done(7));
        reader.otherCallServed();
        watch();
        store.answer(done(8));
        assertTrue(reader.direct());
        assertEquals(8, results.get(2).revision());
        peer(0).answer(done(8));
        assertEquals(3, results.size());
    }

    @Test
    void storeIsTriedAgainAtIntervals() {
        watch();
        store.answer(refused());
        peer(0).answer(done(7));
        pass(FailoverReader.PROBE_MILLIS);
        watch();
        assertEquals(1, store.calls.size());
    }
}
