package org.jackdawslip.internal.keyspace;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FencingToken;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.Backend;
import org.jackdawslip.internal.durable.StoreEra;
import org.jackdawslip.internal.durable.StoreEraTracker;
import org.jackdawslip.internal.keyspace.ReturningStore.Outcome;
import org.jackdawslip.internal.keyspace.ReturningStore.Reply;
import org.jackdawslip.internal.keyspace.StoreReturnSimulation.Guard;
import org.jackdawslip.internal.time.LeaseGuard;

/**
 * One instance of a {@link StoreReturnSimulation}: it reads the store, claims the role of key coordinator and, while it
 * holds the role, coordinates the keys of one service. Not thread-safe.
 */
final class SimulatedRouter {

    private static final ServiceName SERVICE = new ServiceName("sheets");
    private static final String ROLE = "role";
    private static final String TABLE = "table";
    private static final long ROLE_TERM_MILLIS = StoreReturnSimulation.ROLE_TERM_MILLIS;
    private static final long RENEWAL_INTERVAL_MILLIS = 700;
    private static final long TICK_INTERVAL_MILLIS = 100;
    private static final long VIEW_INTERVAL_MILLIS = 400;
    private static final long RETRY_MILLIS = 300;
    private static final long CLAIM_RETRY_MILLIS = 700;
    private static final long RANK_DELAY_MILLIS = 300;
    private static final long RESTORED_CLAIM_DELAY_MILLIS = 1_000;
    private static final int MOVE_PERIOD_TICKS = 15;

    private enum CallKind {
        READ,
        WRITE
    }

    final String name;
    private final StoreReturnSimulation simulation;
    private final int rank;
    int incarnation;
    long pausedUntil;

    private StoreEraTracker eras;
    private LeaseGuard guard;
    private RetainedTables retained;
    private OwnerView owners;
    private boolean synced;
    private String holder;
    private boolean held;
    private long lease;
    private long roleRevision;
    private boolean claimPending;
    private boolean renewalPending;
    private long nextRenewalAt;
    private long eraLearnedAt;
    private boolean returnSeen;
    private long roleTakenAt;
    private long coordinatedUntil;
    private boolean tableUncertain;
    private Coordination coordination;

    SimulatedRouter(StoreReturnSimulation simulation, String name, int rank) {
        this.simulation = simulation;
        this.name = name;
        this.rank = rank;
        restart();
    }

    /** Ends the process and starts a new one without state. */
    void restart() {
        incarnation++;
        pausedUntil = 0;
        eras = new StoreEraTracker();
        eras.subscribe((earlier, current) -> storeRestored(earlier));
        guard = new LeaseGuard(() -> simulation.now, () -> simulation.now);
        retained = new RetainedTables();
        owners = new OwnerView();
        synced = false;
        holder = null;
        held = false;
        claimPending = false;
        eraLearnedAt = simulation.now;
        returnSeen = false;
        coordination = null;
        simulation.deliver(this, simulation.now + simulation.random.nextInt(500), this::tick);
        simulation.deliver(this, simulation.now + simulation.random.nextInt(500), this::view);
    }

    /** Returns whether this instance may send ownership calls now, were it not paused. */
    boolean mayCoordinate() {
        return held && guard.isValid() && coordination != null && coordination.coordinator != null;
    }

    private void call(CallKind kind, Function<ReturningStore, Reply> operation, Consumer<Reply> whenDone) {
        boolean known = eras.isKnown();
        StoreEra sentIn = eras.current();
        simulation.callStore(this, operation, reply -> {
            if (reply.outcome() == Outcome.UNKNOWN) {
                whenDone.accept(reply);
                return;
            }
            boolean accepted = eras.accept(reply.era());
            boolean acrossEras = known && !reply.era().equals(sentIn) && kind == CallKind.WRITE;
            boolean unknown = !accepted || acrossEras && reply.outcome() == Outcome.DONE;
            whenDone.accept(unknown ? new Reply(Outcome.UNKNOWN, null, 0, 0, reply.era()) : reply);
        });
    }

