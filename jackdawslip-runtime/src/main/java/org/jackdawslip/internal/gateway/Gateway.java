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
import org.jackdawslip.internal.account.ConfigurationFreshness;
import org.jackdawslip.internal.balance.Balancer;
import org.jackdawslip.internal.concurrent.Clocks;
import org.jackdawslip.internal.durable.StoreEra;
import org.jackdawslip.internal.durable.StoreEraTracker;
import org.jackdawslip.internal.keyspace.KeyMoveAnnouncement;
import org.jackdawslip.internal.limits.ClientLimits;
import org.jackdawslip.internal.logging.AsyncLineWriter;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.membership.MembershipStatus;
import org.jackdawslip.internal.quota.QuotaClaim;
import org.jackdawslip.internal.quota.QuotaReply;
import org.jackdawslip.internal.quota.QuotaRequest;
import org.jackdawslip.internal.time.LeaseGuard;
import org.jackdawslip.internal.time.MonotonicClock;
import org.jackdawslip.internal.time.SuspensionDetector;

/**
 * One gateway instance: its listeners, its view of the platform and its key coordinator role, all on one
 * event loop.
 *
 * <p>{@link #start}, {@link #logSettingsReload} and {@link #stop} may be called from any thread; everything else is
 * confined to the event loop.
 */
public final class Gateway {

    /** Time after the stop signal in which the load balancer may still open new connections. */
    private static final long MIN_STOP_MILLIS = 2_600;
    /** The process exits this long before it would be killed. */
    private static final long STOP_MARGIN_MILLIS = 400;
    /** Interval between checks for open requests while the instance stops. */
    private static final long STOP_POLL_INTERVAL_MILLIS = 50;
    /** Time for the responses that are written at the end of the stop. */
    private static final long LAST_RESPONSE_MILLIS = 150;
    /** Interval between checks for expired idle connections. */
    private static final long CONNECTION_EXPIRY_INTERVAL_MILLIS = 1_000;
    /** Interval between checks whether this instance became established or ceased to be. */
    private static final long ESTABLISHED_CHECK_INTERVAL_MILLIS = 500;
    /** Interval between checks of the delay of the event loop. */
    private static final long LOOP_CHECK_INTERVAL_MILLIS = 250;
    /** Connections per address for calls to the store and ownership calls. */
    private static final int CONNECTIONS_PER_ADDRESS = 8;
    /** Limit of one response of the store, directly or through a peer; it holds values of up to a megabyte. */
    private static final int MAX_STORE_RESPONSE_BYTES = 8 * 1024 * 1024;
    /** Limit of one response to an ownership call; it has hardly any content. */
    private static final int MAX_OWNERSHIP_RESPONSE_BYTES = 32 * 1024;

    private final GatewaySettings settings;
    private final GatewayContext context;
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final MonotonicClock clock = Clocks.monotonic();
    private final AsyncLineWriter lines;
    private final EventLog log;
    private final MembershipStatus membershipStatus;
    private final RoutingState routing;
    private final BackendDirectory directory;
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final StoreEraTracker eras = new StoreEraTracker();
    private final FailoverReader reader;
    private final FeedReader feedReader;
    private final ViewFeed feed;
    private final StoreRelay relay;
    private final PlatformView view;
    private final MemberListings memberListings;
    private final KeyCoordinatorRole keyCoordinatorRole;
    private final PeerExchange peers;
    private final QuotaExchange quotas;
    private final CallerServer callerServer;
    private final ClientLimits clientLimits;
    private final PlatformAdapter adapter;
    private final PlannedStop plannedStop = new PlannedStop();
    private final ConfigurationFreshness freshness;
    private final AccountGate accounts;
    private boolean established;
    /** How often the store came back from an earlier copy. */
    private long restoredCount;
    /** Time when the next check of the delay of the event loop is due; 0 before the first check. */
    private long loopCheckDueAt;

    private boolean stopping;
    private long stopStartedAt;
    private Runnable whenStopped;

