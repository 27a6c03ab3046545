package org.jackdawslip.internal.gateway;

import java.io.OutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.jackdawslip.FailureDomainId;
import org.jackdawslip.internal.durable.StoreEra;

/**
 * A fleet of instances whose store comes back from earlier copies of itself, the operator and the servers that write
 * their records again, and the rules that each instance must keep. All times and choices follow from the seed. Not
 * thread-safe.
 */
final class RestoredStoreModel {

    /** Time limit of the platform for changes. */
    static final long LIMIT_MILLIS = 2_000;

    private static final long REQUEST_DELIVERY_MILLIS = 100;
    /** Limits hold for an instance from this time after the end of a fault on its path to the store. */
    private static final long RECOVERY_MILLIS = 3_000;
    /** The operator and the servers write lost records again within this time after a return. */
    private static final int REWRITE_MILLIS = 1_900;
    /** Instances write lost listings again within this time after a return, even if they learn of it late. */
    private static final int MEMBER_REWRITE_MILLIS = 6_000;
    /** Writers retry at this interval while the store refuses them. */
    private static final int WRITE_RETRY_MILLIS = 100;

    /** Part of the calls that a replica with the earlier state answers. */
    private static final double REPLICA_SHARE = 0.25;

    private static final int REPLICA_MILLIS = 2_500;
    private static final int COPY_INTERVAL_MILLIS = 500;
    private static final int MAX_COPIES = 40;
    private static final int STEP_MILLIS = 20;
    private static final int CHECK_INTERVAL_MILLIS = 200;
    private static final long SETTLE_MILLIS = 5_000;
    private static final long EVENTS_MILLIS = 24_000;
    private static final long FINAL_MILLIS = 16_000;
    private static final int CHANGE_INTERVAL_MILLIS = 800;
    private static final int SERVERS = 20;
    private static final int MEMBERS = 4;
    private static final String DOMAIN_PREFIX = "out/";
    private static final List<String> DOMAINS = List.of("out/b", "out/c", "out/d");

    /** What an event of a run does to the store or the paths to it. */
    enum Disturbance {
        RETURN {
            @Override
            void cause(RestoredStoreModel model) {
                model.comeBack();
            }
        },
        RETURN_AFTER_OUTAGE {
            @Override
            void cause(RestoredStoreModel model) {
                model.outage(true);
                model.after(200 + model.random.nextInt(3_000), () -> {
                    model.comeBack();
                    model.outage(false);
                });
            }
        },
        TWO_RETURNS {
            @Override
            void cause(RestoredStoreModel model) {
                model.comeBack();
                model.after(model.random.nextInt(2_500), model::comeBack);
            }
        },
        /** A replica of the store still answers some calls with the earlier state. */
        RETURN_WITH_REPLICA {
            @Override
            void cause(RestoredStoreModel model) {
                SimulatedStore store = model.views.store;
                SimulatedStore.Copy earlier = store.takeCopy();
                StoreEra earlierEra = store.era();
                model.comeBack();
                if (!earlierEra.equals(StoreEra.NONE)) {
                    store.keepReplica(earlier, earlierEra, REPLICA_SHARE, REPLICA_MILLIS, model.random);
                    model.faultUntil(REPLICA_MILLIS, () -> {});
                }
            }
        },
        LINKS_CUT {
            @Override
            void cause(RestoredStoreModel model) {
                model.views.cutLinks(0.3);
                model.faultUntil(3_000, model.views::restoreLinks);
            }
        },
        THIRD_REFUSED {
            @Override
            void cause(RestoredStoreModel model) {
                model.views.faultAtThird(3_000, SimulatedStore.Client::refused);
                model.faultUntil(3_000, () -> {});
            }
        },
        THIRD_UNRESPONSIVE {
            @Override
            void cause(RestoredStoreModel model) {
                model.views.faultAtThird(3_000, SimulatedStore.Client::unresponsive);
                model.faultUntil(3_000, () -> {});
            }
        },
        OUTAGE {
            @Override
            void cause(RestoredStoreModel model) {
                // A longer outage just after a return would keep the operator from writing again within its time.
                if (model.now() - model.returnedAt > REWRITE_MILLIS) {
                    model.outage(true);
                    model.after(200 + model.random.nextInt(2_000), () -> model.outage(false));
                }
            }
        },
        HISTORY_DROPPED {
            @Override
            void cause(RestoredStoreModel model) {
                model.views.store.withholdChanges(model.random.nextBoolean());
                model.faultUntil(600, model.views.store::compact);
            }
        },
        STORE_SLOW {
            @Override
            void cause(RestoredStoreModel model) {
                model.views.store.slow(true);
                model.faultUntil(2_000, () -> model.views.store.slow(false));
            }
        },
        RESTART {
            @Override
            void cause(RestoredStoreModel model) {
                model.restart(model.random.nextInt(model.views.instances.size()));
            }
        };