    private void view() {
        call(CallKind.READ, store -> store.read(ROLE, simulation.now), role -> {
            if (role.outcome() == Outcome.DONE) {
                synced = true;
                String newHolder =
                        role.entry() == null ? null : (String) role.entry().value();
                if (!held) {
                    holder = newHolder;
                } else if (role.entry() != null && role.entry().revision() > roleRevision && !name.equals(newHolder)) {
                    lose();
                }
            }
        });
        call(CallKind.READ, store -> store.read(TABLE, simulation.now), table -> {
            if (table.outcome() == Outcome.DONE && table.entry() != null) {
                KeyTable stored = (KeyTable) table.entry().value();
                owners.updateTable(stored);
                if (stored.era().equals(eras.current())) {
                    retained.remove(SERVICE);
                }
            }
        });
        simulation.deliver(this, simulation.now + VIEW_INTERVAL_MILLIS, this::view);
    }

    private void tick() {
        simulation.deliver(this, simulation.now + TICK_INTERVAL_MILLIS, this::tick);
        if (!held) {
            claimIfFree();
            return;
        }
        if (simulation.now >= nextRenewalAt && !renewalPending) {
            renew();
        }
        if (held && guard.isValid()) {
            if (coordination == null) {
                coordination = new Coordination();
                coordination.load();
            }
            coordination.tick();
        }
    }

    private boolean earlierHolder() {
        return findRetained(eras.current()) != null;
    }

    private KeyTable findRetained(StoreEra current) {
        KeyTable found = retained.find(SERVICE, current);
        if (simulation.withoutGuards.contains(Guard.EXACT_MEMORY) && found == null && returnSeen) {
            return owners.table();
        } else if (!simulation.withoutGuards.contains(Guard.NEXT_ERA)) {
            return found;
        }
        for (long era = 1; era <= current.number(); era++) {
            KeyTable table = retained.find(SERVICE, new StoreEra(era));
            found = table == null ? found : table;
        }
        return found;
    }

    private void claimIfFree() {
        boolean free = holder == null || name.equals(holder) && earlierHolder();
        if (claimPending || !synced || !free) {
            return;
        }
        claimPending = true;
        long delay = 0;
        if (!earlierHolder()) {
            boolean restored = returnSeen && simulation.now - eraLearnedAt < ROLE_TERM_MILLIS + 1_000;
            delay = rank * RANK_DELAY_MILLIS + (restored ? RESTORED_CLAIM_DELAY_MILLIS : 0);
        }
        simulation.deliver(this, simulation.now + delay, this::claim);
    }

    private void claim() {
        StoreEra era = eras.current();
        if (!earlierHolder()) {
            if (holder == null) {
                createLease(era, 0);
            } else {
                claimPending = false;
            }
            return;
        }
        call(CallKind.READ, store -> store.read(ROLE, simulation.now), reply -> {
            boolean free = reply.entry() == null || name.equals(reply.entry().value());
            if (reply.outcome() == Outcome.DONE && free && era.equals(eras.current())) {
                createLease(era, reply.entry() == null ? 0 : reply.entry().revision());
            } else {
                retryClaim();
            }
        });
    }

    private void createLease(StoreEra era, long recordRevision) {
        long sentAt = simulation.now;
        call(CallKind.WRITE, store -> store.createLease(ROLE_TERM_MILLIS, simulation.now), created -> {
            if (created.outcome() != Outcome.DONE || !era.equals(eras.current())) {
                retryClaim();
                return;
            }
            ReturningStore.Write write =
                    new ReturningStore.Write(Map.of(ROLE, recordRevision), ROLE, name, created.lease());
            call(CallKind.WRITE, store -> store.write(write, simulation.now), reply -> {
                if (reply.outcome() == Outcome.DONE) {
                    startRole(created.lease(), reply.revision(), sentAt);
                    return;
                }
                if (reply.outcome() == Outcome.CONFLICT && era.equals(eras.current())) {
                    call(CallKind.WRITE, store -> store.endLease(created.lease(), simulation.now), ended -> {});
                }
                retryClaim();
            });
        });
    }

    private void retryClaim() {
        long delay = earlierHolder() ? RETRY_MILLIS : CLAIM_RETRY_MILLIS;
        simulation.deliver(this, simulation.now + delay, () -> claimPending = false);
    }

    private void startRole(long newLease, long revision, long sentAt) {
        claimPending = false;
        held = true;
        lease = newLease;
        roleRevision = revision;
        holder = name;
        guard.recordRenewal(sentAt, ROLE_TERM_MILLIS);
        nextRenewalAt = sentAt + RENEWAL_INTERVAL_MILLIS;
        renewalPending = false;
        roleTakenAt = simulation.now;
        coordinatedUntil = simulation.now;
        tableUncertain = false;
        coordination = null;
    }

