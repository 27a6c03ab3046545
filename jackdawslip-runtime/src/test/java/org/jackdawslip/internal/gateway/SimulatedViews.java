package org.jackdawslip.internal.gateway;

import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import io.netty.handler.codec.http.HttpHeaders;
import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.Backend;
import org.jackdawslip.internal.balance.LoadReport;
import org.jackdawslip.internal.keyspace.KeySegment;
import org.jackdawslip.internal.logging.BoundedLines;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.membership.MemberStanding;
import org.jackdawslip.internal.traffic.CallerLimits;
import org.jackdawslip.internal.traffic.HostRoute;
import org.jackdawslip.internal.traffic.RequestKind;
import org.jackdawslip.internal.traffic.RoutingConfig;
import org.jackdawslip.internal.traffic.WeightedService;

/** The views that a fleet of instances has of one simulated store, and when each took a change. Not thread-safe. */
final class SimulatedViews {

    static final String HOST = "a.example";
    private static final ServiceName SERVICE = new ServiceName("pool");
    private static final int SERVERS = 250;
    private static final int DOMAINS = 3;
    private static final long RENEW_MILLIS = 2_500;
    private static final long RENEW_AGAIN_MILLIS = 500;
    /** Interval at which the custodian of keys writes its table, and the length of a table of 600 segments. */
    private static final long TABLE_MILLIS = 300;

    private static final int TABLE_BYTES = 40_000;
    /** Time from one instance to another. */
    private static final long LINK_MILLIS = 2;

    final SimulatedStore store = new SimulatedStore();
    final List<Instance> instances = new ArrayList<>();
    final long boundMillis;
    private final BoundedLines lines;
    private final Random random;
    private final Adapter adapter = new Adapter();
    private final Set<String> cutLinks = new HashSet<>();
    /** Most calls that one instance made for its peers at the same time. */
    int mostCallsForPeers;

    private int version = 1;

    SimulatedViews(int count, long boundMillis, Random random) {
        this(count, boundMillis, random, OutputStream.nullOutputStream());
    }

    SimulatedViews(int count, long boundMillis, Random random, OutputStream log) {
        this.lines = new BoundedLines(new PrintStream(log, false, StandardCharsets.UTF_8));
        this.boundMillis = boundMillis;
        this.random = random;
        writeConfig();
        for (int i = 0; i < SERVERS; i++) {
            list(server(i), false);
        }
        writeTable();
        for (int i = 0; i < count; i++) {
            instances.add(new Instance(i, count));
        }
        for (Instance instance : instances) {
            Map<InstanceId, PeerExchange.Peer> seen = new HashMap<>();
            instances.forEach(
                    each -> seen.put(each.id, new PeerExchange.Peer(each.address, each.domain == instance.domain)));
            instance.reader.peers(seen);
        }
    }

