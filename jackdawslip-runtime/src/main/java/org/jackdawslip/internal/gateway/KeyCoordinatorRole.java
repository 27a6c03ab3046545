package org.jackdawslip.internal.gateway;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.jackdawslip.BackendServerId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.Backend;
import org.jackdawslip.internal.balance.BackendTracker;
import org.jackdawslip.internal.keyspace.GrantResult;
import org.jackdawslip.internal.keyspace.HoldEnd;
import org.jackdawslip.internal.keyspace.KeyCoordinator;
import org.jackdawslip.internal.keyspace.KeyCoordinatorActions;
import org.jackdawslip.internal.keyspace.KeyLoads;
import org.jackdawslip.internal.keyspace.KeyMove;
import org.jackdawslip.internal.keyspace.KeyMoveAnnouncement;
import org.jackdawslip.internal.keyspace.KeyRebalancer;
import org.jackdawslip.internal.keyspace.KeySegment;
import org.jackdawslip.internal.keyspace.KeyTable;
import org.jackdawslip.internal.keyspace.KeyTiming;
import org.jackdawslip.internal.keyspace.KnownServers;
import org.jackdawslip.internal.keyspace.OwnerCandidates;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.membership.InstanceOrder;
import org.jackdawslip.internal.time.LeaseGuard;
import org.jackdawslip.internal.time.MonotonicClock;
import org.jackdawslip.internal.traffic.ServiceConfig;

/**
 * Competes for the role of key coordinator and, while this instance holds the role, carries out the decisions
 * of the key coordinator of each service.
 *
 * <p>The role is a record in the store that is bound to a lease. Invariants: ownership calls are sent only
 * while the lease is certainly valid; an owner table is written only under the condition that the role record
 * and the previous table are unchanged; a table read from the store is used only if no earlier write of this
 * instance can still replace that table. Confined to the event loop.
 */
final class KeyCoordinatorRole {

    private static final String ROLE_RECORD = "custodian";
    private static final String TABLE_RECORD_PREFIX = "keys/";
    /**
     * Term of the lease of the role. After a failure of the holder a successor takes over within this time.
     */
    private static final long ROLE_TERM_MILLIS = 2_500;
    /** Two renewals in a row may fail before the lease of the role expires. */
    private static final long ROLE_RENEWAL_INTERVAL_MILLIS = 700;
    /** Interval between two checks of all key segments. */
    private static final long TICK_INTERVAL_MILLIS = 40;
    /** Interval between two rounds of key moves because of load. */
    private static final long REBALANCE_INTERVAL_MILLIS = 700;
    /** Requests per possible owner that must have been counted before keys are moved because of load. */
    private static final double MIN_REQUESTS_PER_OWNER = 2;
    /** Limit of the random part of the delay before an attempt to claim a free role. */
    private static final int MAX_CLAIM_DELAY_MILLIS = 250;
    /** Delay for each instance whose turn to claim the role is earlier. */
    private static final long CLAIM_RANK_DELAY_MILLIS = 300;
    /** Instances after this rank do not wait longer, in case those before it do not run. */
    private static final int MAX_CLAIM_RANK = 4;
    /** Delay after a failed attempt to claim the role. */
    private static final long CLAIM_RETRY_DELAY_MILLIS = 700;
    /**
     * Term of grants unless the platform's limit is lower; longer than a takeover of the role and than short
     * outages of the store.
     */
    private static final long GRANT_TERM_MILLIS = 7_000;
    /** Interval between grant renewals. The interval plus the longest takeover is shorter than the term. */
    private static final long GRANT_RENEWAL_INTERVAL_MILLIS = 2_800;
    /** Timeout for each page when an owner table is read. */
    private static final long TABLE_PAGE_TIMEOUT_MILLIS = 1_000;
    /** Delay before an ownership call or a renewal of the role without a response is repeated. */
    private static final long RETRY_DELAY_MILLIS = 300;

    private static final int STATUS_OK = 200;
    private static final int STATUS_CONFLICT = 409;