    private void renew() {
        renewalPending = true;
        long sentAt = simulation.now;
        long renewedLease = lease;
        long renewedRevision = roleRevision;
        nextRenewalAt = sentAt + RENEWAL_INTERVAL_MILLIS;
        call(CallKind.WRITE, store -> store.renewLease(renewedLease, ROLE_TERM_MILLIS, simulation.now), reply -> {
            if (!held || renewedLease != lease || renewedRevision != roleRevision) {
                return;
            }
            renewalPending = false;
            if (reply.outcome() == Outcome.DONE) {
                guard.recordRenewal(sentAt, ROLE_TERM_MILLIS);
            } else if (reply.outcome() == Outcome.CONFLICT) {
                lose();
            } else {
                nextRenewalAt = simulation.now + RETRY_MILLIS;
            }
        });
    }

    private void lose() {
        held = false;
        guard.recordEnd();
        holder = null;
        coordination = null;
    }

    private void storeRestored(StoreEra earlier) {
        Map<ServiceName, KeyTable> tables = new HashMap<>();
        KeyTable exact = held && coordination != null ? coordination.exactTable() : null;
        if (exact != null) {
            tables.put(SERVICE, exact);
        }
        boolean valid = held && (guard.isValid() || simulation.withoutGuards.contains(Guard.LEASE_VALIDITY));
        if (held || !simulation.withoutGuards.contains(Guard.NEXT_ERA)) {
            retained.retain(tables, earlier, valid);
        }
        eraLearnedAt = simulation.now;
        returnSeen = true;
        if (held) {
            lose();
        }
    }

    /** Coordinates the keys while the role is held. */
    private final class Coordination implements KeyCoordinatorActions {
        private KeyCoordinator coordinator;
        private KeyTable startingTable;
        private long tableRevision;
        private long nextReadAt = Long.MAX_VALUE;
        private int ticks;

        private boolean isCurrent() {
            return held && coordination == this;
        }

        private KeyTable exactTable() {
            if (coordinator == null) {
                return startingTable;
            }
            return coordinator.table();
        }

        private void end() {
            coordination = null;
            if (coordinator != null) {
                coordinatedUntil = simulation.now;
            }
        }

        private void load() {
            nextReadAt = Long.MAX_VALUE;
            call(CallKind.READ, store -> store.read(TABLE, simulation.now), reply -> {
                if (!isCurrent()) {
                    return;
                }
                if (reply.outcome() != Outcome.DONE) {
                    end();
                    return;
                }
                KeyTable stored =
                        reply.entry() == null ? null : (KeyTable) reply.entry().value();
                tableRevision = reply.entry() == null ? 0 : reply.entry().revision();
                if (stored != null) {
                    owners.updateTable(stored);
                }
                follow(plan(stored));
            });
        }

        private TableRecovery.Plan plan(KeyTable stored) {
            StoreEra current = eras.current();
            boolean hideEra = stored != null && simulation.withoutGuards.contains(Guard.ERA_IN_TABLE);
            KeyTable shown = hideEra ? new KeyTable(stored.segments(), stored.nextToken(), current) : stored;
            long endAt = TableRecovery.earlierGrantsEndAt(
                    eraLearnedAt,
                    Math.max(roleTakenAt, coordinatedUntil),
                    ROLE_TERM_MILLIS,
                    StoreReturnSimulation.TIMING);
            TableRecovery.Plan plan = TableRecovery.plan(
                    new TableRecovery.Knowledge(
                            current,
                            shown,
                            findRetained(current),
                            owners.table(),
                            returnSeen,
                            simulation.withoutGuards.contains(Guard.WAIT) ? 0 : endAt),
                    simulation.now,
                    RETRY_MILLIS);
            simulation.plans.merge(plan.reason(), 1, Integer::sum);
            boolean newTokens =
                    plan.step() == TableRecovery.Step.WRITE && plan.reason() != TableRecovery.Reason.OWN_MEMORY;
            return newTokens && simulation.withoutGuards.contains(Guard.TOKEN_MARGIN)
                    ? withoutMargin(plan, stored)
                    : plan;
        }

