package org.jackdawslip.internal.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.Backend;
import org.jackdawslip.internal.balance.BackendTracker;
import org.jackdawslip.internal.durable.StoreEra;
import org.jackdawslip.internal.durable.StoreEraTracker;
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
import org.jackdawslip.internal.keyspace.RetainedTables;
import org.jackdawslip.internal.keyspace.TableRecovery;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.time.LeaseGuard;
import org.jackdawslip.internal.time.MonotonicClock;
import org.jackdawslip.internal.traffic.ServiceConfig;

/**
 * Carries out the decisions of the key coordinator of each service while this instance holds the role
 * ({@link KeyCoordinatorLease}).
 *
 * <p>Invariants: ownership calls are sent only while the lease of the role is certainly valid; an owner table is
 * written only under the condition that the role record and the previous table are unchanged; a table read from the
 * store is used only if no earlier write of this instance can still replace that table, and as {@link TableRecovery}
 * decides; revisions of the role and of tables are kept only while the role is held, which is in one era. Confined to
 * the event loop.
 */
final class KeyCoordinatorRole {

    private static final String TABLE_RECORD_PREFIX = "keys/";
    /** Interval between two checks of all key segments. */
    private static final long TICK_INTERVAL_MILLIS = 40;
    /** Interval between two rounds of key moves because of load. */
    private static final long REBALANCE_INTERVAL_MILLIS = 700;
    /** Requests per possible owner that must have been counted before keys are moved because of load. */
    private static final double MIN_REQUESTS_PER_OWNER = 2;
    /**
     * Term of grants unless the platform's limit is lower; longer than a takeover of the role and than short
     * outages of the store.
     */
    private static final long GRANT_TERM_MILLIS = 7_000;
    /** Interval between grant renewals. The interval plus the longest takeover is shorter than the term. */
    private static final long GRANT_RENEWAL_INTERVAL_MILLIS = 2_800;
    /** Timeout for each page when an owner table is read. */
    private static final long TABLE_PAGE_TIMEOUT_MILLIS = 1_000;
    /** Delay before an ownership call without a response, or the read of a table, is repeated. */
    private static final long RETRY_DELAY_MILLIS = 300;

    private static final int STATUS_OK = 200;
    private static final int STATUS_CONFLICT = 409;

    private final GatewayContext context;
    private final GatewaySettings.PlatformLimits platformLimits;
    private final DurableStore store;
    private final PlatformAdapter adapter;
    private final MonotonicClock clock;
    private final EventLog log;
    private final RoutingState routing;
    private final BackendDirectory directory;
    private final PlatformView view;
    private final StoreEraTracker eras;
    private final KeyCoordinatorLease lease;
    private final OwnershipCallQueues ownershipCalls;
    private final Consumer<KeyMoveAnnouncement> moveAnnouncer;
    private final Map<ServiceName, KeyLoads> keyLoads = new HashMap<>();
    private final Map<ServiceName, CoordinatedService> coordinatedServices = new HashMap<>();
    /** Services whose table may still be replaced by a write of this instance that had no response. */
    private final Set<ServiceName> servicesWithUncertainTable = new HashSet<>();

    /** Tables that this instance had in memory as the key coordinator when the store came back from a copy. */
    private final RetainedTables retainedTables = new RetainedTables();
    /** When this instance last stopped to coordinate the keys of a service while it held the role. */
    private final Map<ServiceName, Long> coordinatedUntil = new HashMap<>();
    /** When this process learned of the present era of the store, or started. */
    private long eraLearnedAt;
    /** Whether this process saw the store come back from an earlier copy. */
    private boolean returnSeen;

    private long roleTakenAt;
    private long nextRebalanceAt;

    KeyCoordinatorRole(
            GatewayContext context,
            RoutingState routing,
            BackendDirectory directory,
            PlatformView view,
            LeaseGuard leaseGuard,
            StoreEraTracker eras,
            InternalHttpClient ownershipClient,
            Random random,
            Consumer<KeyMoveAnnouncement> moveAnnouncer) {
        this.context = context;
        this.platformLimits = context.settings().platformLimits();
        this.store = context.store();
        this.adapter = context.adapter();
        this.clock = context.clock();
        this.log = context.log();
        this.routing = routing;
        this.directory = directory;
        this.view = view;
        this.eras = eras;
        this.lease = new KeyCoordinatorLease(
                context,
                view,
                leaseGuard,
                eras,
                random,
                () -> retainedTables.containsAny(eras.current()),
                new RoleListener());
        this.ownershipCalls = new OwnershipCallQueues(ownershipClient, adapter.headers(), lease::isValid);
        this.eraLearnedAt = clock.millis();
        this.moveAnnouncer = moveAnnouncer;
    }

