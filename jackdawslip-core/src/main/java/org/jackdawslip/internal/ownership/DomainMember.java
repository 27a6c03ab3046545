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
 * One entry instance as a member of its failure domain. Determines which instance may send to each backend
 * server and which backend server owns each range.
 *
 * <p>The caller drives the member by method calls with the monotonic time in milliseconds, which must not
 * decrease. The member requests actions through {@link MemberEffects}. Every store call and every grant call
 * must get exactly one result. Invariants: a range has at most one owner at any time, a backend server
 * without token checks has at most one sender, and a table version that the successor acknowledged survives
 * the loss of the coordinator. Not thread-safe; the caller serializes calls.
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
    private final HomeAssigner homes;
    private final RangeAssigner assigner;
    private final SenderRights rights;
    private final Map<ServiceName, TreeMap<Long, RangeAssignment>> rangesByService = new HashMap<>();
    private final Map<ServiceName, TreeMap<Long, HomeAssignment>> homesByService = new HashMap<>();
    private long nextHeartbeatAt;

    private DomainMember(Builder builder) {
        state = new MemberState(builder);
        lease = new CoordinatorLease(state);
        permits = new PermitHolder(state, lease);
        issuer = new PermitIssuer(state, lease);
        publisher = new TablePublisher(state, issuer);
        homes = new HomeAssigner(state);
        assigner = new RangeAssigner(state, publisher, homes);
        rights = new SenderRights(state, permits);
        nextHeartbeatAt = builder.startedAt;
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Applies a bundle that came into force. */
    public void onBundle(long now, Bundle bundle) {
        state.bundle = Optional.of(bundle);
        state.heartbeatDue = true;
        sendDueHeartbeats(now);
    }

    /** Sets the live instances of the own failure domain, as the platform lists them. */
    public void onPeers(long now, Set<InstanceId> peers) {
        Set<InstanceId> others = new TreeSet<>(peers);
        others.remove(state.self);
        state.detector.peers(now, others);
    }

    /**
     * Processes a heartbeat of a peer: replies, and sends the peer a newer table if this instance has one to
     * publish.
     */
    public void onHeartbeat(long now, Heartbeat heartbeat) {
        InstanceId from = heartbeat.from();
        if (from.equals(state.self)) {
            return;
        }
        state.detector.recordMessage(now, from);
        state.peer(from).update(now, heartbeat);
        rights.onSummaries(from, heartbeat.senders());
        heartbeat.coordinator().ifPresent(record -> adoptRecord(now, record));
        if (lease.isCoordinator() && publisher.draft().isPresent()) {
            publisher.onHeartbeat(now, from).ifPresent(table -> useAndSendTable(now, table));
        }
        boolean promise = lease.givePromise(now, heartbeat);
        boolean consent = lease.giveConsent(now, heartbeat);
        boolean permit = issuer.issuePermit(now, heartbeat);
        state.effects.sendHeartbeatReply(
                from,
                new HeartbeatReply(
                        state.self,
                        heartbeat.sentAtMillis(),
                        permit,
                        permit && issuer.permitsCoverMove(now),
                        state.table.version(),
                        promise,
                        consent,
                        state.record.map(CoordinatorRecord::epoch).orElse(0L),
                        state.table.version(),
                        bundleVersion()));
        sendNewerTable(from, heartbeat.tableVersion());
        sendDueHeartbeats(now);
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

    /** Processes a reply to an own heartbeat. */
    public void onHeartbeatReply(long now, HeartbeatReply reply) {
        state.detector.recordMessage(now, reply.from());
        lease.onHeartbeatReply(reply);
        permits.onHeartbeatReply(now, reply);
        sendDueHeartbeats(now);
    }

    /** Processes a table from a peer. */
    public void onTable(long now, InstanceId from, AssignmentTable table) {
        table.coordinator().ifPresent(record -> adoptRecord(now, record));
        if (state.record.isEmpty()) {
            return;
        }
        CoordinatorRecord record = state.record.get();
        if (lease.isCoordinator()) {
            boolean isPredecessorTable = publisher.draft().isEmpty()
                    && record.isSuccessor(from)
                    && table.version().epoch() == record.epoch() - 1;
            if (isPredecessorTable) {
                startTerm(now, table, false);
            }
        } else if (record.names(from)
                && table.version().epoch() == record.epoch()
                && table.version().compareTo(state.table.version()) > 0) {
            useTable(now, table);
        }
        sendDueHeartbeats(now);
    }

    /**
     * Processes the coordinator record after a read or a change that a watch reported; empty if there is
     * none.
     */
    public void onCoordinatorRead(long now, Optional<CoordinatorRecord> stored) {
        lease.onRead(stored).ifPresent(start -> beginTerm(now, start));
        sendDueHeartbeats(now);
    }

    /** Processes a read of the coordinator record that failed because the store did not respond. */
    public void onCoordinatorUnreachable(long now) {
        lease.onReadFailed();
        sendDueHeartbeats(now);
    }

    /**
     * Reads the homes records again, because the store was unreachable and may have come back from an earlier
     * copy.
     */
    public void onStoreReconnected(long now) {
        homes.onStoreReconnected();
        sendDueHeartbeats(now);
    }

    /** Processes the result of a compare-and-swap of the coordinator record. */
    public void onCoordinatorSwap(long now, SwapResult result) {
        lease.onSwap(result);
        sendDueHeartbeats(now);
    }

    /**
     * Processes the homes record of a service after a read or a change that a watch reported; empty if there
     * is none.
     */
    public void onHomesRead(long now, ServiceName service, Optional<HomesRecord> stored) {
        homes.onRead(service, stored);
        sendDueHeartbeats(now);
    }

    /** Processes a read of a homes record that failed because the store did not respond. */
    public void onHomesUnreachable(long now, ServiceName service) {
        homes.onReadFailed(service);
        sendDueHeartbeats(now);
    }

    /** Processes the result of a compare-and-swap of a homes record. */
    public void onHomesSwap(long now, ServiceName service, SwapResult result) {
        homes.onSwap(service, result);
        sendDueHeartbeats(now);
    }

    /** Processes the acceptance of a grant call by a backend server. */
    public void onGrantAccepted(long now, GrantCall call) {
        rights.onAccepted(now, call);
        sendDueHeartbeats(now);
    }

    /** Processes the rejection of a grant call by a backend server that has accepted a higher token. */
    public void onGrantRejected(
            long now, GrantCall call, FencingToken currentToken, Optional<InstanceId> currentSender) {
        rights.onRejected(now, call, currentToken, currentSender);
        sendDueHeartbeats(now);
    }

    /** Processes a grant call that was aborted without a response. */
    public void onGrantUnanswered(long now, GrantCall call) {
        rights.onNoResponse(call);
        sendDueHeartbeats(now);
    }

    /** Records that a leaving sender has handed its registry for a backend server to this instance. */
    public void onHandedOver(long now, BackendServerId server) {
        rights.onHandover(server);
        sendDueHeartbeats(now);
    }

    /**
     * Sets the load that this instance reports to the other instances for a backend server that it sends to.
     */
    public void onLoad(BackendServerId server, int freeSlots, int queueLength, boolean accepting) {
        rights.setLoad(server, freeSlots, queueLength, accepting);
    }

    /**
     * Processes a load report of a sender. Only the coordinator uses load reports; the successor keeps them
     * so that they are available after a takeover.
     */
    public void onRangeLoads(long now, RangeLoads loads) {
        assigner.onRangeLoads(now, loads);
    }

    /** Starts the planned stop of this instance, which hands its roles and rights over to other instances. */
    public void beginLeaving(long now) {
        state.leaving = true;
        state.heartbeatDue = true;
        sendDueHeartbeats(now);
    }

    /**
     * Records that this leaving instance has no open request. The last instance of a failure domain releases
     * its rights and writes a vacant record only after that.
     */
    public void onDrained(long now) {
        state.drained = state.leaving;
        sendDueHeartbeats(now);
    }

    /**
     * Performs all actions that are due. Must be called every {@link Timing#TICK_MILLIS}.
     *
     * @param now the monotonic time in milliseconds
     * @param wallMillis the wall clock in milliseconds since the epoch
     */
    public void tick(long now, long wallMillis) {
        rights.setWallClock(now, wallMillis);
        state.noOtherCandidate = state.candidates(now).stream().allMatch(state.self::equals);
        state.noOtherAlive = state.detector.peers().stream().noneMatch(peer -> state.isAlive(now, peer));
        state.coordinatorAlive = state.record
                .flatMap(CoordinatorRecord::coordinator)
                .filter(id -> !id.equals(state.self) && state.isAlive(now, id))
                .isPresent();
        state.allFenced = publisher.unfenced(now, false).isEmpty();
        lease.tick(now).ifPresent(record -> adoptRecord(now, record));
        if (lease.isCoordinator() && publisher.draft().isEmpty()) {
            startTermIfNoCopy(now);
        }
        if (lease.mayPublish(now) && publisher.draft().isPresent() && state.bundle.isPresent()) {
            publisher.tick(now);
            assigner.tick(now).ifPresent(table -> useAndSendTable(now, table));
        }
        rights.tick(now);
        rights.recordRangeStarts(now);
        state.heartbeatDue |= now >= nextHeartbeatAt;
        sendDueHeartbeats(now);
    }

    /** Starts the term with an empty table if the successor has no copy of the previous table to send. */
    private void startTermIfNoCopy(long now) {
        Optional<InstanceId> successor = state.record.orElseThrow().successor();
        boolean noCopy = successor.isEmpty() || hasNoCopy(state.peer(successor.get()));
        if (noCopy) {
            startTerm(now, AssignmentTable.EMPTY, true);
        }
    }

    /** Returns whether a successor has the current record but no table of the previous epoch. */
    private boolean hasNoCopy(PeerState successor) {
        long epoch = state.record.orElseThrow().epoch();
        return successor.recordEpoch == epoch
                && (successor.tableVersion.equals(TableVersion.NONE) || successor.tableVersion.epoch() != epoch - 1);
    }

    private void adoptRecord(long now, CoordinatorRecord record) {
        lease.adopt(record).ifPresent(start -> beginTerm(now, start));
    }

    /** Continues or starts a term after this instance became coordinator by a record. */
    private void beginTerm(long now, CoordinatorLease.TermStart start) {
        if (start == CoordinatorLease.TermStart.NEW_SUCCESSOR) {
            publisher.onSuccessorReplaced(now);
        } else if (start == CoordinatorLease.TermStart.SAME_SUCCESSOR) {
            publisher.onSuccessorKept();
        } else if (start == CoordinatorLease.TermStart.WITH_TABLE) {
            startTerm(now, state.table, false);
        } else {
            // A table that this instance used earlier may be older than the last one of the previous
            // coordinator.
            useTable(now, AssignmentTable.EMPTY);
            publisher.awaitTable();
            issuer.beginTerm(Math.max(now, lease.promiseGivenUntil()));
        }
    }

    /** Starts a term of this coordinator from a table, which is empty if the previous one was lost. */
    private void startTerm(long now, AssignmentTable inherited, boolean withoutTable) {
        long predecessorExpiresAt = Math.max(now, lease.promiseGivenUntil());
        issuer.beginTerm(predecessorExpiresAt);
        publisher.beginTerm(now, inherited);
        if (withoutTable && lease.replacedSuccessorMayAct()) {
            // The lost table listed the members that may hold permits of a successor that was replaced while
            // unreachable.
            publisher.addKnownUnfencedBehind(now, state.record.orElseThrow().epoch());
        }
        publisher.addUnfencedBehind(now, lease.formerSuccessorEpoch());
        homes.beginTerm(inherited.homes());
        assigner.beginTerm(withoutTable, predecessorExpiresAt);
    }

    /** Uses a table whose publication the successor acknowledged, and sends it to all members. */
    private void useAndSendTable(long now, AssignmentTable table) {
        useTable(now, table);
        state.detector.peers().forEach(peer -> state.effects.sendTable(peer, table));
    }

    /** Makes a table the one in use, and applies its routes and rights. */
    private void useTable(long now, AssignmentTable table) {
        state.table = table;
        state.heartbeatDue = true;
        rangesByService.clear();
        homesByService.clear();
        for (RangeAssignment entry : table.ranges()) {
            rangesByService
                    .computeIfAbsent(entry.service(), unused -> new TreeMap<>(Long::compareUnsigned))
                    .put(entry.range().first(), entry);
        }
        for (HomesRecord record : table.homes()) {
            TreeMap<Long, HomeAssignment> byFirst = new TreeMap<>(Long::compareUnsigned);
            record.homes().forEach(home -> byFirst.put(home.range().first(), home));
            homesByService.put(record.service(), byFirst);
        }
        rights.onTableChanged(now);
        rights.recordRangeStarts(now);
        state.effects.rightsChanged();
    }

    /** Sends a heartbeat to every peer if one is due. Called at the end of every input. */
    private void sendDueHeartbeats(long now) {
        if (!state.heartbeatDue) {
            return;
        }
        state.heartbeatDue = false;
        nextHeartbeatAt = now + Timing.HEARTBEAT_MILLIS;
        Heartbeat heartbeat = new Heartbeat(
                state.self,
                state.startId,
                bundleVersion(),
                state.table.version(),
                state.ownSummaries,
                state.leaving,
                now,
                issuer.permitAges(now),
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

    /** Returns the newest coordinator record that this instance has. */
    public Optional<CoordinatorRecord> coordinator() {
        return state.record;
    }

    /** Returns the table in use. */
    public AssignmentTable table() {
        return state.table;
    }

    /**
     * Returns the instance that sends to a backend server of the own failure domain, as far as this
     * instance has observed it.
     */
    public Optional<InstanceId> sender(long now, BackendServerId server) {
        return rights.sender(now, server);
    }

    /** Returns the instance that should send to a backend server after this one has left. */
    public Optional<InstanceId> nextSender(long now, BackendServerId server) {
        return RangePlanner.preferred(
                server.value(),
                state.candidates(now).stream()
                        .filter(id -> !id.equals(state.self))
                        .toList());
    }

    /** Returns the newest state that the sender of a backend server reported. */
    public Optional<SenderSummary> summary(long now, BackendServerId server) {
        return state.newestReport(now, server).map(MemberState.ReportedSummary::summary);
    }

    /** Returns the destination of requests for a hash. */
    public Route route(ServiceName service, long hash) {
        TreeMap<Long, HomeAssignment> byFirst = homesByService.get(service);
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
        TreeMap<Long, RangeAssignment> byFirst = rangesByService.get(service);
        Map.Entry<Long, RangeAssignment> entry = byFirst == null ? null : byFirst.floorEntry(hash);
        return entry != null && entry.getValue().range().contains(hash)
                ? Optional.of(entry.getValue())
                : Optional.empty();
    }

    /** Returns the tokens for a request without a range; empty if this instance may not send now. */
    public Optional<SendRight> sendRight(long now, BackendServerId server) {
        return sendToken(now, server).map(token -> new SendRight(token, FencingToken.NONE, 0));
    }

    /**
     * Returns the tokens for a request to the owner of a hash; empty if this instance may not send it now.
     */
    public Optional<SendRight> sendRight(long now, BackendServerId server, ServiceName service, long hash) {
        Optional<RangeAssignment> entry =
                range(service, hash).filter(found -> found.owner().equals(Optional.of(server)));
        if (entry.isEmpty()) {
            return Optional.empty();
        }
        return sendToken(now, server)
                .map(token -> new SendRight(token, entry.get().token(), rights.rangeSinceWallMillis(now, entry.get())));
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
     * Returns whether a leaving instance has handed over all roles and rights, or no other instance can take
     * them. In the latter case the record is vacant or the store does not respond.
     */
    public boolean handedOverAll() {
        boolean holdsRole = lease.isCoordinator() || lease.isSuccessor() || lease.isWitness();
        // A replaced successor that ends before its heartbeats show the new epoch stays unfenced until it
        // restarts.
        boolean epochShown = !state.coordinatorAlive
                || state.record
                        .filter(record -> state.table.version().epoch() < record.epoch())
                        .isEmpty();
        return state.leaving
                && (!holdsRole && epochShown || lease.cannotHandOver())
                && (!rights.holdsAny() || state.noOtherCandidate);
    }

    /** Builds a member. Not thread-safe. */
    public static final class Builder {
        InstanceId self;
        FailureDomainId domain;
        long startId;
        long startedAt;
        MemberEffects effects;
        RandomGenerator random;
        SafetyRules rules = SafetyRules.ALL;

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

        /** Sets the number that distinguishes this process from other processes of the same instance. */
        public Builder startId(long value) {
            startId = value;
            return this;
        }

        /** Sets the monotonic time in milliseconds at which the process started. */
        public Builder startedAt(long value) {
            startedAt = value;
            return this;
        }

        /** Sets the implementation of the actions that the member requests. */
        public Builder effects(MemberEffects value) {
            effects = value;
            return this;
        }

        /** Sets the random source of the marks in store records. */
        public Builder random(RandomGenerator value) {
            random = value;
            return this;
        }

        Builder rules(SafetyRules value) {
            rules = value;
            return this;
        }

        /**
         * Builds the member.
         *
         * @throws JackdawslipException with {@link ErrorCode#INVALID_ARGUMENT} if a required value is missing
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
                        ErrorCode.INVALID_ARGUMENT, "domain member cannot be built: " + name + " is not set");
            }
        }
    }
}