        private TableRecovery.Plan withoutMargin(TableRecovery.Plan plan, KeyTable stored) {
            long token = Math.max(
                    stored == null ? 1 : stored.nextToken().value(),
                    owners.table().nextToken().value());
            List<KeySegment> segments = plan.table().segments().stream()
                    .map(segment -> new KeySegment(
                            segment.first(),
                            segment.last(),
                            segment.owner(),
                            segment.ownerStartedAtMillis(),
                            new FencingToken(token)))
                    .toList();
            KeyTable table = new KeyTable(
                    segments, new FencingToken(token + 1), plan.table().era());
            return new TableRecovery.Plan(plan.step(), plan.reason(), table, 0);
        }

        private void follow(TableRecovery.Plan plan) {
            if (plan.step() == TableRecovery.Step.READ_LATER) {
                nextReadAt = plan.readAt();
            } else if (plan.step() == TableRecovery.Step.USE && !tableUncertain) {
                start(plan);
            } else {
                startingTable = plan.table();
                write(plan.table(), () -> start(plan));
            }
        }

        private void start(TableRecovery.Plan plan) {
            retained.remove(SERVICE);
            coordinator = plan.start(StoreReturnSimulation.TIMING, this, simulation.now);
        }

        private void write(KeyTable table, Runnable whenDone) {
            ReturningStore.Write write =
                    new ReturningStore.Write(Map.of(ROLE, roleRevision, TABLE, tableRevision), TABLE, table, 0);
            call(CallKind.WRITE, store -> store.write(write, simulation.now), reply -> {
                if (reply.outcome() == Outcome.UNKNOWN) {
                    tableUncertain = true;
                }
                if (!isCurrent()) {
                    return;
                }
                if (reply.outcome() == Outcome.DONE) {
                    tableRevision = reply.revision();
                    tableUncertain &= coordinator != null;
                    owners.updateTable(table);
                    whenDone.run();
                } else {
                    end();
                }
            });
        }

        private void tick() {
            if (coordinator == null) {
                if (simulation.now >= nextReadAt) {
                    load();
                }
                return;
            }
            Map<BackendServerId, Double> capacities = new TreeMap<>();
            simulation.listed.keySet().stream()
                    .filter(id -> !simulation.draining.contains(id))
                    .forEach(id -> capacities.put(id, 1.0));
            coordinator.tick(
                    new KnownServers(simulation.listed, capacities, backend -> false, id -> false),
                    simulation.loads,
                    simulation.now);
            if (!simulation.quiet && ++ticks % MOVE_PERIOD_TICKS == 0) {
                moveOne(List.copyOf(capacities.keySet()));
            }
        }

        private void moveOne(List<BackendServerId> targets) {
            List<KeySegment> owned = coordinator.ownedSegments();
            if (!owned.isEmpty() && !targets.isEmpty()) {
                KeySegment segment = owned.get(simulation.random.nextInt(owned.size()));
                BackendServerId target = targets.get(simulation.random.nextInt(targets.size()));
                coordinator.startMoves(List.of(new KeyMove(segment.first(), segment.last(), target)), simulation.now);
            }
        }

        @Override
        public void grant(Backend server, KeySegment segment, String handover, boolean fencing) {
            long sendAt = simulation.now + simulation.random.nextInt(40);
            simulation.deliver(SimulatedRouter.this, sendAt, () -> {
                if (!isCurrent()) {
                    return;
                }
                if (!guard.isValid() || !coordinator.confirmGrantSend(segment, simulation.now)) {
                    coordinator.onGrantResult(segment, GrantResult.NOT_SENT, simulation.now);
                    return;
                }
                simulation.sendGrant(SimulatedRouter.this, server, segment, result -> {
                    if (isCurrent()) {
                        coordinator.onGrantResult(segment, result, simulation.now);
                    }
                });
            });
        }

        @Override
        public void release(Backend server, KeySegment segment) {
            simulation.sendRelease(SimulatedRouter.this, server, segment, confirmed -> {
                if (isCurrent()) {
                    coordinator.onReleaseResult(segment, confirmed, null, simulation.now);
                }
            });
        }

        @Override
        public void announce(KeySegment segment, boolean granted) {
            // The simulation has no requests.
        }

        @Override
        public void holdEnded(KeySegment segment, HoldEnd end) {
            // The simulation has no log.
        }

        @Override
        public void save(KeyTable table) {
            write(table, () -> coordinator.onTableSaved(simulation.now));
        }
    }
}
