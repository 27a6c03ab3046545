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
import org.jackdawslip.internal.keyspace.KeyCustodian;
import org.jackdawslip.internal.keyspace.KeyLoads;
import org.jackdawslip.internal.keyspace.KeyMove;
import org.jackdawslip.internal.keyspace.KeyNotice;
import org.jackdawslip.internal.keyspace.KeyOrders;
import org.jackdawslip.internal.keyspace.KeyRebalancer;
import org.jackdawslip.internal.keyspace.KeySegment;
import org.jackdawslip.internal.keyspace.KeyTable;
import org.jackdawslip.internal.keyspace.KeyTiming;
import org.jackdawslip.internal.keyspace.OwnerCandidates;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.time.LeaseGuard;
import org.jackdawslip.internal.time.MonotonicClock;
import org.jackdawslip.internal.traffic.ServiceConfig;

/**
 * Competes for the role of the custodian of keys and carries out its decisions.
 *
 * <p>The role is a record of the store under a lease. Invariants: orders are sent only while the lease is certainly
 * valid; a table is written only under the condition that the record of the role and the previous table are unchanged;
 * a table that was read is acted upon only if no earlier write of this holder can still replace it. Confined to the
 * event loop.
 */
final class KeyControl {

    private static final String ROLE = "custodian";
    private static final String TABLES = "keys/";
    /** Term of the role. A successor takes over after at most this time. */
    private static final long ROLE_MILLIS = 2_500;
    /** Interval between renewals of the role: two may fail before it ends. */
    private static final long RENEW_MILLIS = 700;
    /** Interval between two looks at all segments. */
    private static final long TICK_MILLIS = 40;
    /** Interval between two rounds of moves. */
    private static final long REBALANCE_MILLIS = 700;
    /** Requests for each owner that have to be known before keys are moved because of load. */
    private static final double MIN_KNOWN_REQUESTS = 2;
    /** Spread of the attempts of the instances to get a free role. */
    private static final int CLAIM_SPREAD_MILLIS = 250;
    /** Pause after a failed attempt. */
    private static final long CLAIM_RETRY_MILLIS = 700;
    /** Term of grants, unless the platform's limit is lower. It outlasts a takeover and short outages of the store. */
    private static final long HOLD_MILLIS = 7_000;
    /** Interval between renewals of a grant; with the longest takeover after it, it stays below the term. */
    private static final long GRANT_RENEW_MILLIS = 2_800;
    /** Time for each page of a table. */
    private static final long READ_MILLIS = 1_000;
    /** Pause after an order without an answer. */
    private static final long ORDER_RETRY_MILLIS = 300;

    private static final long GRANT_TIMEOUT_MILLIS = 600;
    /** A release waits for the work on its keys. */
    private static final long RELEASE_TIMEOUT_MILLIS = 3_000;

    private static final int STATUS_OK = 200;
    private static final int STATUS_CONFLICT = 409;

    private final Context context;
    private final InstanceId self;
    private final GatewaySettings.Bounds bounds;
    private final DurableStore store;
    private final PlatformAdapter adapter;
    private final EventLoop loop;
    private final MonotonicClock clock;
    private final EventLog log;
    private final RoutingState routing;
    private final BackendDirectory directory;
    private final PlatformView view;
    private final LeaseGuard guard;
    private final ControlCalls calls;
    private final Random random;
    private final Consumer<KeyNotice> announcer;
    private final Map<ServiceName, KeyLoads> loads = new HashMap<>();
    private final Map<ServiceName, Keeper> keepers = new HashMap<>();
    /** Services whose table may still be replaced by a write of this instance that had no answer. */
    private final Set<ServiceName> unsettled = new HashSet<>();

    private InstanceId holder;
    private long lease;
    private long roleRevision;
    private boolean claiming;
    private boolean leading;
    private boolean stopped;
    private long renewAt;
    private boolean renewing;
    private long rebalanceAt;

