package org.jackdawslip.internal.ownership;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.FencingToken;
import org.jackdawslip.InstanceId;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.bundle.BackendServer;
import org.jackdawslip.internal.bundle.Bundle;

/**
 * One entry instance as a member of its failure domain: who may send to each backend server, and who owns each range.
 *
 * <p>Driven by method calls that pass in monotonic milliseconds, which must not decrease; answers come through
 * {@link MemberEffects}. Every store call and every grant call must get exactly one result. Invariants: a range has at
 * most one owner at any time, a backend server without token checks has at most one sender, and a table version that
 * the successor acknowledged survives the loss of the coordinator. Not thread-safe; the caller serializes calls.
 *
 * <pre>{@code
 * DomainMember member = DomainMember.builder()
 *         .self(new InstanceId("entry-1")).domain(new FailureDomainId("ch-mitte-a"))
 *         .startId(random.nextLong()).startedAt(clock.millis())
 *         .effects(effects).random(random)
 *         .build();
 * member.onBundle(clock.millis(), bundle);
 * member.tick(clock.millis(), wallClock.millis());
 * }</pre>
 */
public final class DomainMember {

    private final MemberState state;
    private final CoordinatorLease lease;
    private final PermitHolder permits;
    private final PermitIssuer issuer;
    private final TablePublisher publisher;
    private final HomeKeeper homes;
    private final RangeAssigner assigner;
    private final SenderRights rights;
    private final Map<ServiceName, TreeMap<Long, RangeAssignment>> routes = new HashMap<>();
    private final Map<ServiceName, TreeMap<Long, HomeAssignment>> homeRoutes = new HashMap<>();
    private long nextHeartbeatAt;

