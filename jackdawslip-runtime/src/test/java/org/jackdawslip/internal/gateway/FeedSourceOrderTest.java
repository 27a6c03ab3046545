package org.jackdawslip.internal.gateway;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.durable.StoreEraTracker;
import org.jackdawslip.internal.logging.AsyncLineWriter;
import org.jackdawslip.internal.logging.EventLog;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** The load: one instance sends each change to all others of its failure domain, whose links differ by a factor of 20. */
class FeedSourceOrderTest {

    private final SimulatedStore store = new SimulatedStore();
    private final List<String> followed = new ArrayList<>();

    private FeedReader reader() {
        EventLog log = new EventLog(
                new AsyncLineWriter(new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8)),
                "self",
                () -> store.now);
        GatewaySettings settings = SimulatedViews.settings(new InstanceId("self"), 2_000);
        GatewayContext context =
                new GatewayContext(settings, store.loop(), () -> store.now, log, null, store.new Client());
        FailoverReader failover = new FailoverReader(context, address -> store.new Client(), address -> {});
        return new FeedReader(
                context,
                failover,
                (address, era, after, wait, timeout, whenDone) -> followed.add(address),
                new StoreEraTracker());
    }

    private static Map<InstanceId, PeerExchange.Peer> peers(double... linkMegabitsPerSecond) {
        Map<InstanceId, PeerExchange.Peer> peers = new HashMap<>();
        for (int i = 0; i < linkMegabitsPerSecond.length; i++) {
            peers.put(
                    new InstanceId("p-" + i),
                    new PeerExchange.Peer(
                            InetSocketAddress.createUnresolved("p-" + i, 1), true, linkMegabitsPerSecond[i]));
        }
        return peers;
    }

    /** Guards against a source on a slow link, which delays each large change by seconds. */
    @Test
    void instanceWithTheLargestBandwidthIsTheSource() {
        FeedReader reader = reader();
        reader.setLivePeers(peers(7, 7, 140, 7, 7, 120));
        reader.watch("", 0, 100, 200, result -> {});
        assertEquals(List.of("p-2:1"), followed);
    }

    /** Guards against two instances that follow each other. */
    @Test
    void instanceWithoutAFasterPeerFollowsTheStore() {
        FeedReader reader = reader();
        reader.setLivePeers(peers(7, 50, 99.9));
        reader.watch("", 0, 100, 200, result -> {});
        assertEquals(List.of(), followed);
    }
}