    /**
     * Creates a gateway.
     *
     * @param storeFactory creates a client of the platform's store from an HTTP client and the address of the
     *     store
     */
    public Gateway(
            GatewaySettings settings,
            PlatformAdapter adapter,
            BiFunction<InternalHttpClient, String, DurableStore> storeFactory,
            AsyncLineWriter lines) {
        this.settings = settings;
        this.adapter = adapter;
        this.lines = lines;
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = group.next();
        Random random = new Random();
        log = new EventLog(lines, settings.instance().value(), System::currentTimeMillis);
        membershipStatus = new MembershipStatus(clock, Clocks.wall());
        routing = new RoutingState(settings, log, random, membershipStatus);
        directory = new BackendDirectory(group, clock, log, membershipStatus, adapter.headers(), random);
        InternalHttpClient storeClient = storeClient(CONNECTIONS_PER_ADDRESS);
        DurableStore store = new EraCheckedStore(storeFactory.apply(storeClient, settings.storeAddress()), eras);
        context = new GatewayContext(settings, loop, clock, log, adapter, store);
        InternalHttpClient peerClient = storeClient(CONNECTIONS_PER_ADDRESS);
        reader = new FailoverReader(
                context,
                peer -> new EraCheckedStore(storeFactory.apply(peerClient, peer), eras),
                peerClient::removeAddress);
        feedReader = new FeedReader(context, reader, new ViewFeedClient(storeClient(CONNECTIONS_PER_ADDRESS)), eras);
        ChangeTimeBudget budget = new ChangeTimeBudget(settings.platformLimits().maxChangeMillis());
        feed = new ViewFeed(loop, clock, Clocks.wall(), budget.maxSourceViewAgeMillis(), feedReader::followsStore);
        relay = new StoreRelay(context, storeClient(StoreRelay.MAX_CALLS_IN_FLIGHT), feed, reader::direct);
        view = new PlatformView(context, feedReader, feed, membershipStatus, this::apply);
        memberListings = new MemberListings(context, view, membershipStatus, this::membersChanged);
        LeaseGuard guard = new LeaseGuard(clock, Clocks.wall());
        InternalHttpClient ownershipClient =
                new InternalHttpClient(group, clock, CONNECTIONS_PER_ADDRESS, MAX_OWNERSHIP_RESPONSE_BYTES);
        keyCoordinatorRole = new KeyCoordinatorRole(
                context, routing, directory, view, guard, eras, ownershipClient, random, this::announce);
        peers = new PeerExchange(context, directory, new PeerMessageReceiver());
        quotas = new QuotaExchange(
                context,
                Clocks.wall(),
                membershipStatus,
                metrics,
                () -> routing.config() == null ? 0 : routing.config().version(),
                peers.quotaMessages(),
                random);
        directory.setLeavingListener(peers::announceLeaving);
        Balancer balancer = new Balancer(settings.domain(), random);
        GatewaySettings.AccountTerms terms = settings.accountTerms();
        freshness = new ConfigurationFreshness(
                clock, new SuspensionDetector(clock, Clocks.wall()), terms.maxRevocationMillis());
        accounts = new AccountGate(
                routing,
                freshness,
                terms.refuseWithoutRecentConfiguration(),
                quotas,
                adapter.headers(),
                metrics.accounts(),
                log);
        view.setViewListener(accounts::recordView);
        eras.subscribe(this::storeRestored);
        RequestComponents components = new RequestComponents(
                loop, clock, log, adapter, routing, directory, balancer, peers, metrics, plannedStop, accounts);
        CallerResources resources =
                new CallerResources(CallerResources.limitsOf(settings.instanceLimits()), clock, log, metrics);
        callerServer = new CallerServer(group, components, resources);
        resources.registerGauges();
        clientLimits = resources.limits();
    }

    private InternalHttpClient storeClient(int connections) {
        return new InternalHttpClient(group, clock, connections, MAX_STORE_RESPONSE_BYTES);
    }

    /**
     * Starts the listeners and the view of the platform.
     *
     * @throws JackdawslipException with {@link ErrorCode#ADDRESS_IN_USE} if an address cannot be bound
     */
    public void start() {
        StatusServer readiness = new StatusServer(context, "ready", clientLimits, path -> readiness());
        readiness.start(group, address(settings.readinessAddress()), metrics);
        StatusServer metricsServer = new StatusServer(
                context, "metrics", clientLimits, path -> new StatusServer.Page(200, metrics.scrape()));
        metricsServer.start(group, address(settings.metricsAddress()), metrics);
        callerServer.start(address(settings.callerAddress()), context);
        peers.start(address(settings.peerAddress()));
        relay.start(group, address(settings.peerAddress()), clientLimits.peerConnections());
        registerGauges();
        quotas.start(context);
        loop.execute(() -> {
            log.info("started", "domain", settings.domain(), "store", settings.storeAddress());
            view.start();
            memberListings.start();
            keyCoordinatorRole.start();
        });
        context.every(LOOP_CHECK_INTERVAL_MILLIS, "loop-delay", this::checkLoopDelay);
        context.every(CONNECTION_EXPIRY_INTERVAL_MILLIS, "connections", directory::closeExpiredConnections);
        context.every(ESTABLISHED_CHECK_INTERVAL_MILLIS, "standing", this::logEstablishedChange);
    }

