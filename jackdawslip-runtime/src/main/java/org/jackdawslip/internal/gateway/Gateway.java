package org.jackdawslip.internal.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.InstanceId;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.Balancer;
import org.jackdawslip.internal.concurrent.Clocks;
import org.jackdawslip.internal.keyspace.KeyNotice;
import org.jackdawslip.internal.logging.BoundedLines;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.membership.MemberStanding;
import org.jackdawslip.internal.time.LeaseGuard;
import org.jackdawslip.internal.time.MonotonicClock;

/**
 * One gateway instance: its listeners, its view of the platform and its part in the custody of keys, all on one event
 * loop.
 *
 * <p>Start and stop may be called from any thread; everything else is confined to the event loop.
 */
public final class Gateway {

    /** Time after the signal to stop in which the load balancer still sends new connections. */
    private static final long STOP_MIN_MILLIS = 2_600;
    /** The process ends this long before it would be killed. */
    private static final long STOP_MARGIN_MILLIS = 400;
    /** Interval of looks at open requests while the instance stops. */
    private static final long STOP_POLL_MILLIS = 50;
    /** Interval at which idle connections are looked through. */
    private static final long EXPIRE_MILLIS = 1_000;
    /** Interval at which changes of the standing among the instances are logged. */
    private static final long STANDING_MILLIS = 500;
    /** Interval at which the delay of the event loop is looked at. */
    private static final long LOOP_CHECK_MILLIS = 250;
    /** Connections of control calls to one address. */
    private static final int CONTROL_CONNECTIONS = 8;

    private final GatewaySettings settings;
    private final Context context;
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final MonotonicClock clock = Clocks.monotonic();
    private final BoundedLines lines;
    private final EventLog log;
    private final MemberStanding standing;
    private final RoutingState routing;
    private final BackendDirectory directory;
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final FailoverReader reader;
    private final StoreRelay relay;
    private final PlatformView view;
    private final MemberRecords members;
    private final KeyControl keys;
    private final PeerExchange peers;
    private final FrontServer front;
    private final PlatformAdapter adapter;
    private boolean established;
    private boolean stopping;
    private long stopBegan;
    private Runnable whenStopped;

    /**
     * Makes a gateway.
     *
     * @param makeStore makes the client of the platform's store from a caller and the store's address
     */
    public Gateway(
            GatewaySettings settings,
            PlatformAdapter adapter,
            BiFunction<HttpCaller, String, DurableStore> makeStore,
            BoundedLines lines) {
        this.settings = settings;
        this.adapter = adapter;
        this.lines = lines;
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = group.next();
        Random random = new Random();
        log = new EventLog(lines, settings.instance().value(), System::currentTimeMillis);
        standing = new MemberStanding(clock, Clocks.wall());
        routing = new RoutingState(settings, log, random, standing);
        directory = new BackendDirectory(group, clock, log, standing);
        HttpCaller caller = new HttpCaller(group, clock, CONTROL_CONNECTIONS);
        DurableStore store = makeStore.apply(caller, settings.storeAddress());
        context = new Context(settings, loop, clock, log, adapter, store);
        HttpCaller peerCaller = new HttpCaller(group, clock, CONTROL_CONNECTIONS);
        reader = new FailoverReader(context, peer -> makeStore.apply(peerCaller, peer), peerCaller::forget);
        relay = new StoreRelay(context, new HttpCaller(group, clock, StoreRelay.MOST_CALLS), reader::direct);
        view = new PlatformView(context, reader, standing, this::apply);
        members = new MemberRecords(context, view, standing, this::membersChanged);
        LeaseGuard guard = new LeaseGuard(clock, Clocks.wall());
        keys = new KeyControl(context, routing, directory, view, guard, caller, random, this::announce);
        peers = new PeerExchange(context, directory, new PeerListener() {
            @Override
            public void keyUsed(ServiceName service, int slot) {
                keys.keyUsed(service, slot);
            }

            @Override
            public void noticed(KeyNotice notice) {
                Gateway.this.noticed(notice);
            }
        });
        Balancer balancer = new Balancer(settings.domain(), random);
        Services services = new Services(loop, clock, log, adapter, routing, directory, balancer, peers, metrics);
        front = new FrontServer(group, services);
    }

    /**
     * Starts to listen and to follow the platform.
     *
     * @throws JackdawslipException with {@link ErrorCode#ADDRESS_IN_USE} if an address cannot be bound
     */
    public void start() {
        StatusServer.start(group, address(settings.readinessAddress()), path -> readiness());
        StatusServer.start(
                group, address(settings.metricsAddress()), path -> new StatusServer.Page(200, metrics.text()));
        front.start(address(settings.callerAddress()));
        peers.start(address(settings.peerAddress()));
        relay.start(group, address(settings.peerAddress()));
        registerGauges();
        loop.execute(() -> {
            log.info("started", "domain", settings.domain(), "store", settings.storeAddress());
            view.start();
            members.register();
            keys.start();
            checkLoop(clock.millis());
        });
        context.every(EXPIRE_MILLIS, "connections", directory::expireConnections);
        context.every(STANDING_MILLIS, "standing", this::noteStanding);
    }