    private void writeTable() {
        store.put("table", "x".repeat(TABLE_BYTES));
        store.loop().schedule(this::writeTable, TABLE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Writes the next version, which adds a route named by it; earlier ones stay. */
    int writeConfig() {
        version++;
        store.put("config", Integer.toString(version));
        return version;
    }

    static String server(int number) {
        return "server/s-" + number;
    }

    void list(String entry, boolean draining) {
        store.put(entry, draining ? "draining" : "ready");
    }

    /** Applies a fault to a third of the instances, or to those of one failure domain, and ends it after a time. */
    void third(long millis, BiConsumer<SimulatedStore.Client, Boolean> fault) {
        List<Instance> shuffled = new ArrayList<>(instances);
        Collections.shuffle(shuffled, random);
        if (random.nextBoolean()) {
            shuffled.sort(Comparator.comparing(each -> each.domain));
        }
        for (Instance instance : shuffled.subList(0, instances.size() / DOMAINS)) {
            fault.accept(instance.client, true);
            store.loop().schedule(() -> fault.accept(instance.client, false), millis, TimeUnit.MILLISECONDS);
        }
    }

    /** Waits until all log lines are written. */
    void endLog() {
        lines.close();
    }

    /** Cuts a part of the links between instances, in one direction each. */
    void cutLinks(double share) {
        for (Instance from : instances) {
            for (Instance to : instances) {
                if (random.nextDouble() < share) {
                    cutLinks.add(from.id + " " + to.id);
                }
            }
        }
    }

    Instance any() {
        return instances.get(random.nextInt(instances.size()));
    }

    /** One instance: what it takes to be in force. */
    final class Instance {
        final SimulatedStore.Client client = store.new Client();
        final InstanceId id;
        private final int domain;
        private final InetSocketAddress address;
        final FailoverReader reader;
        private final PlatformView view;
        RoutingConfig config;
        final Map<String, Boolean> drainingByEntry = new HashMap<>();
        final Set<FailureDomainId> takenOut = new HashSet<>();
        private int callsForPeers;

        Instance(int number, int fleet) {
            id = new InstanceId("front-" + number);
            domain = number % DOMAINS;
            address = InetSocketAddress.createUnresolved(id.value(), 1);
            EventLog log = new EventLog(lines, id.value(), () -> store.now);
            Context context =
                    new Context(settings(id, boundMillis), store.loop(), () -> store.now, log, adapter, client);
            reader = new FailoverReader(context, peer -> new Link(this, peer), peer -> {});
            view = new PlatformView(context, reader, new MemberStanding(() -> store.now, () -> store.now), this::apply);
            store.loop().schedule(view::start, random.nextInt(1_000), TimeUnit.MILLISECONDS);
            view.instances(fleet);
            renewLater(random.nextInt((int) RENEW_MILLIS));
        }

        /** Other calls of an instance tell its view whether the store answers. */
        private void renewLater(long millis) {
            store.loop()
                    .schedule(
                            () -> client.renew(1, result -> {
                                view.callEnded(result.status());
                                boolean renewed = result.status() == DurableStore.Status.DONE;
                                renewLater(renewed ? RENEW_MILLIS : RENEW_AGAIN_MILLIS);
                            }),
                            millis,
                            TimeUnit.MILLISECONDS);
        }

        /** A call of this instance is refused, as by the limit of the store's rate. */
        void callRefused() {
            view.callEnded(DurableStore.Status.REFUSED);
        }

        private void apply(PlatformEvent event) {
            if (event instanceof PlatformEvent.ConfigWritten written) {
                config = written.config();
            } else if (event instanceof PlatformEvent.BackendListed listed) {
                drainingByEntry.put(listed.entry(), listed.backend().draining());
            } else if (event instanceof PlatformEvent.BackendRemoved removed) {
                drainingByEntry.remove(removed.entry());
            } else if (event instanceof PlatformEvent.DomainTakenOut domain) {
                if (domain.out()) {
                    takenOut.add(domain.domain());
                } else {
                    takenOut.remove(domain.domain());
                }
            }
        }

        boolean uses(String entry) {
            return Boolean.FALSE.equals(drainingByEntry.get(entry));
        }
    }

    /** The way from one instance to the relay of another. */
    private final class Link implements StoreReader {
        private final Instance from;
        private final Instance to;

        Link(Instance from, String address) {
            this.from = from;
            this.to = instances.stream()
                    .filter(each -> address.equals(each.id.value() + ":1"))
                    .findFirst()
                    .orElseThrow();
        }

        @Override
        public void readAll(String prefix, long timeoutMillis, Consumer<DurableStore.Result> whenDone) {
            call(timeoutMillis, whenDone, done -> to.client.readAll(prefix, StoreRelay.CALL_MILLIS, done));
        }

        @Override
        public void watch(
                String prefix,
                long afterRevision,
                long waitMillis,
                long timeoutMillis,
                Consumer<DurableStore.Result> whenDone) {
            call(
                    timeoutMillis,
                    whenDone,
                    done -> to.client.watch(prefix, afterRevision, waitMillis, StoreRelay.CALL_MILLIS, done));
        }

        private void call(
                long timeoutMillis,
                Consumer<DurableStore.Result> whenDone,
                Consumer<Consumer<DurableStore.Result>> action) {
            boolean[] done = new boolean[1];
            Consumer<DurableStore.Result> once = result -> {
                if (!done[0]) {
                    done[0] = true;
                    whenDone.accept(result);
                }
            };
            after(timeoutMillis, () -> once.accept(DurableStore.Result.of(DurableStore.Status.UNKNOWN)));
            if (cutLinks.contains(from.id + " " + to.id)) {
                return;
            }
            after(LINK_MILLIS, () -> {
                if (to.callsForPeers >= StoreRelay.MOST_CALLS || !to.reader.direct()) {
                    after(LINK_MILLIS, () -> once.accept(DurableStore.Result.of(DurableStore.Status.REFUSED)));
                    return;
                }
                to.callsForPeers++;
                mostCallsForPeers = Math.max(mostCallsForPeers, to.callsForPeers);
                action.accept(result -> {
                    to.callsForPeers--;
                    after(LINK_MILLIS, () -> once.accept(result));
                });
            });
        }

        private void after(long millis, Runnable action) {
            store.loop().schedule(action, millis, TimeUnit.MILLISECONDS);
        }
    }

    static GatewaySettings settings(InstanceId id, long boundMillis) {
        return new GatewaySettings(
                id,
                new FailureDomainId("a"),
                "",
                "",
                "",
                "",
                "",
                new GatewaySettings.Bounds(1_000, 6_000, 0.2, 60, 10_000, 10_000, boundMillis));
    }

    /** Keys and values of the simulated store. */
    private static final class Adapter implements PlatformAdapter {

        @Override
        public HeaderNames headers() {
            throw new UnsupportedOperationException("no requests are sent");
        }

        @Override
        public PlatformEvent decode(DurableStore.Item item) {
            String key = item.key();
            String name = key.substring(key.indexOf('/') + 1);
            if (key.equals("config")) {
                return new PlatformEvent.ConfigWritten(config(Integer.parseInt(text(item))));
            } else if (key.startsWith("out/")) {
                return new PlatformEvent.DomainTakenOut(new FailureDomainId(name), item.value() != null);
            } else if (key.equals("table")) {
                return new PlatformEvent.Ignored(key);
            } else if (item.value() == null) {
                return new PlatformEvent.BackendRemoved(key);
            }
            Backend backend = new Backend(
                    new BackendServerId(name),
                    1,
                    SERVICE,
                    "10.0.0.1",
                    80,
                    new FailureDomainId("a"),
                    3,
                    text(item).equals("draining"),
                    0);
            return new PlatformEvent.BackendListed(key, backend);
        }

        private static String text(DurableStore.Item item) {
            return new String(item.value(), StandardCharsets.UTF_8);
        }

        private static RoutingConfig config(int version) {
            List<HostRoute> routes = List.of(new HostRoute(
                    "r-" + version,
                    HOST,
                    "/v" + version + "/",
                    RequestKind.IDEMPOTENT,
                    1_000,
                    400,
                    2,
                    1,
                    List.of(new WeightedService(SERVICE, 1))));
            return new RoutingConfig(version, routes, List.of(), CallerLimits.DEFAULT);
        }

        @Override
        public boolean readsStore(String uri) {
            throw new UnsupportedOperationException("calls are not relayed over HTTP");
        }

        @Override
        public String watchedPrefix() {
            return "";
        }

        @Override
        public String ownKey(String name) {
            return name;
        }

        @Override
        public String ownName(String key) {
            return key;
        }

        @Override
        public LoadReport load(HttpHeaders headers) {
            return null;
        }

        @Override
        public ControlCall grant(KeySegment segment, long holdMillis, String handover) {
            throw new UnsupportedOperationException("no orders are sent");
        }

        @Override
        public ControlCall release(KeySegment segment) {
            throw new UnsupportedOperationException("no orders are sent");
        }
    }
}