    /** Logs if the event loop ran this task late. */
    private void checkLoopDelay() {
        long now = clock.millis();
        long lateMillis = loopCheckDueAt == 0 ? 0 : now - loopCheckDueAt;
        loopCheckDueAt = now + LOOP_CHECK_INTERVAL_MILLIS;
        if (lateMillis > ChangeTimeBudget.EVENT_LOOP_DELAY_MILLIS) {
            log.info("loop-late", "lateMillis", lateMillis);
        }
    }

    /**
     * Logs when this instance becomes or ceases to be established, so that its share of global limits
     * changes.
     */
    private void logEstablishedChange() {
        boolean wasEstablished = established;
        established = membershipStatus.isEstablished();
        if (established != wasEstablished) {
            log.info(
                    established ? "member-established" : "member-not-established",
                    "live",
                    routing.instances().size(),
                    "storeLost",
                    view.storeLost());
        }
    }

    private static InetSocketAddress address(String text) {
        return MemberListings.parseAddress(text);
    }

    private void registerGauges() {
        metrics.registerGauge("log.lines.dropped", lines::dropped);
        metrics.registerGauge("instances", () -> routing.instances().size());
        metrics.registerGauge("backends", () -> directory.all().size());
        metrics.registerGauge(
                "config.version",
                () -> routing.config() == null ? 0 : routing.config().version());
        metrics.registerGauge(
                "accounts",
                () -> routing.config() == null
                        ? 0
                        : routing.config().accounts().accounts().size());
        metrics.registerGauge("accounts.config.recent", () -> accounts.isConfigurationRecent() ? 1 : 0);
        metrics.registerGauge("accounts.config.age.millis", freshness::ageMillis);
        metrics.registerGauge("member.established", () -> established ? 1 : 0);
        metrics.registerGauge("responses.buffered.bytes", directory::bufferedResponseBytes);
        metrics.registerGauge("servers.transit.bytes", directory::transitBytes);
        metrics.registerGauge("store.lost", () -> view.storeLost() ? 1 : 0);
        metrics.registerGauge("store.era", () -> eras.current().number());
        metrics.registerGauge("store.restored", () -> restoredCount);
        metrics.registerGauge("store.responses.rejected", eras::rejectedResponses);
        metrics.registerGauge("keys.services.waiting", keyCoordinatorRole::waitingServices);
        metrics.registerGauge("view.stale.responses", view::staleResponses);
        metrics.registerGauge("view.older.records", view::olderRecords);
        metrics.registerGauge("store.direct", () -> reader.direct() ? 1 : 0);
        metrics.registerGauge("store.answers.through.peers", reader::relayedResponses);
        metrics.registerGauge("view.follows.store", () -> feedReader.followsStore() ? 1 : 0);
        metrics.registerGauge("view.results.of.sources", feedReader::resultsOfSources);
        metrics.registerGauge("view.watches.answered", feed::answeredWatches);
        metrics.registerGauge("store.calls.for.peers", relay::relayedCalls);
    }

    /** Drops what this instance knows of the earlier state of the store. */
    private void storeRestored(StoreEra earlier, StoreEra current) {
        restoredCount++;
        log.warn("store-restored", "era", current.number(), "earlier", earlier.number());
        keyCoordinatorRole.storeRestored(earlier);
        reader.storeRestored();
        memberListings.storeRestored();
        view.storeRestored();
    }

    private void announce(KeyMoveAnnouncement announcement) {
        applyMoveAnnouncement(announcement);
        peers.announce(announcement);
    }

    private void applyMoveAnnouncement(KeyMoveAnnouncement announcement) {
        routing.ownerView(announcement.service())
                .addAnnouncement(announcement.segment(), announcement.granted(), clock.millis());
    }

    private StatusServer.Page readiness() {
        boolean ready = !stopping && view.synced() && routing.config() != null;
        return ready ? new StatusServer.Page(200, "ready\n") : new StatusServer.Page(503, "not ready\n");
    }

    private void apply(PlatformEvent event) {
        if (event instanceof PlatformEvent.ConfigWritten written) {
            if (routing.applyIfNewer(written.config())) {
                directory.setRoutingConfig(written.config());
            }
            accounts.recordStoredConfiguration(written.config());
        } else if (event instanceof PlatformEvent.BackendListed listed) {
            directory.addOrUpdate(listed.entry(), listed.backend());
        } else if (event instanceof PlatformEvent.BackendRemoved removed) {
            directory.remove(removed.entry());
        } else if (event instanceof PlatformEvent.DomainTakenOut takenOut) {
            directory.setDomainTakenOut(takenOut.domain(), takenOut.out());
        } else if (event instanceof PlatformEvent.RouterRecordChanged own) {
            applyRouterRecord(own.storeRecord());
        } else if (event instanceof PlatformEvent.Unreadable unreadable) {
            log.warn("record-unreadable", "key", unreadable.key(), "problem", unreadable.problem());
            directory.remove(unreadable.key());
            if (adapter.isConfiguration(unreadable.key())) {
                accounts.recordUnusableConfiguration();
            }
        }
    }

