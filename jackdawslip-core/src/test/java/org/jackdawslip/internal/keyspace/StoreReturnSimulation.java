package org.jackdawslip.internal.keyspace;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.Backend;
import org.jackdawslip.internal.durable.StoreEra;

/**
 * Instances that compete for the role of key coordinator, backend servers that own keys, and a store that comes back
 * from copies of itself, in simulated time with faults that follow from a seed.
 *
 * <p>Checks with each grant that takes effect that no other server holds the keys and that the token is higher than
 * those of all other servers, and with each grant that is sent that no other instance may send one. Not thread-safe.
 */
final class StoreReturnSimulation {

    static final KeyTiming TIMING = new KeyTiming(7_000, 2_800, 600, 300);
    static final long ROLE_TERM_MILLIS = 2_500;

    private static final int INSTANCES = 3;
    private static final int SERVERS = 4;
    private static final int BLOCKS = KeySegment.SLOTS / KeyLoads.SLOTS_PER_BLOCK;
    private static final long CALL_TIMEOUT_MILLIS = 1_000;
    private static final long OWNERSHIP_CALL_TIMEOUT_MILLIS = 1_500;
    private static final int MAX_TRANSIT_MILLIS = 700;
    private static final int MAX_LATE_MILLIS = 3_000;
    private static final double LOSS_RATE = 0.02;
    private static final double LATE_RATE = 0.02;

    /** What protects the keys after a return of the store; a test takes each one out. */
    enum Guard {
        /** Tables state the era in which they were written. */
        ERA_IN_TABLE,
        /** No grants before all earlier ones have ended. */
        WAIT,
        /** The memory of a key coordinator counts only in the era that follows directly on its own. */
        NEXT_ERA,
        /** The memory of a key coordinator counts only if its lease was valid at the return. */
        LEASE_VALIDITY,
        /** Tokens that are skipped when owners and tokens may have been lost. */
        TOKEN_MARGIN,
        /** Only the memory of the key coordinator itself counts, not the table that another instance saw. */
        EXACT_MEMORY
    }