    private final GatewayContext context;
    private final InstanceId self;
    private final GatewaySettings.PlatformLimits platformLimits;
    private final DurableStore store;
    private final PlatformAdapter adapter;
    private final EventLoop loop;
    private final MonotonicClock clock;
    private final EventLog log;
    private final RoutingState routing;
    private final BackendDirectory directory;
    private final PlatformView view;
    private final LeaseGuard leaseGuard;
    private final OwnershipCallQueues ownershipCalls;
    private final Random random;
    private final Consumer<KeyMoveAnnouncement> moveAnnouncer;
    private final Map<ServiceName, KeyLoads> keyLoads = new HashMap<>();
    private final Map<ServiceName, CoordinatedService> coordinatedServices = new HashMap<>();
    /** Services whose table may still be replaced by a write of this instance that had no response. */
    private final Set<ServiceName> servicesWithUncertainTable = new HashSet<>();

    /** The live instances, which may all claim the role. */
    private List<InstanceOrder.Candidate> candidates = List.of();

    private InstanceId roleHolder;
    private long roleLease;
    private long roleRevision;
    private boolean claimPending;
    private boolean roleHeld;
    private boolean stopped;
    private long nextRenewalAt;
    private boolean renewalPending;
    private long nextRebalanceAt;

    KeyCoordinatorRole(
            GatewayContext context,
            RoutingState routing,
            BackendDirectory directory,
            PlatformView view,
            LeaseGuard leaseGuard,
            InternalHttpClient ownershipClient,
            Random random,
            Consumer<KeyMoveAnnouncement> moveAnnouncer) {
        this.context = context;
        this.self = context.settings().instance();
        this.platformLimits = context.settings().platformLimits();
        this.store = context.store();
        this.adapter = context.adapter();
        this.loop = context.loop();
        this.clock = context.clock();
        this.log = context.log();
        this.routing = routing;
        this.directory = directory;
        this.view = view;
        this.leaseGuard = leaseGuard;
        this.ownershipCalls =
                new OwnershipCallQueues(ownershipClient, adapter.headers(), () -> roleHeld && leaseGuard.isValid());
        this.random = random;
        this.moveAnnouncer = moveAnnouncer;
    }

    /** Starts the periodic checks. */
    void start() {
        context.every(TICK_INTERVAL_MILLIS, "key-control", this::tick);
    }

    /** Sets the live instances. */
    void setLivePeers(Map<InstanceId, PeerExchange.Peer> live) {
        candidates = live.entrySet().stream()
                .map(entry -> entry.getValue().candidate(entry.getKey()))
                .toList();
    }

    /** Returns the instance that holds the role of key coordinator, or null if none is known. */
    InstanceId roleHolder() {
        return roleHolder;
    }

    /**
     * Applies a change of one of this router's own records.
     *
     * @param value the content, or null if the record was removed
     * @return whether the record concerns the role or an owner table
     */
    boolean applyRecord(String name, byte[] value, long revision) {
        if (name.equals(ROLE_RECORD)) {
            roleHolder = value == null ? null : new InstanceId(new String(value, StandardCharsets.UTF_8));
            log.info("custodian-changed", "custodian", roleHolder, "revision", revision);
            if (roleHeld && !self.equals(roleHolder) && revision > roleRevision) {
                loseRole("another instance holds the role");
            }
            return true;
        }
        if (!name.startsWith(TABLE_RECORD_PREFIX)) {
            return false;
        }
        ServiceName service = new ServiceName(name.substring(TABLE_RECORD_PREFIX.length()));
        if (value != null) {
            routing.ownerView(service).updateTable(KeyTableCodec.decode(value));
            CoordinatedService coordinatedService = coordinatedServices.get(service);
            if (coordinatedService != null
                    && revision > coordinatedService.tableRevision
                    && !coordinatedService.writePending) {
                log.warn("owner-table-changed-by-other", "service", service, "revision", revision);
                coordinatedServices.remove(service);
            }
        }
        return true;
    }