    KeyControl(
            Context context,
            RoutingState routing,
            BackendDirectory directory,
            PlatformView view,
            LeaseGuard guard,
            HttpCaller caller,
            Random random,
            Consumer<KeyNotice> announcer) {
        this.context = context;
        this.self = context.settings().instance();
        this.bounds = context.settings().bounds();
        this.store = context.store();
        this.adapter = context.adapter();
        this.loop = context.loop();
        this.clock = context.clock();
        this.log = context.log();
        this.routing = routing;
        this.directory = directory;
        this.view = view;
        this.guard = guard;
        this.calls = new ControlCalls(caller, adapter.headers().expectedServer(), () -> leading && guard.valid());
        this.random = random;
        this.announcer = announcer;
    }

    void start() {
        context.every(TICK_MILLIS, "key-control", this::tick);
    }

    /** Returns the instance that holds the role, or null. */
    InstanceId holder() {
        return holder;
    }

    /** Takes a change of one of the project's records; returns whether it concerned keys. */
    boolean record(String name, byte[] value, long revision) {
        if (name.equals(ROLE)) {
            holder = value == null ? null : new InstanceId(new String(value, StandardCharsets.UTF_8));
            log.info("custodian-changed", "custodian", holder, "revision", revision);
            if (leading && !self.equals(holder) && revision > roleRevision) {
                stepDown("the role has another holder");
            }
            return true;
        }
        if (!name.startsWith(TABLES)) {
            return false;
        }
        ServiceName service = new ServiceName(name.substring(TABLES.length()));
        if (value != null) {
            routing.owners(service).table(KeyTables.decode(value), revision);
            Keeper keeper = keepers.get(service);
            if (keeper != null && revision > keeper.tableRevision && !keeper.saveUnderWay) {
                log.warn("owner-table-changed-by-other", "service", service, "revision", revision);
                keepers.remove(service);
            }
        }
        return true;
    }

    /** Counts one request for a key. Refused requests count as well, because they are the load that found no room. */
    void keyUsed(ServiceName service, int slot) {
        if (leading) {
            loads.computeIfAbsent(service, name -> new KeyLoads()).add(slot, 1, clock.millis());
        }
    }