        abstract void cause(RestoredStoreModel model);
    }

    /** What one instance has had in force. */
    private static final class Observed {
        private final Map<String, Long> starts = new HashMap<>();
        private final Set<String> ready = new HashSet<>();
        /** Starts of servers that were seen draining or gone. */
        private final Set<String> ended = new HashSet<>();

        private long version;
        private long startedAt;
    }

    private final SimulatedViews views;
    private final Random random;
    private final List<Disturbance> disturbances;
    /** The records of the operator, the servers and the instances as they wrote them last. */
    private final Map<String, String> truth = new TreeMap<>();
    /** Time at which a record was written or removed last. */
    private final Map<String, Long> writtenAt = new TreeMap<>();

    /** Time at which the store confirmed a version of the configuration first. */
    private final Map<Integer, Long> confirmedAt = new HashMap<>();

    private final Deque<SimulatedStore.Copy> copies = new ArrayDeque<>();
    private final List<Observed> observed = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private int version = 1;
    private long starts = 1;
    private boolean outage;
    private long returnedAt = Long.MIN_VALUE / 2;
    private int returns;
    private long faultEndsAt;
    private long latestMillis;

    /**
     * Creates a fleet.
     *
     * @param disturbances from which the disturbances of the run are chosen
     */
    RestoredStoreModel(int instances, long seed, List<Disturbance> disturbances) {
        this.random = new Random(seed);
        this.disturbances = disturbances;
        this.views = new SimulatedViews(instances, LIMIT_MILLIS, new Random(seed), OutputStream.nullOutputStream());
        if (random.nextBoolean()) {
            views.store.startEra(new StoreEra(3));
        }
        for (int i = 0; i < instances; i++) {
            observed.add(null);
            observe(i);
        }
        writeConfig();
        for (int i = 0; i < SERVERS; i++) {
            write(SimulatedViews.listingKey(i), "ready 1");
        }
    }

    private long now() {
        return views.store.now;
    }

    private void after(long millis, Runnable action) {
        views.store.loop().schedule(action, millis, TimeUnit.MILLISECONDS);
    }

    private void faultUntil(long millis, Runnable end) {
        faultEndsAt = Math.max(faultEndsAt, now() + millis);
        after(millis, end);
    }

    private void outage(boolean set) {
        outage = set;
        faultEndsAt = set ? Long.MAX_VALUE / 2 : now();
        views.store.outage(set);
    }

    private void restart(int number) {
        views.restart(number);
        observe(number);
    }

    private void observe(int number) {
        Observed state = new Observed();
        state.startedAt = now();
        observed.set(number, state);
        SimulatedViews.Instance instance = views.instances.get(number);
        instance.observer = event -> check(instance, state, event);
    }

    /** Writes a record, or removes it if the value is null, once the store takes it. */
    private void write(String key, String value) {
        if (value == null) {
            truth.remove(key);
        } else {
            truth.put(key, value);
        }
        store(key);
    }

    /** Stores the last state of a record. */
    private void store(String key) {
        if (outage) {
            after(WRITE_RETRY_MILLIS, () -> store(key));
            return;
        }
        String value = truth.get(key);
        if (value == null) {
            views.store.delete(key);
        } else {
            views.store.put(key, value);
        }
        writtenAt.put(key, now());
        if (key.equals("config")) {
            confirmedAt.putIfAbsent(Integer.parseInt(value), now());
        }
    }

    private void writeConfig() {
        version++;
        write("config", Integer.toString(version));
    }