    private record Event(long time, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int order = Long.compare(time, other.time);
            return order != 0 ? order : Long.compare(number, other.number);
        }
    }

    /** One backend server; what it accepted is lost with a restart, what it was granted is kept for checks. */
    private static final class Server {
        Backend backend;
        long[] heldUntil = new long[BLOCKS];
        long[] acceptedTokens = new long[BLOCKS];
        final long[] grantedTokens = new long[BLOCKS];
        int incarnation;

        Server(Backend backend) {
            this.backend = backend;
        }
    }

    final Random random;
    final Set<Guard> withoutGuards = EnumSet.noneOf(Guard.class);
    final ReturningStore store = new ReturningStore();
    final Map<BackendServerId, Backend> listed = new HashMap<>();
    final Set<BackendServerId> draining = new HashSet<>();
    final KeyLoads loads = new KeyLoads();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<BackendServerId, Server> servers = new HashMap<>();
    private final List<SimulatedRouter> instances = new ArrayList<>();
    private final List<ReturningStore.Copy> copies = new ArrayList<>();
    private long eventCount;
    private long storeDownUntil;
    /** Whether there are no faults and no moves. */
    boolean quiet;

    long now = 1_000;
    int returns;
    int grants;
    /** How often a table was used or not, by reason. */
    final Map<TableRecovery.Reason, Integer> plans = new HashMap<>();

    StoreReturnSimulation(long seed) {
        random = new Random(seed);
        loads.add(0, 0.001, now);
        for (int i = 0; i < SERVERS; i++) {
            Server server = new Server(backend("s" + i, now));
            servers.put(server.backend.id(), server);
            listed.put(server.backend.id(), server.backend);
        }
        for (int i = 0; i < INSTANCES; i++) {
            instances.add(new SimulatedRouter(this, "r" + i, i));
        }
    }

    private static Backend backend(String name, long startedAt) {
        return new Backend(
                new BackendServerId(name),
                startedAt,
                new ServiceName("sheets"),
                "10.0.0." + name.substring(1),
                80,
                new FailureDomainId("a"),
                3,
                false,
                0);
    }

    void at(long time, Runnable action) {
        events.add(new Event(time, eventCount++, action));
    }

    private boolean chance(double rate) {
        return !quiet && random.nextDouble() < rate;
    }

    /** Runs with faults, then without, and returns how many key slots have an owner at the end. */
    int run(long faultyMillis, long quietMillis) {
        takeCopy();
        at(now + 6_000, this::returnFromCopy);
        at(now + 5_000, this::disturbInstance);
        at(now + 5_000, this::disturbServer);
        runUntil(now + faultyMillis);
        quiet = true;
        draining.clear();
        runUntil(now + quietMillis);
        return heldSlots();
    }

    /** Runs without random faults. */
    void runQuietly(long millis) {
        quiet = true;
        runUntil(now + millis);
    }

    /** Returns the instance that coordinates the keys. */
    SimulatedRouter coordinator() {
        return instances.stream()
                .filter(SimulatedRouter::mayCoordinate)
                .findFirst()
                .orElseThrow();
    }

    /** Comes back from a copy without leases, while all instances but one start anew. */
    void returnWithRestarts(ReturningStore.Copy copy, SimulatedRouter survivor) {
        store.restore(copy, now);
        store.endAllLeases(now);
        instances.stream().filter(instance -> instance != survivor).forEach(SimulatedRouter::restart);
    }

    private void runUntil(long end) {
        while (!events.isEmpty() && events.peek().time() <= end) {
            Event event = events.poll();
            now = event.time();
            event.action().run();
        }
        now = end;
    }

    private int heldSlots() {
        int held = 0;
        for (int block = 0; block < BLOCKS; block++) {
            int index = block;
            if (servers.values().stream().anyMatch(server -> server.heldUntil[index] > now)) {
                held += KeyLoads.SLOTS_PER_BLOCK;
            }
        }
        return held;
    }

    private void takeCopy() {
        copies.add(store.takeCopy(now));
        at(now + 500 + random.nextInt(6_000), this::takeCopy);
    }

    private void returnFromCopy() {
        if (quiet) {
            return;
        }
        returns++;
        // Mostly the newest copy, and sometimes an older one, so that two returns may lead to the same state.
        int back = Math.min(copies.size(), 1 + (chance(0.3) ? random.nextInt(4) : 0));
        // The first copy has no table.
        store.restore(copies.get(chance(0.1) ? 0 : copies.size() - back), now);
        if (chance(0.5)) {
            store.endAllLeases(now);
        }
        if (chance(0.4)) {
            // What takes the store down may also end an instance.
            instances.get(random.nextInt(INSTANCES)).restart();
        }
        if (chance(0.5)) {
            storeDownUntil = now + random.nextInt(4_000);
        }
        at(now + (chance(0.3) ? random.nextInt(2_000) : 4_000 + random.nextInt(18_000)), this::returnFromCopy);
    }

    private void disturbInstance() {
        if (quiet) {
            return;
        }
        SimulatedRouter instance = instances.get(random.nextInt(INSTANCES));
        if (chance(0.5)) {
            instance.pausedUntil = now + random.nextInt(6_000);
        } else {
            instance.restart();
        }
        at(now + 1_000 + random.nextInt(9_000), this::disturbInstance);
    }

    private void disturbServer() {
        if (quiet) {
            return;
        }
        Server server = servers.get(new BackendServerId("s" + random.nextInt(SERVERS)));
        BackendServerId id = server.backend.id();
        if (chance(0.3)) {
            server.backend = backend(id.value(), now);
            server.heldUntil = new long[BLOCKS];
            server.acceptedTokens = new long[BLOCKS];
            server.incarnation++;
            Backend restarted = server.backend;
            at(now + 300 + random.nextInt(1_000), () -> listed.put(id, restarted));
        } else if (!draining.remove(id) && draining.size() < 2) {
            draining.add(id);
        }
        at(now + 500 + random.nextInt(4_000), this::disturbServer);
    }

    /** Runs an action of an instance, unless the process has ended, as soon as it is not paused. */
    void deliver(SimulatedRouter instance, long time, Runnable action) {
        int incarnation = instance.incarnation;
        at(time, () -> {
            if (instance.incarnation != incarnation) {
                return;
            }
            if (now < instance.pausedUntil) {
                deliver(instance, instance.pausedUntil, action);
            } else {
                action.run();
            }
        });
    }

    private long transitMillis() {
        return 1 + random.nextInt(15);
    }

    /** Sends a call to the store, which may be lost, late or without a response. */
    void callStore(
            SimulatedRouter instance,
            Function<ReturningStore, ReturningStore.Reply> operation,
            Consumer<ReturningStore.Reply> whenDone) {
        boolean[] completed = new boolean[1];
        Consumer<ReturningStore.Reply> first = reply -> {
            if (!completed[0]) {
                completed[0] = true;
                whenDone.accept(reply);
            }
        };
        ReturningStore.Reply none = new ReturningStore.Reply(ReturningStore.Outcome.UNKNOWN, null, 0, 0, StoreEra.NONE);
        deliver(instance, now + CALL_TIMEOUT_MILLIS, () -> first.accept(none));
        if (chance(LOSS_RATE)) {
            return;
        }
        long arrival = now + (chance(LATE_RATE) ? random.nextInt(MAX_LATE_MILLIS) : transitMillis());
        int incarnation = instance.incarnation;
        at(arrival, () -> {
            if (now < storeDownUntil) {
                return;
            }
            ReturningStore.Reply reply = operation.apply(store);
            if (!chance(LOSS_RATE) && instance.incarnation == incarnation) {
                deliver(instance, now + transitMillis(), () -> first.accept(reply));
            }
        });
    }

    /** Sends a grant call; its result is that of a call with limited transit time. */
    void sendGrant(SimulatedRouter instance, Backend called, KeySegment segment, Consumer<GrantResult> whenDone) {
        checkSingleCoordinator(instance);
        boolean[] completed = new boolean[1];
        Consumer<GrantResult> first = result -> {
            if (!completed[0]) {
                completed[0] = true;
                whenDone.accept(result);
            }
        };
        deliver(instance, now + OWNERSHIP_CALL_TIMEOUT_MILLIS, () -> first.accept(GrantResult.UNKNOWN));
        if (chance(LOSS_RATE)) {
            return;
        }
        Server server = servers.get(called.id());
        at(now + (chance(LATE_RATE) ? random.nextInt(MAX_TRANSIT_MILLIS) : transitMillis()), () -> {
            long expiresAt = now + TIMING.holdMillis() * 102 / 100;
            int incarnation = server.incarnation;
            if (chance(LATE_RATE)) {
                at(now + random.nextInt(MAX_LATE_MILLIS), () -> {
                    if (server.incarnation == incarnation) {
                        apply(server, segment, expiresAt);
                    }
                });
                return;
            }
            GrantResult result = apply(server, segment, expiresAt) ? GrantResult.ACCEPTED : GrantResult.STALE_TOKEN;
            if (!chance(LOSS_RATE)) {
                deliver(instance, now + transitMillis(), () -> first.accept(result));
            }
        });
    }

    /** Sends a release call; its result is whether the server confirmed it. */
    void sendRelease(SimulatedRouter instance, Backend called, KeySegment segment, Consumer<Boolean> whenDone) {
        if (chance(LOSS_RATE)) {
            deliver(instance, now + OWNERSHIP_CALL_TIMEOUT_MILLIS, () -> whenDone.accept(false));
            return;
        }
        Server server = servers.get(called.id());
        at(now + transitMillis(), () -> {
            Arrays.fill(server.heldUntil, firstBlock(segment), endBlock(segment), 0);
            deliver(instance, now + transitMillis(), () -> whenDone.accept(true));
        });
    }

    private static int firstBlock(KeySegment segment) {
        return segment.first() / KeyLoads.SLOTS_PER_BLOCK;
    }

    private static int endBlock(KeySegment segment) {
        return segment.last() / KeyLoads.SLOTS_PER_BLOCK + 1;
    }

    private boolean apply(Server server, KeySegment segment, long expiresAt) {
        long token = segment.token().value();
        for (int block = firstBlock(segment); block < endBlock(segment); block++) {
            if (token < server.acceptedTokens[block]) {
                return false;
            }
        }
        for (int block = firstBlock(segment); block < endBlock(segment); block++) {
            for (Server other : servers.values()) {
                if (other != server && expiresAt > now && other.heldUntil[block] > now) {
                    throw new AssertionError(now + ": " + segment + " is granted while " + other.backend.id()
                            + " holds it with token " + other.acceptedTokens[block] + " for another "
                            + (other.heldUntil[block] - now) + " ms");
                }
                if (other != server && expiresAt > now && other.grantedTokens[block] >= token) {
                    throw new AssertionError(now + ": " + segment + " is granted after " + other.backend.id()
                            + " had token " + other.grantedTokens[block]);
                }
            }
            server.heldUntil[block] = expiresAt;
            server.acceptedTokens[block] = token;
            server.grantedTokens[block] = Math.max(server.grantedTokens[block], token);
        }
        grants++;
        return true;
    }

    private void checkSingleCoordinator(SimulatedRouter sender) {
        for (SimulatedRouter instance : instances) {
            if (instance != sender && instance.mayCoordinate()) {
                throw new AssertionError(now + ": " + sender.name + " and " + instance.name + " send grants");
            }
        }
    }
}