    /** Counts one request for a key. Refused requests count as well, because they are excess load. */
    void recordKeyUse(ServiceName service, int slot) {
        if (roleHeld) {
            keyLoads.computeIfAbsent(service, name -> new KeyLoads()).add(slot, 1, clock.millis());
        }
    }

    private void tick() {
        if (stopped) {
            return;
        }
        long now = clock.millis();
        if (!roleHeld) {
            claimIfFree();
            return;
        }
        if (now >= nextRenewalAt && !renewalPending) {
            renew(now);
        }
        if (!leaseGuard.isValid()) {
            return;
        }
        for (ServiceConfig service : keyedServices()) {
            CoordinatedService coordinatedService = coordinatedServices.get(service.name());
            if (coordinatedService == null) {
                coordinatedService = new CoordinatedService(service.name());
                coordinatedServices.put(service.name(), coordinatedService);
                coordinatedService.loadTable();
            }
            coordinatedService.tick(now);
        }
        if (now >= nextRebalanceAt) {
            nextRebalanceAt = now + REBALANCE_INTERVAL_MILLIS;
            coordinatedServices.values().forEach(coordinatedService -> coordinatedService.rebalance(now));
        }
    }

    private List<ServiceConfig> keyedServices() {
        return routing.config() == null
                ? List.of()
                : routing.config().services().values().stream()
                        .filter(ServiceConfig::keyed)
                        .toList();
    }