    private void applyRouterRecord(DurableStore.StoreRecord storeRecord) {
        String name = adapter.routerRecordName(storeRecord.key());
        try {
            if (!memberListings.applyRecord(name, storeRecord.value(), storeRecord.revision())) {
                keyCoordinatorRole.applyRecord(name, storeRecord.value(), storeRecord.revision());
                peers.setKeyCoordinator(keyCoordinatorRole.roleHolder());
            }
        } catch (JackdawslipException e) {
            log.warn("record-unreadable", "key", storeRecord.key(), "problem", e.getMessage());
        }
    }

    private void membersChanged(Map<InstanceId, PeerExchange.Peer> live) {
        peers.setLivePeers(live);
        feedReader.setLivePeers(live);
        keyCoordinatorRole.setLivePeers(live);
        routing.setLiveInstances(List.copyOf(live.keySet()));
        Set<InstanceId> instances = routing.instances();
        directory.setLiveInstanceCount(instances.size());
        view.setLiveInstanceCount(instances.size());
        quotas.setLiveInstances(instances);
    }

    /**
     * Logs the result of reading the settings file again.
     *
     * @param problem why the settings were refused, or null if they were accepted
     */
    public void logSettingsReload(boolean changed, String problem) {
        loop.execute(() -> {
            if (problem == null) {
                log.info("settings-reloaded", "changed", changed);
            } else {
                log.warn("settings-refused", "problem", problem);
            }
        });
    }

    /**
     * Stops gracefully: the instance is no longer ready, open requests are completed until the time limit for
     * the stop, then the action runs.
     *
     * @param done runs once, on the event loop
     */
    public void stop(Runnable done) {
        loop.execute(() -> {
            if (stopping) {
                return;
            }
            stopping = true;
            stopStartedAt = clock.millis();
            whenStopped = done;
            plannedStop.start(stopStartedAt + settings.platformLimits().maxStopMillis() - STOP_MARGIN_MILLIS);
            log.info("stopping", "openConnections", callerServer.countBusyConnections());
            keyCoordinatorRole.stop();
            memberListings.stop();
            quotas.release();
            callerServer.disableKeepAlive();
            finishStopWhenIdle();
        });
    }

    private void finishStopWhenIdle() {
        long elapsedMillis = clock.millis() - stopStartedAt;
        boolean timeLimitReached = clock.millis() >= plannedStop.endsAt();
        if (elapsedMillis > MIN_STOP_MILLIS) {
            callerServer.closeGracefully();
        }
        if (timeLimitReached || elapsedMillis > MIN_STOP_MILLIS && callerServer.countBusyConnections() == 0) {
            log.info("stopped", "afterMillis", elapsedMillis, "openConnections", callerServer.countBusyConnections());
            callerServer.answerOpenRequests();
            view.stop();
            peers.close();
            loop.schedule(whenStopped, LAST_RESPONSE_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        loop.schedule(this::finishStopWhenIdle, STOP_POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Passes messages of peers to the components that handle them. Confined to the event loop. */
    private final class PeerMessageReceiver implements PeerListener {
        @Override
        public void keyUsed(ServiceName service, int slot) {
            keyCoordinatorRole.recordKeyUse(service, slot);
        }

        @Override
        public void moveAnnounced(KeyMoveAnnouncement announcement) {
            Gateway.this.applyMoveAnnouncement(announcement);
        }

        @Override
        public void quotaRequested(InetSocketAddress address, List<QuotaRequest> requests) {
            quotas.handleRequests(address, requests);
        }

        @Override
        public void quotaReplied(InstanceId replier, List<QuotaReply> replies) {
            quotas.handleReplies(replier, replies);
        }

        @Override
        public void quotasReleased(InstanceId instance, long sentAtMillis) {
            quotas.handleRelease(instance, sentAtMillis);
        }

        @Override
        public void quotaClaimed(InstanceId claimant, InetSocketAddress address, QuotaClaim claim) {
            quotas.handleClaim(claimant, address, claim);
        }

        @Override
        public void quotaClaimAnswered(InstanceId other, QuotaClaim claim) {
            quotas.handleClaimAnswer(other, claim);
        }
    }
}