    /** Starts the periodic checks. */
    void start() {
        context.every(TICK_INTERVAL_MILLIS, "key-control", this::tick);
    }

    /** Sets the live instances. */
    void setLivePeers(Map<InstanceId, PeerExchange.Peer> live) {
        lease.setCandidates(live.entrySet().stream()
                .map(entry -> entry.getValue().candidate(entry.getKey()))
                .toList());
    }

    /** Returns the instance that holds the role of key coordinator, or null if none is known. */
    InstanceId roleHolder() {
        return lease.holder();
    }

    /**
     * Applies a change of one of this router's own records.
     *
     * @param value the content, or null if the record was removed
     * @return whether the record concerns the role or an owner table
     */
    boolean applyRecord(String name, byte[] value, long revision) {
        if (name.equals(KeyCoordinatorLease.RECORD)) {
            lease.applyRecord(value, revision);
            return true;
        }
        if (!name.startsWith(TABLE_RECORD_PREFIX)) {
            return false;
        }
        ServiceName service = new ServiceName(name.substring(TABLE_RECORD_PREFIX.length()));
        if (value != null) {
            KeyTable table = KeyTableCodec.decode(value);
            routing.ownerView(service).updateTable(table);
            if (table.era().equals(eras.current())) {
                retainedTables.remove(service);
            }
            CoordinatedService coordinatedService = coordinatedServices.get(service);
            if (coordinatedService != null
                    && revision > coordinatedService.tableRevision
                    && !coordinatedService.writePending) {
                log.warn("owner-table-changed-by-other", "service", service, "revision", revision);
                coordinatedService.stop();
            }
        }
        return true;
    }

    /** Returns the number of services whose keys are not granted, because earlier owners may hold them. */
    int waitingServices() {
        return (int) coordinatedServices.values().stream()
                .filter(CoordinatedService::isWaiting)
                .count();
    }

    /** Counts one request for a key. Refused requests count as well, because they are excess load. */
    void recordKeyUse(ServiceName service, int slot) {
        if (lease.isHeld()) {
            keyLoads.computeIfAbsent(service, name -> new KeyLoads()).add(slot, 1, clock.millis());
        }
    }