    /** Lets the store come back from one of the copies; the writers then write what it lacks, or all, again. */
    private void comeBack() {
        List<SimulatedStore.Copy> candidates = List.copyOf(copies);
        views.store.restore(candidates.get(random.nextInt(candidates.size())), random);
        returnedAt = now();
        returns++;
        boolean all = random.nextBoolean();
        for (String key : writtenAt.keySet()) {
            boolean lost = !Objects.equals(views.store.get(key), truth.get(key));
            if (lost || all && truth.containsKey(key)) {
                int millis = key.startsWith("members/") ? MEMBER_REWRITE_MILLIS : REWRITE_MILLIS;
                after(random.nextInt(millis), () -> store(key));
            }
        }
    }

    private void change() {
        int choice = random.nextInt(10);
        String server = SimulatedViews.listingKey(random.nextInt(SERVERS));
        String state = truth.get(server);
        if (choice < 3) {
            writeConfig();
        } else if (choice < 7) {
            if (state == null || state.startsWith("draining") && random.nextBoolean()) {
                write(server, "ready " + ++starts);
            } else if (state.startsWith("ready") && random.nextBoolean()) {
                write(server, state.replace("ready", "draining"));
            } else {
                write(server, null);
            }
        } else if (choice < 9) {
            // A domain is taken out and brought back once, so that each event tells which of both it was.
            String domain = DOMAINS.get(random.nextInt(DOMAINS.size()));
            if (!writtenAt.containsKey(domain)) {
                write(domain, "out");
            } else if (now() - writtenAt.get(domain) > 8_000) {
                write(domain, null);
            }
        } else {
            String member = "members/m-" + random.nextInt(MEMBERS);
            if (!writtenAt.containsKey(member)) {
                write(member, "10.0.0.1:1");
            } else if (now() - writtenAt.get(member) > 8_000) {
                write(member, null);
            }
        }
    }

    private void violation(SimulatedViews.Instance instance, String problem) {
        violations.add(now() + " " + instance.id + ": " + problem + ", last return at " + returnedAt);
    }

    /** Checks an event that an instance is about to apply. */
    private void check(SimulatedViews.Instance instance, Observed state, PlatformEvent event) {
        if (event instanceof PlatformEvent.ConfigWritten written) {
            if (written.config().version() < state.version) {
                violation(instance, "configuration " + written.config().version() + " after " + state.version);
            }
            state.version = Math.max(state.version, written.config().version());
        } else if (event instanceof PlatformEvent.Unreadable unreadable && state.version > 0) {
            violation(instance, unreadable.key() + " is missing");
        } else if (event instanceof PlatformEvent.BackendListed listed) {
            checkListing(instance, state, listed);
        } else if (event instanceof PlatformEvent.BackendRemoved removed) {
            String entry = removed.entry();
            if (state.ready.remove(entry) && ("ready " + state.starts.get(entry)).equals(truth.get(entry))) {
                violation(instance, entry + " removed although it is ready");
            }
            state.ended.add(entry + " " + state.starts.get(entry));
        } else if (event instanceof PlatformEvent.DomainTakenOut domain && !domain.out()) {
            boolean wasOut = instance.takenOut.contains(domain.domain());
            if (wasOut && truth.containsKey(DOMAIN_PREFIX + domain.domain())) {
                violation(instance, "domain " + domain.domain() + " brought back");
            }
        } else if (event instanceof PlatformEvent.RouterRecordChanged changed) {
            String key = changed.storeRecord().key();
            if (changed.storeRecord().value() == null && instance.members.contains(key) && truth.containsKey(key)) {
                violation(instance, key + " removed");
            }
        }
    }

    private void checkListing(SimulatedViews.Instance instance, Observed state, PlatformEvent.BackendListed listed) {
        String entry = listed.entry();
        long start = listed.backend().startedAtMillis();
        boolean draining = listed.backend().draining();
        if (!draining && state.ended.contains(entry + " " + start)) {
            violation(instance, entry + " started at " + start + " is used again");
        }
        Long known = state.starts.put(entry, start);
        if (known != null && known != start) {
            state.ended.add(entry + " " + known);
        }
        if (draining) {
            state.ended.add(entry + " " + start);
            state.ready.remove(entry);
        } else {
            state.ready.add(entry);
        }
    }