    private void tick() {
        if (stopped) {
            return;
        }
        long now = clock.millis();
        if (!leading) {
            claimIfFree();
            return;
        }
        if (now >= renewAt && !renewing) {
            renew(now);
        }
        if (!guard.valid()) {
            return;
        }
        for (ServiceConfig service : keyedServices()) {
            Keeper keeper = keepers.get(service.name());
            if (keeper == null) {
                keeper = new Keeper(service.name());
                keepers.put(service.name(), keeper);
                keeper.load();
            }
            keeper.tick(now);
        }
        if (now >= rebalanceAt) {
            rebalanceAt = now + REBALANCE_MILLIS;
            keepers.values().forEach(keeper -> keeper.rebalance(now));
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
        if (!claiming
                && holder == null
                && view.synced()
                && view.servedDirectly()
                && !keyedServices().isEmpty()) {
            claiming = true;
            loop.schedule(this::claim, random.nextInt(CLAIM_SPREAD_MILLIS), TimeUnit.MILLISECONDS);
        }
    }

    private void claim() {
        if (holder != null || stopped) {
            claiming = false;
            return;
        }
        long sentAt = clock.millis();
        store.lease(ROLE_MILLIS, made -> {
            view.callEnded(made.status());
            if (made.status() != DurableStore.Status.DONE || holder != null) {
                claimFailed(made.lease());
                return;
            }
            String key = adapter.ownKey(ROLE);
            DurableStore.Change change = new DurableStore.Change(
                    List.of(new DurableStore.Item(key, null, 0)),
                    List.of(new DurableStore.Item(key, self.value().getBytes(StandardCharsets.UTF_8), 0)),
                    made.lease());
            store.change(change, result -> {
                if (result.status() == DurableStore.Status.DONE) {
                    claimed(made, result.revision(), sentAt);
                } else {
                    claimFailed(made.lease());
                }
            });
        });
    }

    private void claimed(DurableStore.Result made, long revision, long sentAt) {
        claiming = false;
        leading = true;
        lease = made.lease();
        roleRevision = revision;
        holder = self;
        guard.renewed(sentAt, made.leaseMillis());
        renewAt = sentAt + RENEW_MILLIS;
        rebalanceAt = clock.millis() + REBALANCE_MILLIS;
        keepers.clear();
        // The store refuses what was written under an earlier record of the role.
        unsettled.clear();
        log.info("custodian-role-taken", "revision", revision, "leaseMillis", made.leaseMillis());
    }

    private void claimFailed(long unusedLease) {
        if (unusedLease != 0) {
            store.endLease(unusedLease, ended -> view.callEnded(ended.status()));
        }
        loop.schedule(() -> claiming = false, CLAIM_RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void renew(long now) {
        renewing = true;
        renewAt = now + RENEW_MILLIS;
        store.renew(lease, result -> {
            renewing = false;
            view.callEnded(result.status());
            if (!leading) {
                return;
            }
            if (result.status() == DurableStore.Status.DONE) {
                guard.renewed(now, ROLE_MILLIS);
            } else if (result.status() == DurableStore.Status.CONFLICT) {
                stepDown("its lease has ended");
            } else {
                renewAt = clock.millis() + ORDER_RETRY_MILLIS;
            }
        });
    }

    private void stepDown(String reason) {
        log.warn("custodian-role-lost", "reason", reason, "revision", roleRevision);
        leading = false;
        guard.end();
        calls.clear();
        keepers.clear();
        loads.clear();
        if (self.equals(holder)) {
            holder = null;
        }
    }

    /** Gives the role up so that another instance gets it at once. */
    void stop() {
        stopped = true;
        if (leading) {
            log.info("custodian-role-given-up", "revision", roleRevision);
            leading = false;
            guard.end();
            store.endLease(lease, ended -> view.callEnded(ended.status()));
        }
    }

    /** Carries out the decisions about one service. */
    private final class Keeper implements KeyOrders {
        private final ServiceName service;
        private KeyCustodian custodian;
        private long tableRevision;
        private boolean saveUnderWay;

        Keeper(ServiceName service) {
            this.service = service;
        }

        private String tableKey() {
            return adapter.ownKey(TABLES + service);
        }

        private boolean current() {
            return leading && keepers.get(service) == this;
        }

        private void load() {
            store.readAll(tableKey(), READ_MILLIS, result -> {
                if (!current()) {
                    return;
                }
                if (result.status() != DurableStore.Status.DONE) {
                    keepers.remove(service);
                    return;
                }
                KeyTable table = KeyTable.empty();
                for (DurableStore.Item item : result.items()) {
                    if (item.key().equals(tableKey())) {
                        tableRevision = item.revision();
                        try {
                            table = KeyTables.decode(item.value());
                        } catch (JackdawslipException e) {
                            // Tokens must rise, so nothing is granted until the record is in order; then it is loaded.
                            log.warn("owner-table-unreadable", "service", service, "problem", e.getMessage());
                            return;
                        }
                        routing.owners(service).table(table, item.revision());
                    }
                }
                if (unsettled.contains(service)) {
                    settle(table);
                } else {
                    follow(table);
                }
            });
        }

        /**
         * Writes the table that was read once more. An earlier write without an answer may be carried out until the
         * revision in its condition is replaced.
         */
        private void settle(KeyTable table) {
            write(table, result -> {
                log.info("owner-table-settled", "service", service, "status", result.status());
                if (!current()) {
                    return;
                }
                if (result.status() == DurableStore.Status.DONE) {
                    tableRevision = result.revision();
                    unsettled.remove(service);
                    follow(table);
                } else {
                    keepers.remove(service);
                }
            });
        }

        private void follow(KeyTable table) {
            custodian = new KeyCustodian(timing(), this, table, clock.millis());
            log.info(
                    "owner-table-loaded",
                    "service",
                    service,
                    "segments",
                    table.segments().size(),
                    "revision",
                    tableRevision);
        }

        private void write(KeyTable table, Consumer<DurableStore.Result> whenDone) {
            saveUnderWay = true;
            DurableStore.Change change = new DurableStore.Change(
                    List.of(
                            new DurableStore.Item(adapter.ownKey(ROLE), null, roleRevision),
                            new DurableStore.Item(tableKey(), null, tableRevision)),
                    List.of(new DurableStore.Item(tableKey(), KeyTables.encode(table), 0)),
                    0);
            store.change(change, result -> {
                saveUnderWay = false;
                view.callEnded(result.status());
                if (result.status() == DurableStore.Status.UNKNOWN) {
                    unsettled.add(service);
                }
                whenDone.accept(result);
            });
        }

        private KeyTiming timing() {
            long hold = Math.min(HOLD_MILLIS, bounds.longestHoldMillis());
            // A server that restarts under its id must be listed anew before it is granted anything again.
            long regrant = Math.max(ORDER_RETRY_MILLIS, 2 * bounds.heartbeatMillis());
            return new KeyTiming(hold, Math.min(GRANT_RENEW_MILLIS, 2 * hold / 5), regrant, ORDER_RETRY_MILLIS);
        }

        private KeyLoads serviceLoads() {
            return loads.computeIfAbsent(service, name -> new KeyLoads());
        }

        private void tick(long now) {
            if (custodian == null) {
                return;
            }
            Map<BackendServerId, Backend> listed = new HashMap<>();
            directory.backends(service).forEach(backend -> listed.put(backend.id(), backend));
            custodian.tick(listed, capacities(now), serviceLoads(), now);
        }

        private Map<BackendServerId, Double> capacities(long now) {
            List<BackendTracker> admitted = directory.trackers(service).stream()
                    .filter(tracker -> directory.admits(tracker.backend()))
                    .toList();
            return OwnerCandidates.capacities(admitted, now);
        }

        private void rebalance(long now) {
            Map<BackendServerId, Double> capacities = capacities(now);
            if (custodian == null || serviceLoads().total() < MIN_KNOWN_REQUESTS * capacities.size()) {
                return;
            }
            List<KeyMove> moves = KeyRebalancer.plan(custodian.ownedSegments(), capacities, serviceLoads());
            int started = custodian.move(moves, now);
            if (!moves.isEmpty()) {
                log.info(
                        "keys-rebalanced",
                        "service",
                        service,
                        "planned",
                        moves.size(),
                        "started",
                        started,
                        "first",
                        moves.get(0));
            }
        }

        @Override
        public void grant(Backend server, KeySegment segment, String handover) {
            PlatformAdapter.ControlCall call = adapter.grant(segment, timing().holdMillis(), handover);
            BooleanSupplier due = () -> current() && custodian.sends(segment, clock.millis());
            Runnable dropped = () -> grantEnded(segment, GrantResult.NOT_SENT);
            calls.send(server, call, GRANT_TIMEOUT_MILLIS, due, dropped, answer -> {
                GrantResult result =
                        switch (answer.status()) {
                            case STATUS_OK -> GrantResult.ACCEPTED;
                            case STATUS_CONFLICT -> GrantResult.STALE_TOKEN;
                            default -> GrantResult.UNKNOWN;
                        };
                if (result != GrantResult.ACCEPTED) {
                    logOrder("grant-failed", server, segment, answer);
                }
                grantEnded(segment, result);
            });
        }

        private void grantEnded(KeySegment segment, GrantResult result) {
            if (current()) {
                custodian.granted(segment, result, clock.millis());
            }
        }

        @Override
        public void release(Backend server, KeySegment segment) {
            Runnable dropped = () -> releaseEnded(segment, false, null);
            calls.send(server, adapter.release(segment), RELEASE_TIMEOUT_MILLIS, this::current, dropped, answer -> {
                boolean confirmed = answer.status() == STATUS_OK;
                logOrder(confirmed ? "keys-released" : "release-failed", server, segment, answer);
                releaseEnded(
                        segment,
                        confirmed,
                        answer.headers().get(adapter.headers().handover()));
            });
        }

        private void releaseEnded(KeySegment segment, boolean confirmed, String handover) {
            if (current()) {
                custodian.released(segment, confirmed, handover, clock.millis());
            }
        }

        private void logOrder(String event, Backend server, KeySegment segment, HttpCaller.Answer answer) {
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
                    answer.status());
        }

        @Override
        public void announce(KeySegment segment, boolean granted) {
            announcer.accept(new KeyNotice(service, segment, granted));
        }

        @Override
        public void save(KeyTable table) {
            write(table, result -> {
                if (!current()) {
                    return;
                }
                if (result.status() == DurableStore.Status.DONE) {
                    tableRevision = result.revision();
                    routing.owners(service).table(table, tableRevision);
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
                    custodian.saved(clock.millis());
                } else {
                    // It is not known whether the table was written; the record tells when it is read again.
                    log.warn("owner-table-not-saved", "service", service, "status", result.status());
                    keepers.remove(service);
                }
            });
        }
    }
}
