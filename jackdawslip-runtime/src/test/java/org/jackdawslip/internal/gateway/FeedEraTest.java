package org.jackdawslip.internal.gateway;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.durable.StoreEra;
import org.jackdawslip.internal.durable.StoreEraTracker;
import org.jackdawslip.internal.logging.AsyncLineWriter;
import org.jackdawslip.internal.logging.EventLog;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against a view of one era of the store that is continued with changes of another one. */
class FeedEraTest {

    private static final StoreEra ERA = new StoreEra(7);

    private final SimulatedStore store = new SimulatedStore();
    private final StoreEraTracker eras = new StoreEraTracker();
    private final List<StoreEra> statedEras = new ArrayList<>();
    private final List<Consumer<DurableStore.Result>> pending = new ArrayList<>();
    private final List<DurableStore.Result> results = new ArrayList<>();
    private FeedReader reader;

    @BeforeEach
    void follow() {
        EventLog log = new EventLog(
                new AsyncLineWriter(new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8)),
                "self",
                () -> store.now);
        GatewayContext context = new GatewayContext(
                SimulatedViews.settings(new InstanceId("self"), 2_000),
                store.loop(),
                () -> store.now,
                log,
                null,
                store.new Client());
        FailoverReader failover = new FailoverReader(context, address -> store.new Client(), address -> {});
        reader = new FeedReader(
                context,
                failover,
                (address, era, after, wait, timeout, whenDone) -> {
                    statedEras.add(era);
                    pending.add(whenDone);
                },
                eras);
        reader.setLivePeers(Map.of(
                new InstanceId("source"),
                new PeerExchange.Peer(InetSocketAddress.createUnresolved("source", 1), true, 1_000)));
        eras.accept(ERA);
        reader.watch("", 1, 100, 200, results::add);
    }

    private static DurableStore.Result resultOf(StoreEra era) {
        return new DurableStore.Result(DurableStore.Status.DONE, List.of(), 40, 0, 0, 0, era);
    }

    @Test
    void resultOfTheSameEraIsUsed() {
        pending.get(0).accept(resultOf(ERA));
        assertEquals(List.of(ERA), statedEras);
        assertEquals(40, results.get(0).revision());
    }

    /** The source may not have learned of the era, or be ahead of this instance. */
    @Test
    void resultOfAnotherEraIsNotUsed() {
        for (StoreEra era : List.of(StoreEra.NONE, new StoreEra(6), new StoreEra(8))) {
            pending.get(0).accept(resultOf(era));
            assertEquals(List.of(), results);
        }
        assertEquals(3, store.watchCount, "watches at the store");
    }

    /** Guards against a late result of an earlier era, whose revision would end the view of the new one. */
    @Test
    void resultOfAWatchFromAnEarlierEraIsNotUsed() {
        eras.accept(new StoreEra(8));
        pending.get(0).accept(resultOf(ERA));
        assertEquals(DurableStore.Status.HISTORY_GONE, results.get(0).status());
        assertEquals(List.of(), results.get(0).records());
    }
}
