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

import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.account.ConfigurationFreshness;
import org.jackdawslip.internal.durable.StoreEra;
import org.jackdawslip.internal.durable.StoreEraTracker;
import org.jackdawslip.internal.logging.AsyncLineWriter;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.membership.MembershipStatus;
import org.jackdawslip.internal.time.SuspensionDetector;
import org.jackdawslip.internal.traffic.RoutingConfig;

/** Simulates a fleet of instances with their views of one simulated store. Not thread-safe. */
final class SimulatedViews {

    /** Time from the confirmation of a configuration until a key that it revokes is refused. */
    static final long REVOCATION_MILLIS = 5_000;

    static final String HOST = "a.example";
    private static final int SERVERS = 250;
    private static final int DOMAINS = 3;
    private static final long RENEWAL_INTERVAL_MILLIS = 2_500;
    private static final long RENEWAL_RETRY_MILLIS = 500;
    /** Interval at which the key coordinator writes its owner table. */
    private static final long TABLE_WRITE_INTERVAL_MILLIS = 300;

    /** Size of an owner table of 600 segments. */
    private static final int TABLE_BYTES = 40_000;
    /** One-way network delay between instances. */
    private static final long LINK_DELAY_MILLIS = 2;

    final SimulatedStore store = new SimulatedStore();
    final List<Instance> instances = new ArrayList<>();
    final long limitMillis;
    private final int domains;
    private final AsyncLineWriter lines;
    private final Random random;
    private final PlatformAdapter adapter = new SimulatedAdapter();
    private final Set<String> cutLinks = new HashSet<>();
    /** Largest number of calls that one instance relayed for its peers at the same time. */
    int maxCallsForPeers;

    /** Number of watches at other instances. */
    int watchesAtSources;

    private int version = 1;

    SimulatedViews(int count, long limitMillis, Random random) {
        this(count, limitMillis, random, OutputStream.nullOutputStream());
    }

    SimulatedViews(int count, long limitMillis, Random random, OutputStream log) {
        this(count, DOMAINS, limitMillis, random, log);
    }

    /**
     * Creates a fleet.
     *
     * @param domains number of failure domains; with one for each instance, no instance follows another
     */
    SimulatedViews(int count, int domains, long limitMillis, Random random, OutputStream log) {
        this.domains = domains;
        this.lines = new AsyncLineWriter(new PrintStream(log, false, StandardCharsets.UTF_8));
        this.limitMillis = limitMillis;
        this.random = random;
        writeConfig();
        for (int i = 0; i < SERVERS; i++) {
            putListing(listingKey(i), false);
        }
        writeTable();
        for (int i = 0; i < count; i++) {
            instances.add(new Instance(i, count));
        }
        instances.forEach(this::setLivePeers);
    }

    private void setLivePeers(Instance instance) {
        Map<InstanceId, PeerExchange.Peer> live = new HashMap<>();
        instances.forEach(
                each -> live.put(each.id, new PeerExchange.Peer(each.address, each.domain == instance.domain, 100)));
        instance.feedReader.setLivePeers(live);
    }

    /** Ends the process of an instance and starts a new one, which knows nothing. */
    Instance restart(int number) {
        instances.get(number).stop();
        Instance instance = new Instance(number, instances.size());
        instances.set(number, instance);
        setLivePeers(instance);
        return instance;
    }