    /** Checks that each record is in force at each instance as it was written, once its time limit has passed. */
    private void checkInForce() {
        for (Map.Entry<String, Long> written : writtenAt.entrySet()) {
            String key = written.getKey();
            long holdMillis = key.startsWith("members/")
                    ? RestoredStoreHold.INSTANCE_HOLD_MILLIS
                    : RestoredStoreHold.RECORD_HOLD_MILLIS;
            long from = Math.max(written.getValue(), Math.max(returnedAt + holdMillis, faultEndsAt + RECOVERY_MILLIS));
            for (int i = 0; i < observed.size(); i++) {
                long since = Math.max(from, observed.get(i).startedAt + RECOVERY_MILLIS);
                long lateMillis = now() - since - LIMIT_MILLIS + REQUEST_DELIVERY_MILLIS;
                SimulatedViews.Instance instance = views.instances.get(i);
                if (now() >= since && !inForce(instance, key)) {
                    latestMillis = Math.max(latestMillis, now() - since);
                    if (lateMillis > 0) {
                        violation(instance, key + " of " + written.getValue() + " is not in force");
                    }
                }
            }
        }
    }

    /** Checks that no instance accepts keys by a configuration that was replaced longer ago than the time limit. */
    private void checkRevocation() {
        int required = 0;
        for (Map.Entry<Integer, Long> confirmed : confirmedAt.entrySet()) {
            if (now() - confirmed.getValue() > SimulatedViews.REVOCATION_MILLIS) {
                required = Math.max(required, confirmed.getKey());
            }
        }
        for (int i = 0; i < observed.size(); i++) {
            SimulatedViews.Instance instance = views.instances.get(i);
            // An instance that started just before the return, or later, does not know what the copy lacks.
            boolean knowsEarlierState = observed.get(i).startedAt + RECOVERY_MILLIS < returnedAt
                    || now() > returnedAt + REWRITE_MILLIS + LIMIT_MILLIS;
            if (knowsEarlierState && instance.freshness.isRecent() && instance.config.version() < required) {
                violation(instance, "accepts keys by " + instance.config.version() + " and not " + required);
            }
        }
    }

    private boolean inForce(SimulatedViews.Instance instance, String key) {
        String value = truth.get(key);
        if (key.equals("config")) {
            return instance.config != null
                    && Long.toString(instance.config.version()).equals(value);
        } else if (key.startsWith(DOMAIN_PREFIX)) {
            String domain = key.substring(DOMAIN_PREFIX.length());
            return instance.takenOut.contains(new FailureDomainId(domain)) == (value != null);
        } else if (key.startsWith("members/")) {
            return instance.members.contains(key) == (value != null);
        }
        Boolean draining = instance.drainingByEntry.get(key);
        String inForce = draining == null ? null : (draining ? "draining " : "ready ") + instance.startByEntry.get(key);
        return Objects.equals(value, inForce);
    }

    private void takeCopies() {
        copies.addLast(views.store.takeCopy());
        if (copies.size() > MAX_COPIES) {
            copies.removeFirst();
        }
        after(COPY_INTERVAL_MILLIS, this::takeCopies);
    }

    private void advance(long millis) {
        for (long end = now() + millis; now() < end && violations.isEmpty(); ) {
            views.store.run(STEP_MILLIS);
            if (now() % CHECK_INTERVAL_MILLIS < STEP_MILLIS && !outage) {
                checkInForce();
            }
            if (now() % CHECK_INTERVAL_MILLIS < STEP_MILLIS) {
                checkRevocation();
            }
        }
    }

    /** Runs the simulation until its end or the first violation of a rule; returns the violations. */
    List<String> run() {
        views.store.run(SETTLE_MILLIS);
        takeCopies();
        for (long end = now() + EVENTS_MILLIS; now() < end && violations.isEmpty(); ) {
            int changes = 1 + random.nextInt(4);
            for (int i = 0; i < changes; i++) {
                change();
                advance(random.nextInt(CHANGE_INTERVAL_MILLIS));
            }
            // Long enough for the time limits after a return to end sometimes.
            if (!outage) {
                disturbances.get(random.nextInt(disturbances.size())).cause(this);
            }
            advance(random.nextInt(4) == 0 ? 6_000 : random.nextInt(1_500));
        }
        advance(FINAL_MILLIS);
        return violations;
    }

    /** Returns how often the store came back. */
    int returns() {
        return returns;
    }

    /** Returns the longest time after a change, hold or fault at which a change was not in force, in milliseconds. */
    long latestMillis() {
        return latestMillis;
    }
}
