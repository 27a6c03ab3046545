package org.jackdawslip.internal.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.bundle.ServicePolicy.Routing;
import org.jackdawslip.internal.ownership.CoordinatorRecord;
import org.jackdawslip.internal.ownership.KeyLoad;
import org.jackdawslip.internal.ownership.KeyRange;
import org.jackdawslip.internal.ownership.RangeLoad;
import org.jackdawslip.internal.ownership.RangeLoads;
import org.jackdawslip.internal.ownership.ServerLoad;
import org.jackdawslip.protocol.Envelope;

/**
 * Sends the loads of this instance's backend servers of keyed services to the coordinator and its successor.
 *
 * <p>Invariant: a message lists at most {@link #MAX_RANGES} ranges and {@link #MAX_KEYS} keys, those with the
 * most load. Not thread-safe; confined to the decision thread.
 */
final class RangeLoadReporter {

    static final Duration INTERVAL = Duration.ofSeconds(1);
    /**
     * A range takes up to 28 bytes, a key up to 17 and a backend server about 50, so a message about two
     * servers is smaller than 1 KB. Two receivers get a message each second, which leaves 5 of the 7 KB/s to
     * other control traffic.
     */
    static final int MAX_RANGES = 24;

    static final int MAX_KEYS = 8;

    private static final double MICROS_PER_UNIT = 1_000_000;

    private final InstanceContext context;
    private final MemberDriver driver;
    private final RequestHandler requestHandler;

    RangeLoadReporter(InstanceContext context, MemberDriver driver, RequestHandler requestHandler) {
        this.context = context;
        this.driver = driver;
        this.requestHandler = requestHandler;
    }

    /** Sends a report to coordinator and successor. To be called every {@link #INTERVAL}. */
    void tick() {
        List<ServerLoad> loads = new ArrayList<>();
        for (ServiceQueue serviceQueue : requestHandler.serviceQueues().values()) {
            if (serviceQueue.policy().routing() == Routing.KEYED) {
                loads.addAll(serviceQueue.serverLoads(context.nowMillis()));
            }
        }
        if (loads.isEmpty()) {
            return;
        }
        RangeLoads report = new RangeLoads(context.self(), limitSize(loads));
        driver.member().onRangeLoads(context.nowMillis(), report);
        Envelope envelope =
                Envelope.newBuilder().setRangeLoads(toMessage(report)).build();
        Optional<CoordinatorRecord> record = driver.member().coordinator();
        record.flatMap(CoordinatorRecord::coordinator).ifPresent(peer -> send(peer, envelope));
        record.flatMap(CoordinatorRecord::successor).ifPresent(peer -> send(peer, envelope));
    }

    private void send(InstanceId peer, Envelope envelope) {
        if (!peer.equals(context.self())) {
            context.peerDirectory().address(peer).ifPresent(address -> context.transport()
                    .send(address, envelope)
                    .exceptionally(failure -> null));
        }
    }

    void receive(org.jackdawslip.protocol.RangeLoads message) {
        driver.member().onRangeLoads(context.nowMillis(), fromMessage(message));
    }

    /**
     * Returns the loads with only the most loaded ranges and keys. The totals of the servers still include
     * the others.
     */
    static List<ServerLoad> limitSize(List<ServerLoad> loads) {
        Set<RangeLoad> ranges = new HashSet<>(loads.stream()
                .flatMap(load -> load.ranges().stream())
                .filter(range -> range.slots() * MICROS_PER_UNIT >= 1)
                .sorted(Comparator.comparingDouble(RangeLoad::slots).reversed())
                .limit(MAX_RANGES)
                .toList());
        Set<KeyLoad> keys = new HashSet<>(ranges.stream()
                .flatMap(range -> range.keys().stream())
                .sorted(Comparator.comparingDouble(KeyLoad::slots).reversed())
                .limit(MAX_KEYS)
                .toList());
        return loads.stream()
                .map(load -> new ServerLoad(
                        load.backendServer(),
                        load.slots(),
                        load.warm(),
                        load.medianMicros(),
                        load.ranges().stream()
                                .filter(ranges::contains)
                                .map(range -> new RangeLoad(
                                        range.range(),
                                        range.slots(),
                                        range.keys().stream()
                                                .filter(keys::contains)
                                                .toList()))
                                .toList()))
                .toList();
    }

    static org.jackdawslip.protocol.RangeLoads toMessage(RangeLoads loads) {
        org.jackdawslip.protocol.RangeLoads.Builder message = org.jackdawslip.protocol.RangeLoads.newBuilder()
                .setFrom(loads.from().value());
        for (ServerLoad load : loads.servers()) {
            org.jackdawslip.protocol.ServerLoad.Builder server = message.addServersBuilder()
                    .setBackendServer(load.backendServer().value())
                    .setMicroSlots(Math.round(load.slots() * MICROS_PER_UNIT))
                    .setWarm(load.warm())
                    .setMedianMicros(load.medianMicros());
            for (RangeLoad range : load.ranges()) {
                org.jackdawslip.protocol.RangeLoad.Builder entry = server.addRangesBuilder()
                        .setFirst(range.range().first())
                        .setLast(range.range().last())
                        .setMicroSlots((int) Math.round(range.slots() * MICROS_PER_UNIT));
                range.keys().forEach(key -> entry.addKeysBuilder()
                        .setHash(key.hash())
                        .setMicroSlots((int) Math.round(key.slots() * MICROS_PER_UNIT)));
            }
        }
        return message.build();
    }

    static RangeLoads fromMessage(org.jackdawslip.protocol.RangeLoads message) {
        return new RangeLoads(
                new InstanceId(message.getFrom()),
                message.getServersList().stream()
                        .map(server -> new ServerLoad(
                                new BackendServerId(server.getBackendServer()),
                                server.getMicroSlots() / MICROS_PER_UNIT,
                                server.getWarm(),
                                server.getMedianMicros(),
                                server.getRangesList().stream()
                                        .map(RangeLoadReporter::fromMessage)
                                        .toList()))
                        .toList());
    }

    private static RangeLoad fromMessage(org.jackdawslip.protocol.RangeLoad range) {
        return new RangeLoad(
                new KeyRange(range.getFirst(), range.getLast()),
                range.getMicroSlots() / MICROS_PER_UNIT,
                range.getKeysList().stream()
                        .map(key -> new KeyLoad(key.getHash(), key.getMicroSlots() / MICROS_PER_UNIT))
                        .toList());
    }
}