    private DomainMember(Builder builder) {
        state = new MemberState(builder);
        lease = new CoordinatorLease(state);
        permits = new PermitHolder(state, lease);
        issuer = new PermitIssuer(state, lease);
        publisher = new TablePublisher(state, issuer);
        homes = new HomeKeeper(state);
        assigner = new RangeAssigner(state, publisher, homes);
        rights = new SenderRights(state, permits);
        nextHeartbeatAt = builder.startedAt;
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** A bundle came into force. */
    public void onBundle(long now, Bundle bundle) {
        state.bundle = Optional.of(bundle);
        state.announce = true;
        finish(now);
    }

    /** The platform's list of live instances of the own failure domain changed. */
    public void onPeers(long now, Set<InstanceId> peers) {
        Set<InstanceId> others = new TreeSet<>(peers);
        others.remove(state.self);
        state.detector.peers(now, others);
    }

    /** A heartbeat of a peer arrived. Answers it, and sends the peer a newer table if this instance may. */
    public void onHeartbeat(long now, Heartbeat heartbeat) {
        InstanceId from = heartbeat.from();
        if (from.equals(state.self)) {
            return;
        }
        state.detector.heard(now, from);
        state.peer(from).update(now, heartbeat);
        rights.heard(from, heartbeat.senders());
        heartbeat.coordinator().ifPresent(record -> adopt(now, record));
        if (lease.isCoordinator() && publisher.draft().isPresent()) {
            publisher.onHeartbeat(now, from).ifPresent(table -> act(now, table));
        }
        boolean promise = lease.promise(now, heartbeat);
        boolean consent = lease.consent(now, heartbeat);
        boolean permit = issuer.issue(now, heartbeat);
        state.effects.sendAnswer(
                from,
                new HeartbeatAnswer(
                        state.self,
                        heartbeat.sentAtMillis(),
                        permit,
                        permit && issuer.coversMove(now),
                        state.table.version(),
                        promise,
                        consent,
                        state.record.map(CoordinatorRecord::epoch).orElse(0L),
                        state.table.version(),
                        bundleVersion()));
        sendNewerTable(from, heartbeat.tableVersion());
        finish(now);
    }

    private void sendNewerTable(InstanceId to, TableVersion used) {
        if (state.record.isEmpty() || state.table.version().compareTo(used) <= 0) {
            return;
        }
        boolean toCoordinator = state.record.get().isCoordinator(to);
        boolean current = state.table.version().epoch() == state.record.get().epoch();
        if ((lease.isCoordinator() || lease.isSuccessor()) && (current || toCoordinator)) {
            state.effects.sendTable(to, state.table);
        }
    }

    /** An answer to an own heartbeat arrived. */
    public void onAnswer(long now, HeartbeatAnswer answer) {
        state.detector.heard(now, answer.from());
        lease.onAnswer(answer);
        permits.onAnswer(now, answer);
        finish(now);
    }

    /** A table arrived from a peer. */
    public void onTable(long now, InstanceId from, AssignmentTable table) {
        table.coordinator().ifPresent(record -> adopt(now, record));
        if (state.record.isEmpty()) {
            return;
        }
        CoordinatorRecord record = state.record.get();
        if (lease.isCoordinator()) {
            boolean copy = publisher.draft().isEmpty()
                    && record.isSuccessor(from)
                    && table.version().epoch() == record.epoch() - 1;
            if (copy) {
                startTerm(now, table, false);
            }
        } else if (record.names(from)
                && table.version().epoch() == record.epoch()
                && table.version().compareTo(state.table.version()) > 0) {
            useTable(now, table);
        }
        finish(now);
    }

    /** The coordinator record was read, or a watch reported a change; empty if there is none. */
    public void onCoordinatorRead(long now, Optional<CoordinatorRecord> stored) {
        lease.onRead(stored).ifPresent(start -> begin(now, start));
        finish(now);
    }

    /** The store did not answer a read of the coordinator record. */
    public void onCoordinatorUnreachable(long now) {
        lease.onReadFailed();
        finish(now);
    }

    /** A compare-and-swap of the coordinator record ended. */
    public void onCoordinatorSwap(long now, SwapResult result) {
        lease.onSwap(result);
        finish(now);
    }

    /** The homes of a service were read, or a watch reported a change; empty if there are none. */
    public void onHomesRead(long now, ServiceName service, Optional<HomesRecord> stored) {
        homes.onRead(service, stored);
        finish(now);
    }

    /** The store did not answer a read of homes. */
    public void onHomesUnreachable(long now, ServiceName service) {
        homes.onReadFailed(service);
        finish(now);
    }

    /** A compare-and-swap of homes ended. */
    public void onHomesSwap(long now, ServiceName service, SwapResult result) {
        homes.onSwap(service, result);
        finish(now);
    }

    /** A backend server accepted a grant call. */
    public void onGrantAccepted(long now, GrantCall call) {
        rights.accepted(now, call);
        finish(now);
    }

    /** A backend server refused a grant call because of a higher token. */
    public void onGrantRefused(
            long now, GrantCall call, FencingToken currentToken, Optional<InstanceId> currentSender) {
        rights.refused(now, call, currentToken, currentSender);
        finish(now);
    }

    /** A grant call was aborted without an answer. */
    public void onGrantUnanswered(long now, GrantCall call) {
        rights.unanswered(call);
        finish(now);
    }

    /** A leaving sender handed its registry for a backend server to this instance. */
    public void onHandedOver(long now, BackendServerId server) {
        rights.handedOver(server);
        finish(now);
    }

    /** Sets what the summary of an own backend server tells the others. */
    public void onLoad(BackendServerId server, int freeSlots, int queueLength, boolean accepting) {
        rights.load(server, freeSlots, queueLength, accepting);
    }

    /**
     * A sender reported the loads of its backend servers. Only the coordinator uses them; the successor keeps them, so
     * that it knows them when it takes over.
     */
    public void onRangeLoads(long now, RangeLoads loads) {
        assigner.onRangeLoads(now, loads);
    }

    /** Starts the planned stop of this instance: roles and rights go to others. */
    public void beginLeaving(long now) {
        state.leaving = true;
        state.announce = true;
        finish(now);
    }

    /**
     * Tells that this leaving instance has no request open. Only then the last instance of a failure domain gives up
     * its rights and writes a vacant record.
     */
    public void onDrained(long now) {
        state.drained = state.leaving;
        finish(now);
    }

    /** Does what is due. To be called every {@link Timing#TICK_MILLIS}. */
    public void tick(long now, long wallMillis) {
        rights.wall(now, wallMillis);
        state.nobodyLeft = state.candidates(now).stream().allMatch(state.self::equals);
        state.nobodyAlive = state.detector.peers().stream().noneMatch(peer -> state.alive(now, peer));
        state.coordinatorHeard = state.record
                .flatMap(CoordinatorRecord::coordinator)
                .filter(id -> !id.equals(state.self) && state.alive(now, id))
                .isPresent();
        state.allFenced = publisher.unfenced(now, false).isEmpty();
        lease.tick(now).ifPresent(record -> adopt(now, record));
        if (lease.isCoordinator() && publisher.draft().isEmpty()) {
            startWithoutCopy(now);
        }
        if (lease.mayMove(now) && publisher.draft().isPresent() && state.bundle.isPresent()) {
            publisher.tick(now);
            assigner.tick(now).ifPresent(table -> act(now, table));
        }
        rights.tick(now);
        rights.noteRanges(now);
        state.announce |= now >= nextHeartbeatAt;
        finish(now);
    }

    private void startWithoutCopy(long now) {
        Optional<InstanceId> successor = state.record.orElseThrow().successor();
        boolean none = successor.isEmpty() || withoutCopy(state.peer(successor.get()));
        if (none) {
            startTerm(now, AssignmentTable.EMPTY, true);
        }
    }

    /** A successor that knows the record and has no table of the epoch before has no copy to give. */
    private boolean withoutCopy(PeerState successor) {
        long epoch = state.record.orElseThrow().epoch();
        return successor.recordEpoch == epoch
                && (successor.tableVersion.equals(TableVersion.NONE) || successor.tableVersion.epoch() != epoch - 1);
    }

    private void adopt(long now, CoordinatorRecord record) {
        lease.adopt(record).ifPresent(start -> begin(now, start));
    }

    private void begin(long now, CoordinatorLease.Start start) {
        if (start == CoordinatorLease.Start.CONTINUE) {
            publisher.replacedSuccessor(now);
        } else if (start == CoordinatorLease.Start.SAME_SUCCESSOR) {
            publisher.keptSuccessor();
        } else if (start == CoordinatorLease.Start.INHERIT) {
            startTerm(now, state.table, false);
        } else {
            // A table from before may be older than what the last coordinator acted on.
            useTable(now, AssignmentTable.EMPTY);
            publisher.beginWithoutTable();
            issuer.begin(Math.max(now, lease.promiseGivenUntil()));
        }
    }

    private void startTerm(long now, AssignmentTable from, boolean withoutTable) {
        long predecessorOver = Math.max(now, lease.promiseGivenUntil());
        issuer.begin(predecessorOver);
        publisher.begin(now, from);
        if (withoutTable && lease.replacedSuccessorMayAct()) {
            // The lost table named the members that may act on permits of a successor replaced while it was cut off.
            publisher.notSeenSince(now, state.record.orElseThrow().epoch());
        }
        publisher.unawareOf(now, lease.unawareOfEpoch());
        homes.begin(from.homes());
        assigner.begin(withoutTable, predecessorOver);
    }

    private void act(long now, AssignmentTable table) {
        useTable(now, table);
        state.detector.peers().forEach(peer -> state.effects.sendTable(peer, table));
    }

    private void useTable(long now, AssignmentTable table) {
        state.table = table;
        state.announce = true;
        routes.clear();
        homeRoutes.clear();
        for (RangeAssignment entry : table.ranges()) {
            routes.computeIfAbsent(entry.service(), unused -> new TreeMap<>(Long::compareUnsigned))
                    .put(entry.range().first(), entry);
        }
        for (HomesRecord record : table.homes()) {
            TreeMap<Long, HomeAssignment> byFirst = new TreeMap<>(Long::compareUnsigned);
            record.homes().forEach(home -> byFirst.put(home.range().first(), home));
            homeRoutes.put(record.service(), byFirst);
        }
        rights.tableChanged(now);
        rights.noteRanges(now);
        state.effects.rightsChanged();
    }

    private void finish(long now) {
        if (!state.announce) {
            return;
        }
        state.announce = false;
        nextHeartbeatAt = now + Timing.HEARTBEAT_MILLIS;
        Heartbeat heartbeat = new Heartbeat(
                state.self,
                state.startId,
                bundleVersion(),
                state.table.version(),
                state.ownSummaries,
                state.leaving,
                now,
                issuer.ages(now),
                state.record,
                lease.asksConsent(now));
        state.detector.peers().forEach(peer -> state.effects.sendHeartbeat(peer, heartbeat));
    }

    private long bundleVersion() {
        return state.bundle.map(Bundle::version).orElse(0L);
    }

    /** Returns whether this instance is the coordinator of its failure domain. */
    public boolean isCoordinator() {
        return lease.isCoordinator();
    }

    /** Returns whether this instance is the successor of the coordinator. */
    public boolean isSuccessor() {
        return lease.isSuccessor();
    }

    /** Returns the newest known coordinator record. */
    public Optional<CoordinatorRecord> coordinator() {
        return state.record;
    }

    /** Returns the table in use. */
    public AssignmentTable table() {
        return state.table;
    }

    /** Returns the instance that sends to a backend server of the own failure domain. */
    public Optional<InstanceId> sender(long now, BackendServerId server) {
        return rights.sender(now, server);
    }

    /** Returns the other instance that should send to a backend server when this one leaves. */
    public Optional<InstanceId> nextSender(long now, BackendServerId server) {
        return RangePlanner.preferred(
                server.value(),
                state.candidates(now).stream()
                        .filter(id -> !id.equals(state.self))
                        .toList());
    }

    /** Returns what the sender of a backend server last told. */
    public Optional<SenderSummary> summary(long now, BackendServerId server) {
        return state.reported(now, server).map(MemberState.Reported::summary);
    }

    /** Returns where requests for a hash go. */
    public Route route(ServiceName service, long hash) {
        TreeMap<Long, HomeAssignment> byFirst = homeRoutes.get(service);
        if (byFirst == null || byFirst.floorEntry(hash) == null) {
            return Route.UNKNOWN;
        }
        Optional<FailureDomainId> home =
                Optional.of(byFirst.floorEntry(hash).getValue().failureDomain());
        return range(service, hash)
                .filter(entry -> entry.owner().isPresent())
                .map(entry -> new Route(home, entry.owner(), entry.token()))
                .orElse(new Route(home, Optional.empty(), FencingToken.NONE));
    }

    private Optional<RangeAssignment> range(ServiceName service, long hash) {
        TreeMap<Long, RangeAssignment> byFirst = routes.get(service);
        Map.Entry<Long, RangeAssignment> entry = byFirst == null ? null : byFirst.floorEntry(hash);
        return entry != null && entry.getValue().range().contains(hash)
                ? Optional.of(entry.getValue())
                : Optional.empty();
    }

    /** Returns the tokens for a request without a range; empty if this instance may not send now. */
    public Optional<SendRight> sendRight(long now, BackendServerId server) {
        return sendToken(now, server).map(token -> new SendRight(token, FencingToken.NONE, 0));
    }

    /** Returns the tokens for a request to the owner of a hash; empty if this instance may not send it now. */
    public Optional<SendRight> sendRight(long now, BackendServerId server, ServiceName service, long hash) {
        Optional<RangeAssignment> entry =
                range(service, hash).filter(found -> found.owner().equals(Optional.of(server)));
        if (entry.isEmpty()) {
            return Optional.empty();
        }
        return sendToken(now, server)
                .map(token -> new SendRight(token, entry.get().token(), rights.sinceWall(now, entry.get())));
    }

    private Optional<FencingToken> sendToken(long now, BackendServerId id) {
        BackendServer server =
                state.bundle.map(bundle -> bundle.backendServers().get(id)).orElse(null);
        if (server == null || !server.failureDomain().equals(state.domain) || !maySendTo(state.domain)) {
            return Optional.empty();
        }
        return rights.sendToken(now, server);
    }

    /** Returns whether new work may go to a failure domain. */
    public boolean maySendTo(FailureDomainId domain) {
        return state.bundle.isPresent() && state.bundle.get().inService(domain);
    }

    /**
     * Returns whether a leaving instance has handed over all roles and rights, or nobody is left to take them: then the
     * record is vacant or the store does not answer.
     */
    public boolean handedOverAll() {
        boolean role = lease.isCoordinator() || lease.isSuccessor() || lease.isWitness();
        // A released successor that ends before it shows the new epoch counts as unfenced until it restarts.
        boolean shown = !state.coordinatorHeard
                || state.record
                        .filter(record -> state.table.version().epoch() < record.epoch())
                        .isEmpty();
        return state.leaving && (!role && shown || lease.gaveUp()) && (!rights.holdsAny() || state.nobodyLeft);
    }

    /** Collects what a member needs. Not thread-safe. */
    public static final class Builder {
        InstanceId self;
        FailureDomainId domain;
        long startId;
        long startedAt;
        MemberEffects effects;
        RandomGenerator random;
        RuleVariant rules = RuleVariant.SAFE;

        private Builder() {}

        /** Sets the own instance id. */
        public Builder self(InstanceId value) {
            self = value;
            return this;
        }

        /** Sets the own failure domain. */
        public Builder domain(FailureDomainId value) {
            domain = value;
            return this;
        }

        /** Sets the number that tells this process from others of the same instance. */
        public Builder startId(long value) {
            startId = value;
            return this;
        }

        /** Sets the monotonic time at which the process started. */
        public Builder startedAt(long value) {
            startedAt = value;
            return this;
        }

        /** Sets the receiver of decisions. */
        public Builder effects(MemberEffects value) {
            effects = value;
            return this;
        }

        /** Sets the source of marks. */
        public Builder random(RandomGenerator value) {
            random = value;
            return this;
        }

        Builder rules(RuleVariant value) {
            rules = value;
            return this;
        }

        /**
         * Makes the member.
         *
         * @throws JackdawslipException with {@link ErrorCode#INVALID_ARGUMENT} if a part is missing
         */
        public DomainMember build() {
            require("self", self);
            require("domain", domain);
            require("effects", effects);
            require("random", random);
            return new DomainMember(this);
        }

        private static void require(String name, Object value) {
            if (Objects.isNull(value)) {
                throw new JackdawslipException(
                        ErrorCode.INVALID_ARGUMENT, "domain member needs " + name + ", which is not set");
            }
        }
    }
}