    private void claimIfFree() {
        if (!claimPending
                && roleHolder == null
                && view.synced()
                && view.isServedDirectly()
                && !keyedServices().isEmpty()) {
            claimPending = true;
            loop.schedule(this::claim, claimDelayMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Returns the delay before an attempt to claim the role. Most instances learn of the new holder before their turn
     * and make no attempt. The instance with the largest bandwidth is the first, because a coordinator whose link is
     * occupied by a large change gets no answers to its ownership calls, and the keys lose their owners.
     */
    private long claimDelayMillis() {
        int rank =
                Math.min(MAX_CLAIM_RANK, InstanceOrder.rank(context.settings().candidate(), candidates));
        return rank * CLAIM_RANK_DELAY_MILLIS + random.nextInt(MAX_CLAIM_DELAY_MILLIS);
    }

    private void claim() {
        if (roleHolder != null || stopped) {
            claimPending = false;
            return;
        }
        long sentAt = clock.millis();
        store.createLease(ROLE_TERM_MILLIS, leaseResult -> {
            view.recordCallResult(leaseResult.status());
            if (leaseResult.status() != DurableStore.Status.DONE || roleHolder != null) {
                retryClaimLater(leaseResult.lease());
                return;
            }
            String key = adapter.routerRecordKey(ROLE_RECORD);
            DurableStore.Transaction transaction = new DurableStore.Transaction(
                    List.of(new DurableStore.StoreRecord(key, null, 0)),
                    List.of(new DurableStore.StoreRecord(key, self.value().getBytes(StandardCharsets.UTF_8), 0)),
                    leaseResult.lease());
            store.commit(transaction, result -> {
                if (result.status() == DurableStore.Status.DONE) {
                    startRole(leaseResult, result.revision(), sentAt);
                } else {
                    retryClaimLater(leaseResult.lease());
                }
            });
        });
    }

    private void startRole(DurableStore.Result leaseResult, long revision, long sentAt) {
        claimPending = false;
        roleHeld = true;
        roleLease = leaseResult.lease();
        roleRevision = revision;
        roleHolder = self;
        leaseGuard.recordRenewal(sentAt, leaseResult.leaseMillis());
        nextRenewalAt = sentAt + ROLE_RENEWAL_INTERVAL_MILLIS;
        nextRebalanceAt = clock.millis() + REBALANCE_INTERVAL_MILLIS;
        coordinatedServices.clear();
        // Earlier table writes can no longer succeed, because the store refuses writes that are conditional on
        // an earlier version of the role record.
        servicesWithUncertainTable.clear();
        log.info("custodian-role-taken", "revision", revision, "leaseMillis", leaseResult.leaseMillis());
    }

    private void retryClaimLater(long unusedLease) {
        if (unusedLease != 0) {
            store.endLease(unusedLease, endResult -> view.recordCallResult(endResult.status()));
        }
        loop.schedule(() -> claimPending = false, CLAIM_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void renew(long now) {
        renewalPending = true;
        nextRenewalAt = now + ROLE_RENEWAL_INTERVAL_MILLIS;
        store.renewLease(roleLease, result -> {
            renewalPending = false;
            view.recordCallResult(result.status());
            if (!roleHeld) {
                return;
            }
            if (result.status() == DurableStore.Status.DONE) {
                leaseGuard.recordRenewal(now, ROLE_TERM_MILLIS);
            } else if (result.status() == DurableStore.Status.CONFLICT) {
                loseRole("the lease of the role has expired");
            } else {
                nextRenewalAt = clock.millis() + RETRY_DELAY_MILLIS;
            }
        });
    }

    private void loseRole(String reason) {
        log.warn("custodian-role-lost", "reason", reason, "revision", roleRevision);
        roleHeld = false;
        leaseGuard.recordEnd();
        ownershipCalls.clear();
        coordinatedServices.clear();
        keyLoads.clear();
        if (self.equals(roleHolder)) {
            roleHolder = null;
        }
    }

    /** Gives up the role, because the store came back from an earlier copy and the lease may be gone. */
    void storeRestored() {
        if (roleHeld) {
            loseRole("the store came back from an earlier copy");
        }
    }

    /** Ends the lease of the role, so that another instance can take over without waiting for the expiry. */
    void stop() {
        stopped = true;
        if (roleHeld) {
            log.info("custodian-role-given-up", "revision", roleRevision);
            roleHeld = false;
            leaseGuard.recordEnd();
            store.endLease(roleLease, endResult -> view.recordCallResult(endResult.status()));
        }
    }

    /** Runs the key coordinator of one service and carries out its decisions. */
    private final class CoordinatedService implements KeyCoordinatorActions {
        private final ServiceName service;
        private KeyCoordinator coordinator;
        private long tableRevision;
        private boolean writePending;

        CoordinatedService(ServiceName service) {
            this.service = service;
        }

        private String tableKey() {
            return adapter.routerRecordKey(TABLE_RECORD_PREFIX + service);
        }

        private boolean isCurrent() {
            return roleHeld && coordinatedServices.get(service) == this;
        }

        private void loadTable() {
            store.readAll(tableKey(), TABLE_PAGE_TIMEOUT_MILLIS, result -> {
                if (!isCurrent()) {
                    return;
                }
                if (result.status() != DurableStore.Status.DONE) {
                    coordinatedServices.remove(service);
                    return;
                }
                KeyTable table = KeyTable.empty();
                for (DurableStore.StoreRecord storeRecord : result.records()) {
                    if (storeRecord.key().equals(tableKey())) {
                        tableRevision = storeRecord.revision();
                        try {
                            table = KeyTableCodec.decode(storeRecord.value());
                        } catch (JackdawslipException e) {
                            // Fencing tokens must increase, so nothing is granted until the record is valid
                            // and was loaded.
                            log.warn("owner-table-unreadable", "service", service, "problem", e.getMessage());
                            return;
                        }
                        routing.ownerView(service).updateTable(table);
                    }
                }
                if (servicesWithUncertainTable.contains(service)) {
                    supersedeEarlierWrite(table);
                } else {
                    startCoordinator(table);
                }
            });
        }

        /**
         * Writes the table that was just read back unchanged. The store may still carry out an earlier write
         * without a response, until the revision in the condition of that write is replaced.
         */
        private void supersedeEarlierWrite(KeyTable table) {
            writeTable(table, result -> {
                log.info("owner-table-settled", "service", service, "status", result.status());
                if (!isCurrent()) {
                    return;
                }
                if (result.status() == DurableStore.Status.DONE) {
                    tableRevision = result.revision();
                    servicesWithUncertainTable.remove(service);
                    startCoordinator(table);
                } else {
                    coordinatedServices.remove(service);
                }
            });
        }

        private void startCoordinator(KeyTable table) {
            coordinator = new KeyCoordinator(keyTiming(), this, table, clock.millis());
            log.info(
                    "owner-table-loaded",
                    "service",
                    service,
                    "segments",
                    table.segments().size(),
                    "nextToken",
                    table.nextToken(),
                    "revision",
                    tableRevision,
                    "known",
                    routing.ownerView(service).table().nextToken());
        }

        private void writeTable(KeyTable table, Consumer<DurableStore.Result> whenDone) {
            writePending = true;
            DurableStore.Transaction transaction = new DurableStore.Transaction(
                    List.of(
                            new DurableStore.StoreRecord(adapter.routerRecordKey(ROLE_RECORD), null, roleRevision),
                            new DurableStore.StoreRecord(tableKey(), null, tableRevision)),
                    List.of(new DurableStore.StoreRecord(tableKey(), KeyTableCodec.encode(table), 0)),
                    0);
            store.commit(transaction, result -> {
                writePending = false;
                view.recordCallResult(result.status());
                if (result.status() == DurableStore.Status.UNKNOWN) {
                    servicesWithUncertainTable.add(service);
                }
                whenDone.accept(result);
            });
        }

        private KeyTiming keyTiming() {
            long termMillis = Math.min(GRANT_TERM_MILLIS, platformLimits.maxGrantTermMillis());
            // After a restart under the same id, the new listing must arrive before the server gets another grant.
            long regrantDelayMillis = Math.max(RETRY_DELAY_MILLIS, 2 * platformLimits.heartbeatIntervalMillis());
            return new KeyTiming(
                    termMillis,
                    Math.min(GRANT_RENEWAL_INTERVAL_MILLIS, 2 * termMillis / 5),
                    regrantDelayMillis,
                    RETRY_DELAY_MILLIS);
        }

        private KeyLoads serviceLoads() {
            return keyLoads.computeIfAbsent(service, name -> new KeyLoads());
        }

        private void tick(long now) {
            if (coordinator == null) {
                return;
            }
            Map<BackendServerId, Backend> listed = new HashMap<>();
            directory.backends(service).forEach(backend -> listed.put(backend.id(), backend));
            coordinator.tick(
                    new KnownServers(listed, capacities(now), directory::isAddressTaken, directory::pauseRequested),
                    serviceLoads(),
                    now);
        }

        private Map<BackendServerId, Double> capacities(long now) {
            List<BackendTracker> acceptingServers = directory.trackers(service).stream()
                    .filter(directory::acceptsRequests)
                    .filter(tracker -> tracker.requestedPauseMillis(now) == 0)
                    .toList();
            return OwnerCandidates.capacities(acceptingServers, now);
        }

        private void rebalance(long now) {
            Map<BackendServerId, Double> capacities = capacities(now);
            if (coordinator == null || serviceLoads().total() < MIN_REQUESTS_PER_OWNER * capacities.size()) {
                return;
            }
            List<KeyMove> moves = KeyRebalancer.plan(coordinator.ownedSegments(), capacities, serviceLoads());
            int startedMoves = coordinator.startMoves(moves, now);
            if (!moves.isEmpty()) {
                log.info(
                        "keys-rebalanced",
                        "service",
                        service,
                        "planned",
                        moves.size(),
                        "started",
                        startedMoves,
                        "first",
                        moves.get(0));
            }
        }

        @Override
        public void grant(Backend server, KeySegment segment, String handover, boolean fencing) {
            PlatformAdapter.OwnershipCall call =
                    adapter.encodeGrantCall(segment, keyTiming().holdMillis(), handover);
            BooleanSupplier stillDue = () -> isCurrent()
                    && !directory.pauseRequested(server.id())
                    && coordinator.confirmGrantSend(segment, clock.millis());
            Runnable whenDropped = () -> completeGrant(segment, GrantResult.NOT_SENT);
            OwnershipCallKind kind = fencing ? OwnershipCallKind.FENCING_GRANT : OwnershipCallKind.GRANT;
            ownershipCalls.enqueue(server, kind, call, stillDue, whenDropped, response -> {
                recordResponseHead(server, response);
                GrantResult result =
                        switch (response.status()) {
                            case STATUS_OK -> GrantResult.ACCEPTED;
                            case STATUS_CONFLICT -> GrantResult.STALE_TOKEN;
                            default -> GrantResult.UNKNOWN;
                        };
                if (result != GrantResult.ACCEPTED) {
                    logOwnershipCall("grant-failed", server, segment, response);
                }
                completeGrant(segment, result);
            });
        }

        private void recordResponseHead(Backend server, InternalHttpClient.Response response) {
            BackendDirectory.Target target = directory.find(server.id());
            if (target != null && target.backend().sameIncarnation(server)) {
                directory.recordResponseHead(target, response.status(), response.headers());
            }
        }

        private void completeGrant(KeySegment segment, GrantResult result) {
            if (isCurrent()) {
                coordinator.onGrantResult(segment, result, clock.millis());
            }
        }

        @Override
        public void release(Backend server, KeySegment segment) {
            Runnable whenDropped = () -> completeRelease(segment, false, null);
            ownershipCalls.enqueue(
                    server,
                    OwnershipCallKind.RELEASE,
                    adapter.encodeReleaseCall(segment),
                    () -> isCurrent() && !directory.pauseRequested(server.id()),
                    whenDropped,
                    response -> {
                        recordResponseHead(server, response);
                        boolean confirmed = response.status() == STATUS_OK;
                        logOwnershipCall(confirmed ? "keys-released" : "release-failed", server, segment, response);
                        completeRelease(
                                segment,
                                confirmed,
                                response.headers().get(adapter.headers().handover()));
                    });
        }

        private void completeRelease(KeySegment segment, boolean confirmed, String handover) {
            if (isCurrent()) {
                coordinator.onReleaseResult(segment, confirmed, handover, clock.millis());
            }
        }

        private void logOwnershipCall(
                String event, Backend server, KeySegment segment, InternalHttpClient.Response response) {
            log.info(
                    event,
                    "service",
                    service,
                    "backend",
                    server.id(),
                    "first",
                    segment.first(),
                    "last",
                    segment.last(),
                    "token",
                    segment.token(),
                    "status",
                    response.status());
        }

        @Override
        public void announce(KeySegment segment, boolean granted) {
            moveAnnouncer.accept(new KeyMoveAnnouncement(service, segment, granted));
        }

        @Override
        public void holdEnded(KeySegment segment, HoldEnd end) {
            log.info(
                    "keys-freed",
                    "service",
                    service,
                    "backend",
                    segment.owner(),
                    "first",
                    segment.first(),
                    "last",
                    segment.last(),
                    "token",
                    segment.token(),
                    "reason",
                    end);
        }

        @Override
        public void save(KeyTable table) {
            writeTable(table, result -> {
                if (!isCurrent()) {
                    return;
                }
                if (result.status() == DurableStore.Status.DONE) {
                    tableRevision = result.revision();
                    routing.ownerView(service).updateTable(table);
                    log.info(
                            "owner-table-saved",
                            "service",
                            service,
                            "segments",
                            table.segments().size(),
                            "nextToken",
                            table.nextToken(),
                            "revision",
                            tableRevision);
                    coordinator.onTableSaved(clock.millis());
                } else {
                    // The table may have been written, so the next tick reads the stored table again.
                    log.warn("owner-table-not-saved", "service", service, "status", result.status());
                    coordinatedServices.remove(service);
                }
            });
        }
    }
}
