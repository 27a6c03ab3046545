package org.jackdawslip.internal.ownership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.bundle.BackendServer;
import org.jackdawslip.internal.bundle.Bundle;
import org.jackdawslip.internal.bundle.DomainState;
import org.jackdawslip.internal.bundle.ServicePolicy.OnSilence;

/**
 * Simulates members, a store and backend servers on a virtual clock, and checks the invariants after every
 * event.
 */
final class DomainHarness {

    static final ServiceName CHECKED = new ServiceName("checked");
    static final ServiceName PLAIN = new ServiceName("plain");

    /** The interval at which a coordinator reads the homes records. */
    private static final long HOMES_READ_MILLIS = 5_000;

    final Random random;
    final SafetyRules rules;
    final List<String> log = new ArrayList<>();
    final TreeMap<InstanceId, MemberProcess> processes = new TreeMap<>();
    final TreeMap<BackendServerId, FakeBackendServer> servers = new TreeMap<>();
    final Map<Object, Integer> partitions = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparing(Event::sequence));
    final Map<Object, Object> store = new HashMap<>();
    final OwnershipChecker checker = new OwnershipChecker(this);
    long now;
    boolean storeUp = true;
    boolean storeLosesResponses;
    /**
     * Whether the simulated losses exceed the tolerated ones, so that a coordinator may start without the
     * last table.
     */
    boolean mayLoseTable;

    /** Whether coordinators learn of changed homes at once; otherwise with their next periodic read. */
    boolean homesWatched = true;

    double loss;
    int maxDelay = 3;
    Bundle bundle;
    private long nextSequence;
    private long storeIndex;
    private StoreCopy storeCopy = new StoreCopy(Map.of(), 0);

    /** The records of the store at one moment, and its index then. */
    private record StoreCopy(Map<Object, Object> records, long index) {}

    private record Event(long at, long sequence, Runnable action) {}

    DomainHarness(long seed, SafetyRules rules, OnSilence policy, String... instances) {
        random = new Random(seed);
        this.rules = rules;
        Map<BackendServerId, BackendServer> declared = new HashMap<>();
        Map<FailureDomainId, DomainState> domains = new HashMap<>();
        for (String instance : instances) {
            FailureDomainId domain = new FailureDomainId(instance.substring(0, 1));
            if (domains.put(domain, DomainState.IN) == null) {
                for (String name : List.of("c1", "c2", "c3", "p1", "p2")) {
                    BackendServerId id = new BackendServerId(domain + "-" + name);
                    ServiceName service = name.startsWith("c") ? CHECKED : PLAIN;
                    declared.put(id, new BackendServer(id, service, domain, "127.0.0.1", 1, 3, false));
                    servers.put(id, new FakeBackendServer(this, id, service.equals(CHECKED)));
                }
            }
        }
        bundle = new Bundle(
                1,
                domains,
                Map.of(CHECKED, HarnessValues.policy(CHECKED, policy), PLAIN, HarnessValues.policy(PLAIN, policy)),
                declared);
        for (String instance : instances) {
            start(new InstanceId(instance));
        }
    }

    void start(InstanceId id) {
        MemberProcess process = new MemberProcess(id);
        processes.put(id, process);
        Set<InstanceId> peers = processes.keySet().stream()
                .filter(peer -> peer.value().charAt(0) == id.value().charAt(0))
                .collect(Collectors.toSet());
        peers.forEach(peer -> processes.get(peer).member.onPeers(now, peers));
        process.member.onBundle(now, bundle);
        process.tick();
        process.readHomesPeriodically();
        logEvent("start " + id);
    }

    void bundle(DomainState state, String domain) {
        Map<FailureDomainId, DomainState> domains = new HashMap<>(bundle.failureDomains());
        domains.put(new FailureDomainId(domain), state);
        bundle = new Bundle(bundle.version() + 1, domains, bundle.services(), bundle.backendServers());
        logEvent("bundle: " + domain + " " + state);
        processes.values().forEach(process -> process.runLater(1, () -> process.member.onBundle(now, bundle)));
    }

    void kill(InstanceId id) {
        logEvent("kill " + id);
        processes.get(id).dead = true;
    }

    /** Starts a planned stop of an instance, whose process ends when all roles and rights are handed over. */
    void leave(InstanceId id) {
        logEvent("leave " + id);
        processes.get(id).leaving = true;
        processes.get(id).member.beginLeaving(now);
    }

    void pause(InstanceId id, long millis) {
        logEvent("pause " + id + " for " + millis);
        processes.get(id).pausedUntil = now + millis;
    }

    void isolate(Object... entities) {
        logEvent("isolate " + List.of(entities));
        for (Object entity : entities) {
            partitions.put(entity, 1);
        }
    }

    void reconnectAll() {
        logEvent("connect all");
        partitions.clear();
    }

    /** Keeps a copy of the store, from which {@link #restoreStore} restores it. */
    void copyStore() {
        storeCopy = new StoreCopy(Map.copyOf(store), storeIndex);
        logEvent("store copied");
    }

    /**
     * Replaces the content of the store by the last copy, so that it gives out indexes again. Watches fail
     * and read their records again.
     */
    void restoreStore() {
        store.clear();
        store.putAll(storeCopy.records());
        storeIndex = storeCopy.index();
        logEvent("store restored: "
                + store.values().stream().map(HarnessValues::describe).sorted().toList());
        processes.values().forEach(MemberProcess::watchAgain);
    }

    void freeze(BackendServerId id, boolean frozen) {
        logEvent((frozen ? "freeze " : "unfreeze ") + id);
        servers.get(id).frozen = frozen;
    }

    void logEvent(String line) {
        log.add(String.format("%6d %s", now, line));
    }

    InstanceId coordinator() {
        return processes.values().stream()
                .filter(process -> !process.dead && process.member.isCoordinator())
                .findFirst()
                .orElseThrow()
                .id;
    }

    InstanceId successor() {
        return processes
                .get(coordinator())
                .member
                .coordinator()
                .orElseThrow()
                .successor()
                .orElseThrow();
    }

    /** Runs for a time, and checks the invariants after every event. */
    void run(long millis) {
        long end = now + millis;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
            checker.check();
        }
        now = end;
    }

    /**
     * Runs until every range is served and returns the elapsed milliseconds. Fails if that exceeds the limit.
     */
    long runUntilServed(long limitMillis) {
        long start = now;
        while (!checker.unservedRanges().isEmpty()) {
            if (now - start >= limitMillis) {
                throw new AssertionError(
                        "not served after " + limitMillis + " ms: " + checker.unservedRanges() + trace());
            }
            run(10);
        }
        return now - start;
    }

    /** Makes every sender report loads each second. */
    void reportLoads(LoadSource source) {
        schedule(1_000, () -> {
            for (MemberProcess process : processes.values()) {
                RangeLoads loads = HarnessValues.loads(this, process.id, process.member.table(), source);
                process.runLater(0, () -> {
                    process.member.onRangeLoads(now, loads);
                    processes
                            .keySet()
                            .forEach(peer -> process.send(peer, other -> other.member.onRangeLoads(now, loads)));
                });
            }
            reportLoads(source);
        });
    }

    /** The source of the simulated loads. */
    interface LoadSource {
        /** Returns the load of a range at the given time. */
        RangeLoad load(long now, ServiceName service, KeyRange range);
    }

    boolean connected(Object a, Object b) {
        return partitions.getOrDefault(a, 0).equals(partitions.getOrDefault(b, 0));
    }

    private void schedule(long delay, Runnable action) {
        events.add(new Event(now + delay, nextSequence++, action));
    }

    private long delay() {
        return 1 + random.nextInt(maxDelay);
    }

    String trace() {
        return "\n" + String.join("\n", log.subList(Math.max(0, log.size() - 60), log.size()));
    }

    /** The simulated process of a member with its connections. */
    final class MemberProcess implements MemberEffects {
        final InstanceId id;
        final FailureDomainId domain;
        final DomainMember member;
        boolean dead;
        boolean leaving;
        long pausedUntil;

        MemberProcess(InstanceId id) {
            this.id = id;
            domain = new FailureDomainId(id.value().substring(0, 1));
            member = DomainMember.builder()
                    .self(id)
                    .domain(domain)
                    .startId(random.nextLong())
                    .startedAt(now)
                    .effects(this)
                    .random(random)
                    .rules(rules)
                    .build();
        }

        private void tick() {
            runLater(Timing.TICK_MILLIS, () -> {
                member.tick(now, now + 1_000_000);
                tick();
                if (leaving) {
                    member.onDrained(now);
                    if (member.handedOverAll()) {
                        logEvent("stopped " + id);
                        dead = true;
                    }
                }
            });
        }

        private void readHomesPeriodically() {
            runLater(HOMES_READ_MILLIS, () -> {
                if (!homesWatched && member.isCoordinator()) {
                    bundle.services().keySet().forEach(this::readHomes);
                }
                readHomesPeriodically();
            });
        }

        /** Runs an action of this process after a delay, or at the end of its pause if that is later. */
        private void runLater(long delay, Runnable action) {
            schedule(delay, () -> {
                if (dead) {
                    return;
                }
                if (now < pausedUntil) {
                    runLater(pausedUntil - now, action);
                } else {
                    action.run();
                }
            });
        }

        private void send(InstanceId peer, java.util.function.Consumer<MemberProcess> delivery) {
            schedule(delay(), () -> {
                MemberProcess target = processes.get(peer);
                if (target != null && connected(id, peer) && random.nextDouble() >= loss) {
                    target.runLater(0, () -> delivery.accept(target));
                }
            });
        }

        void reply(FakeBackendServer server, Runnable action) {
            schedule(delay(), () -> {
                if (connected(id, server.id)) {
                    runLater(0, action);
                }
            });
        }

        @Override
        public void sendHeartbeat(InstanceId peer, Heartbeat heartbeat) {
            send(peer, target -> target.member.onHeartbeat(now, heartbeat));
        }

        @Override
        public void sendHeartbeatReply(InstanceId peer, HeartbeatReply reply) {
            send(peer, target -> target.member.onHeartbeatReply(now, reply));
        }

        @Override
        public void sendTable(InstanceId peer, AssignmentTable table) {
            send(peer, target -> target.member.onTable(now, id, table));
        }

        @Override
        public void readCoordinator() {
            read(
                    domain,
                    found -> member.onCoordinatorRead(now, found.map(CoordinatorRecord.class::cast)),
                    () -> member.onCoordinatorUnreachable(now));
        }

        private void watchAgain() {
            runLater(100 + random.nextInt(500), () -> {
                if (storeUp && connected(id, "store") && (member.isCoordinator() || member.isSuccessor())) {
                    readCoordinator();
                    member.onStoreReconnected(now);
                }
            });
        }

        @Override
        public void readHomes(ServiceName service) {
            read(
                    service,
                    found -> member.onHomesRead(now, service, found.map(HomesRecord.class::cast)),
                    () -> member.onHomesUnreachable(now, service));
        }

        private void read(Object key, java.util.function.Consumer<Optional<Object>> onResult, Runnable unreachable) {
            schedule(delay(), () -> {
                if (!storeUp || !connected(id, "store")) {
                    runLater(50, unreachable);
                    return;
                }
                Optional<Object> found = Optional.ofNullable(store.get(key));
                runLater(delay(), () -> onResult.accept(found));
            });
        }

        @Override
        public void swapCoordinator(CoordinatorRecord next, long expectedIndex) {
            swap(domain, next, expectedIndex, result -> member.onCoordinatorSwap(now, result));
        }

        @Override
        public void swapHomes(HomesRecord next, long expectedIndex) {
            swap(next.service(), next, expectedIndex, result -> member.onHomesSwap(now, next.service(), result));
        }

        private void swap(Object key, Object next, long expected, java.util.function.Consumer<SwapResult> result) {
            schedule(delay(), () -> {
                if (!storeUp || !connected(id, "store")) {
                    runLater(50, () -> result.accept(SwapResult.UNREACHABLE));
                    return;
                }
                boolean applied = HarnessValues.index(store.get(key)) == expected;
                if (applied) {
                    store.put(key, HarnessValues.indexed(next, ++storeIndex));
                    logEvent("store: " + HarnessValues.describe(store.get(key)));
                    watch(key);
                }
                boolean lost = storeLosesResponses && random.nextBoolean();
                SwapResult swapResult = applied ? SwapResult.APPLIED : SwapResult.CONFLICT;
                runLater(lost ? 300 : delay(), () -> result.accept(lost ? SwapResult.UNKNOWN : swapResult));
            });
        }

        @Override
        public void sendGrant(GrantCall call) {
            FakeBackendServer server = servers.get(call.backendServer());
            schedule(delay(), () -> {
                if (connected(id, server.id) && random.nextDouble() >= loss) {
                    server.receive(this, call);
                }
            });
            runLater(Timing.GRANT_CALL_MILLIS, () -> member.onGrantUnanswered(now, call));
        }

        @Override
        public void rightsChanged() {
            // The harness checks rights after every event instead.
        }
    }

    /** Sends a changed record to coordinators and successors, as blocking reads of the store do. */
    private void watch(Object key) {
        Object value = store.get(key);
        for (MemberProcess process : processes.values()) {
            if (!connected(process.id, "store") || !process.member.isCoordinator() && !process.member.isSuccessor()) {
                continue;
            }
            if (value instanceof HomesRecord homes && !homesWatched) {
                continue;
            }
            if (value instanceof HomesRecord homes) {
                process.runLater(delay(), () -> process.member.onHomesRead(now, homes.service(), Optional.of(homes)));
            } else if (key.equals(process.domain)) {
                process.runLater(
                        delay(), () -> process.member.onCoordinatorRead(now, Optional.of((CoordinatorRecord) value)));
            }
        }
    }
}