    private void tick() {
        long now = clock.millis();
        if (!lease.isHeld()) {
            if (!keyedServices().isEmpty()) {
                lease.claimIfFree();
            }
            return;
        }
        lease.renewIfDue(now);
        if (!lease.isValid()) {
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

    /**
     * Gives up the role, because the store came back from an earlier copy and the lease may be gone.
     *
     * @param earlier the era that ended
     */
    void storeRestored(StoreEra earlier) {
        // A role that was claimed in an earlier era was given up when that era ended.
        Map<ServiceName, KeyTable> held = new HashMap<>();
        coordinatedServices.forEach((service, coordinated) -> {
            KeyTable table = coordinated.exactTable();
            if (table != null) {
                held.put(service, table);
            }
        });
        retainedTables.retain(held, earlier, lease.isValid());
        eraLearnedAt = clock.millis();
        returnSeen = true;
        lease.storeRestored();
    }

    /** Ends the lease of the role, so that another instance can take over without waiting for the expiry. */
    void stop() {
        lease.stop();
    }

    /** Starts and ends the coordination of all services with the role. */
    private final class RoleListener implements KeyCoordinatorLease.Listener {
        @Override
        public void roleTaken(long now) {
            roleTakenAt = now;
            nextRebalanceAt = now + REBALANCE_INTERVAL_MILLIS;
            coordinatedServices.clear();
            coordinatedUntil.clear();
            // Earlier table writes can no longer succeed, because the store refuses writes that are conditional on
            // an earlier version of the role record.
            servicesWithUncertainTable.clear();
        }

        @Override
        public void roleLost() {
            ownershipCalls.clear();
            coordinatedServices.clear();
            keyLoads.clear();
        }
    }

    /** Runs the key coordinator of one service and carries out its decisions. */
    private final class CoordinatedService implements KeyCoordinatorActions {
        private final ServiceName service;
        private KeyCoordinator coordinator;
        /** Table that is being written before the key coordinator starts, or null. */
        private KeyTable startingTable;

        private long tableRevision;
        private boolean writePending;
        /** When the stored table is to be read again; {@link Long#MAX_VALUE} while that is not planned. */
        private long nextReadAt = Long.MAX_VALUE;

        CoordinatedService(ServiceName service) {
            this.service = service;
        }

        private String tableKey() {
            return adapter.routerRecordKey(TABLE_RECORD_PREFIX + service);
        }

        private boolean isCurrent() {
            return lease.isHeld() && coordinatedServices.get(service) == this;
        }

        private boolean isWaiting() {
            return nextReadAt != Long.MAX_VALUE;
        }

        /** Ends the coordination; the next tick starts it again with the stored table. */
        private void stop() {
            coordinatedServices.remove(service);
            if (coordinator != null) {
                coordinatedUntil.put(service, clock.millis());
            }
        }

        /** Returns the table that names all servers that may hold keys, or null if it is not known. */
        private KeyTable exactTable() {
            return coordinator == null ? startingTable : coordinator.table();
        }

        private void loadTable() {
            nextReadAt = Long.MAX_VALUE;
            store.readAll(tableKey(), TABLE_PAGE_TIMEOUT_MILLIS, result -> {
                if (!isCurrent()) {
                    return;
                }
                if (result.status() != DurableStore.Status.DONE) {
                    stop();
                    return;
                }
                KeyTable stored = null;
                tableRevision = 0;
                for (DurableStore.StoreRecord storeRecord : result.records()) {
                    if (storeRecord.key().equals(tableKey())) {
                        tableRevision = storeRecord.revision();
                        try {
                            stored = KeyTableCodec.decode(storeRecord.value());
                        } catch (JackdawslipException e) {
                            // Fencing tokens must increase, so nothing is granted until the record is valid
                            // and was loaded.
                            log.warn("owner-table-unreadable", "service", service, "problem", e.getMessage());
                            return;
                        }
                        routing.ownerView(service).updateTable(stored);
                    }
                }
                follow(recoveryPlan(stored));
            });
        }

        private TableRecovery.Plan recoveryPlan(KeyTable stored) {
            long lastCoordinatedAt = Math.max(roleTakenAt, coordinatedUntil.getOrDefault(service, roleTakenAt));
            long earlierGrantsEndAt = TableRecovery.earlierGrantsEndAt(
                    eraLearnedAt, lastCoordinatedAt, KeyCoordinatorLease.TERM_MILLIS, keyTiming());
            TableRecovery.Knowledge knowledge = new TableRecovery.Knowledge(
                    eras.current(),
                    stored,
                    retainedTables.find(service, eras.current()),
                    routing.ownerView(service).table(),
                    returnSeen,
                    earlierGrantsEndAt);
            return TableRecovery.plan(knowledge, clock.millis(), RETRY_DELAY_MILLIS);
        }

        private void follow(TableRecovery.Plan plan) {
            switch (plan.step()) {
                case USE -> {
                    if (servicesWithUncertainTable.contains(service)) {
                        // The store may still carry out an earlier write without a response, until the revision in the
                        // condition of that write is replaced.
                        writeBeforeStart(plan, "owner-table-settled");
                    } else {
                        startCoordinator(plan);
                    }
                }
                case WRITE -> writeBeforeStart(plan, "owner-table-restored");
                case READ_LATER -> {
                    nextReadAt = plan.readAt();
                    log.warn(
                            "owner-table-not-used",
                            "service",
                            service,
                            "reason",
                            plan.reason(),
                            "era",
                            eras.current().number(),
                            "waitMillis",
                            plan.readAt() - clock.millis());
                }
                default -> throw new IllegalStateException("unexpected step " + plan.step());
            }
        }

        /** Writes a table, and starts the key coordinator with it once it is durable. */
        private void writeBeforeStart(TableRecovery.Plan plan, String event) {
            KeyTable table = plan.table();
            startingTable = table;
            writeTable(table, result -> {
                log.info(
                        event,
                        "service",
                        service,
                        "reason",
                        plan.reason(),
                        "status",
                        result.status(),
                        "era",
                        table.era().number());
                if (!isCurrent()) {
                    return;
                }
                if (result.status() == DurableStore.Status.DONE) {
                    tableRevision = result.revision();
                    servicesWithUncertainTable.remove(service);
                    routing.ownerView(service).updateTable(table);
                    startCoordinator(plan);
                } else {
                    stop();
                }
            });
        }

        private void startCoordinator(TableRecovery.Plan plan) {
            KeyTable table = plan.table();
            coordinator = plan.start(keyTiming(), this, clock.millis());
            retainedTables.remove(service);
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
                            new DurableStore.StoreRecord(
                                    adapter.routerRecordKey(KeyCoordinatorLease.RECORD), null, lease.revision()),
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
                if (now >= nextReadAt) {
                    loadTable();
                }
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
                    stop();
                }
            });
        }
    }
}