    private void writeTable() {
        store.put("table", "x".repeat(TABLE_BYTES));
        store.loop().schedule(this::writeTable, TABLE_WRITE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Writes a configuration with the next version and a route named after it; returns the version. */
    int writeConfig() {
        version++;
        store.put("config", Integer.toString(version));
        return version;
    }

    static String listingKey(int number) {
        return "server/s-" + number;
    }

    void putListing(String entry, boolean draining) {
        store.put(entry, draining ? "draining" : "ready");
    }

    /**
     * Applies a fault to a third of the instances, which are chosen at random or are those of one failure
     * domain.
     *
     * @param millis duration of the fault
     * @param fault starts the fault of an instance with true, and ends it with false
     */
    void faultAtThird(long millis, BiConsumer<SimulatedStore.Client, Boolean> fault) {
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
    void closeLog() {
        lines.close();
    }

    /** Cuts a part of the links between instances, each of them in one direction. */
    void cutLinks(double share) {
        for (Instance from : instances) {
            for (Instance to : instances) {
                if (random.nextDouble() < share) {
                    cutLinks.add(from.id + " " + to.id);
                }
            }
        }
    }

    /** Restores all links between instances. */
    void restoreLinks() {
        cutLinks.clear();
    }

    /** Applies a fault to a random instance through which others follow the store, if there is one. */
    void faultAtSource(Consumer<Instance> fault) {
        List<Instance> sources = instances.stream()
                .filter(each -> each.feed.answeredWatches() > 0 && each.feedReader.followsStore())
                .toList();
        if (!sources.isEmpty()) {
            fault.accept(sources.get(random.nextInt(sources.size())));
        }
    }

    Instance randomInstance() {
        return instances.get(random.nextInt(instances.size()));
    }

    /** One instance: its view of the store and the state that it applied. */
    final class Instance {
        final SimulatedStore.Client client = store.new Client();
        final InstanceId id;
        private final int domain;
        private final InetSocketAddress address;
        final FailoverReader reader;
        final FeedReader feedReader;
        final ViewFeed feed;
        private final PlatformView view;
        final ConfigurationFreshness freshness = new ConfigurationFreshness(
                () -> store.now, new SuspensionDetector(() -> store.now, () -> store.now), REVOCATION_MILLIS);
        RoutingConfig config;
        final Map<String, Boolean> drainingByEntry = new HashMap<>();
        final Map<String, Long> startByEntry = new HashMap<>();
        final Set<FailureDomainId> takenOut = new HashSet<>();
        final Set<String> members = new HashSet<>();
        /** Receives each event before it is applied. */
        Consumer<PlatformEvent> observer = event -> {};

        private final StoreEraTracker eras = new StoreEraTracker();
        private final EraCheckedStore checkedClient = new EraCheckedStore(client, eras);
        private int callsForPeers;
        private boolean silent;
        private boolean stopped;

        Instance(int number, int fleet) {
            id = new InstanceId("front-" + number);
            domain = number % domains;
            address = InetSocketAddress.createUnresolved(id.value(), 1);
            EventLog log = new EventLog(lines, id.value(), () -> store.now);
            GatewayContext context = new GatewayContext(
                    settings(id, limitMillis), store.loop(), () -> store.now, log, adapter, checkedClient);
            reader = new FailoverReader(
                    context, peer -> new EraCheckedStore(new RelayPath(this, peer), eras), peer -> {});
            feedReader = new FeedReader(context, reader, this::watchSource, eras);
            long maxAgeMillis = new ChangeTimeBudget(limitMillis).maxSourceViewAgeMillis();
            feed = new ViewFeed(store.loop(), () -> store.now, () -> store.now, maxAgeMillis, feedReader::followsStore);
            view = new PlatformView(
                    context, feedReader, feed, new MembershipStatus(() -> store.now, () -> store.now), this::apply);
            view.setViewListener(freshness::recordView);
            eras.subscribe((earlier, current) -> {
                reader.storeRestored();
                view.storeRestored();
            });
            store.loop().schedule(view::start, random.nextInt(1_000), TimeUnit.MILLISECONDS);
            view.setLiveInstanceCount(fleet);
            scheduleRenewal(random.nextInt((int) RENEWAL_INTERVAL_MILLIS));
        }

        /** Watches the feed of another instance. */
        private void watchSource(
                String address,
                StoreEra era,
                long afterRevision,
                long waitMillis,
                long timeoutMillis,
                Consumer<DurableStore.Result> whenDone) {
            Instance source = find(address);
            watchesAtSources++;
            boolean[] done = new boolean[1];
            Consumer<DurableStore.Result> once = result -> {
                if (!done[0]) {
                    done[0] = true;
                    whenDone.accept(result);
                }
            };
            schedule(timeoutMillis, () -> once.accept(DurableStore.Result.of(DurableStore.Status.UNKNOWN)));
            if (cutLinks.contains(id + " " + source.id) || source.silent) {
                return;
            }
            schedule(
                    LINK_DELAY_MILLIS,
                    () -> source.feed.watch(era, afterRevision, waitMillis, result -> {
                        if (!source.silent) {
                            schedule(LINK_DELAY_MILLIS, () -> once.accept(result));
                        }
                    }));
        }

        /** Sets whether this instance answers no watches of other instances. */
        void silent(boolean set) {
            silent = set;
        }

        /** Renews a lease at intervals, because the view uses results of other calls to detect outages. */
        private void scheduleRenewal(long millis) {
            store.loop()
                    .schedule(
                            () -> checkedClient.renewLease(1, result -> {
                                if (stopped) {
                                    return;
                                }
                                view.recordCallResult(result.status());
                                boolean renewed = result.status() == DurableStore.Status.DONE;
                                scheduleRenewal(renewed ? RENEWAL_INTERVAL_MILLIS : RENEWAL_RETRY_MILLIS);
                            }),
                            millis,
                            TimeUnit.MILLISECONDS);
        }

        private void stop() {
            stopped = true;
            silent = true;
            view.stop();
            feed.suspend();
        }

        /** Reports a refused call of this instance, for example because of a rate limit of the store. */
        void reportRefusedCall() {
            view.recordCallResult(DurableStore.Status.REFUSED);
        }

        private void apply(PlatformEvent event) {
            observer.accept(event);
            if (event instanceof PlatformEvent.ConfigWritten written) {
                config = written.config();
                freshness.recordStoredConfiguration(true);
            } else if (event instanceof PlatformEvent.BackendListed listed) {
                drainingByEntry.put(listed.entry(), listed.backend().draining());
                startByEntry.put(listed.entry(), listed.backend().startedAtMillis());
            } else if (event instanceof PlatformEvent.BackendRemoved removed) {
                drainingByEntry.remove(removed.entry());
            } else if (event instanceof PlatformEvent.RouterRecordChanged changed) {
                if (changed.storeRecord().value() == null) {
                    members.remove(changed.storeRecord().key());
                } else {
                    members.add(changed.storeRecord().key());
                }
            } else if (event instanceof PlatformEvent.DomainTakenOut domain) {
                if (domain.out()) {
                    takenOut.add(domain.domain());
                } else {
                    takenOut.remove(domain.domain());
                }
            }
        }

        boolean usesServer(String entry) {
            return Boolean.FALSE.equals(drainingByEntry.get(entry));
        }
    }

    /** The path to the store from one instance through the relay of another. */
    private final class RelayPath implements DurableStore {
        private final Instance from;
        private final Instance to;

        RelayPath(Instance from, String address) {
            this.from = from;
            this.to = find(address);
        }

        @Override
        public void readAll(String prefix, long timeoutMillis, Consumer<DurableStore.Result> whenDone) {
            call(timeoutMillis, whenDone, done -> to.client.readAll(prefix, StoreRelay.CALL_TIMEOUT_MILLIS, done));
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
                    done -> to.client.watch(prefix, afterRevision, waitMillis, StoreRelay.CALL_TIMEOUT_MILLIS, done));
        }

        @Override
        public void commit(Transaction transaction, Consumer<Result> whenDone) {
            throw new UnsupportedOperationException("writes are not relayed");
        }

        @Override
        public void createLease(long termMillis, Consumer<Result> whenDone) {
            throw new UnsupportedOperationException("writes are not relayed");
        }

        @Override
        public void renewLease(long lease, Consumer<Result> whenDone) {
            throw new UnsupportedOperationException("writes are not relayed");
        }

        @Override
        public void endLease(long lease, Consumer<Result> whenDone) {
            throw new UnsupportedOperationException("writes are not relayed");
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
            schedule(timeoutMillis, () -> once.accept(DurableStore.Result.of(DurableStore.Status.UNKNOWN)));
            if (cutLinks.contains(from.id + " " + to.id)) {
                return;
            }
            schedule(LINK_DELAY_MILLIS, () -> {
                if (to.callsForPeers >= StoreRelay.MAX_CALLS_IN_FLIGHT || !to.reader.direct()) {
                    schedule(LINK_DELAY_MILLIS, () -> once.accept(DurableStore.Result.of(DurableStore.Status.REFUSED)));
                    return;
                }
                to.callsForPeers++;
                maxCallsForPeers = Math.max(maxCallsForPeers, to.callsForPeers);
                action.accept(result -> {
                    to.callsForPeers--;
                    schedule(LINK_DELAY_MILLIS, () -> once.accept(result));
                });
            });
        }
    }

    private void schedule(long millis, Runnable action) {
        store.loop().schedule(action, millis, TimeUnit.MILLISECONDS);
    }

    private Instance find(String address) {
        return instances.stream()
                .filter(each -> address.equals(each.id.value() + ":1"))
                .findFirst()
                .orElseThrow();
    }

    static GatewaySettings settings(InstanceId id, long limitMillis) {
        return GatewaySettings.builder(id, new FailureDomainId("a"))
                .callerAddresses("", "")
                .internalAddresses("", "")
                .storeAddress("")
                .platformLimits(new GatewaySettings.PlatformLimits(1_000, 6_000, 0.2, 60, 10_000, 10_000, limitMillis))
                .build();
    }
}