    /** Logs when the event loop runs tasks later than they are due. */
    private void checkLoop(long dueAt) {
        long lateMillis = clock.millis() - dueAt;
        if (lateMillis > ChangeBudget.LOOP_MILLIS) {
            log.info("loop-late", "lateMillis", lateMillis);
        }
        long nextAt = clock.millis() + LOOP_CHECK_MILLIS;
        loop.schedule(() -> checkLoop(nextAt), LOOP_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Logs whether this instance uses its share of what all instances have in common. */
    private void noteStanding() {
        boolean before = established;
        established = standing.established();
        if (established != before) {
            log.info(
                    established ? "member-established" : "member-not-established",
                    "live",
                    routing.instances().size(),
                    "storeLost",
                    view.lost());
        }
    }

    private static InetSocketAddress address(String text) {
        return MemberRecords.address(text);
    }

    private void registerGauges() {
        metrics.gauge("log.lines.dropped", lines::dropped);
        metrics.gauge("instances", () -> routing.instances().size());
        metrics.gauge("backends", () -> directory.all().size());
        metrics.gauge(
                "config.version",
                () -> routing.config() == null ? 0 : routing.config().version());
        metrics.gauge("member.established", () -> established ? 1 : 0);
        metrics.gauge("store.lost", () -> view.lost() ? 1 : 0);
        metrics.gauge("store.direct", () -> reader.direct() ? 1 : 0);
        metrics.gauge("store.answers.through.peers", reader::relayed);
        metrics.gauge("store.calls.for.peers", relay::relayed);
    }

    private void announce(KeyNotice notice) {
        noticed(notice);
        peers.announce(notice);
    }

    private void noticed(KeyNotice notice) {
        routing.owners(notice.service()).notice(notice.segment(), notice.granted(), clock.millis());
    }

    private StatusServer.Page readiness() {
        boolean ready = !stopping && view.synced() && routing.config() != null;
        return ready ? new StatusServer.Page(200, "ready\n") : new StatusServer.Page(503, "not ready\n");
    }

    private void apply(PlatformEvent event) {
        if (event instanceof PlatformEvent.ConfigWritten written) {
            if (routing.offer(written.config())) {
                directory.config(written.config());
            }
        } else if (event instanceof PlatformEvent.BackendListed listed) {
            directory.listed(listed.entry(), listed.backend());
        } else if (event instanceof PlatformEvent.BackendRemoved removed) {
            directory.removed(removed.entry());
        } else if (event instanceof PlatformEvent.DomainTakenOut takenOut) {
            directory.takenOut(takenOut.domain(), takenOut.out());
        } else if (event instanceof PlatformEvent.OwnRecord own) {
            ownRecord(own.item());
        } else if (event instanceof PlatformEvent.Unreadable unreadable) {
            log.warn("record-unreadable", "key", unreadable.key(), "problem", unreadable.problem());
            directory.removed(unreadable.key());
        }
    }

    private void ownRecord(DurableStore.Item item) {
        String name = adapter.ownName(item.key());
        try {
            if (!members.record(name, item.value(), item.revision())) {
                keys.record(name, item.value(), item.revision());
                peers.custodian(keys.holder());
            }
        } catch (JackdawslipException e) {
            log.warn("record-unreadable", "key", item.key(), "problem", e.getMessage());
        }
    }

    private void membersChanged(Map<InstanceId, PeerExchange.Peer> live) {
        peers.peers(live);
        reader.peers(live);
        routing.instances(List.copyOf(live.keySet()));
        Set<InstanceId> instances = routing.instances();
        directory.instances(instances.size());
        view.instances(instances.size());
    }

    /** Logs the result of reading the settings file again. */
    public void reloaded(boolean changed, String problem) {
        loop.execute(() -> {
            if (problem == null) {
                log.info("settings-reloaded", "changed", changed);
            } else {
                log.warn("settings-refused", "problem", problem);
            }
        });
    }

    /**
     * Stops as planned: readiness ends, open requests are answered, then the action runs.
     *
     * @param done runs once, on the event loop
     */
    public void stop(Runnable done) {
        loop.execute(() -> {
            if (stopping) {
                return;
            }
            stopping = true;
            stopBegan = clock.millis();
            whenStopped = done;
            log.info("stopping", "openConnections", front.busy());
            keys.stop();
            members.stop();
            front.beginStop();
            pollStop();
        });
    }

    private void pollStop() {
        long elapsed = clock.millis() - stopBegan;
        boolean late = elapsed > settings.bounds().stopMillis() - STOP_MARGIN_MILLIS;
        if (elapsed > STOP_MIN_MILLIS) {
            front.finish();
        }
        if (late || elapsed > STOP_MIN_MILLIS && front.busy() == 0) {
            log.info("stopped", "afterMillis", elapsed, "openConnections", front.busy());
            view.stop();
            peers.close();
            loop.schedule(whenStopped, STOP_POLL_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        loop.schedule(this::pollStop, STOP_POLL_MILLIS, TimeUnit.MILLISECONDS);
    }
}
