package org.jackdawslip.internal.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import com.fasterxml.jackson.databind.JsonNode;
import org.jackdawslip.BackendServerId;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.RequestId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.bundle.BackendServer;
import org.jackdawslip.internal.bundle.Bundle;
import org.jackdawslip.internal.concurrent.Clocks;
import org.jackdawslip.internal.concurrent.DecisionThread;
import org.jackdawslip.internal.concurrent.ExecutorTimerService;
import org.jackdawslip.internal.http.AdminServer;
import org.jackdawslip.internal.http.BackendClient;
import org.jackdawslip.internal.http.CallerRequest;
import org.jackdawslip.internal.http.CallerResponse;
import org.jackdawslip.internal.http.CallerServer;
import org.jackdawslip.internal.metrics.ObservedStore;
import org.jackdawslip.internal.metrics.RouterMetrics;
import org.jackdawslip.internal.ownership.Timing;
import org.jackdawslip.internal.peer.PeerCounters;
import org.jackdawslip.internal.peer.PeerReply;
import org.jackdawslip.internal.peer.PeerTransport;
import org.jackdawslip.internal.settings.EntrySettings;
import org.jackdawslip.internal.settings.PeerSettings;
import org.jackdawslip.internal.store.ConsulStore;
import org.jackdawslip.internal.store.ListedInstance;
import org.jackdawslip.internal.store.ReadResult;
import org.jackdawslip.protocol.Envelope;
import org.jackdawslip.protocol.InstanceAddress;
import org.tinylog.Logger;

/**
 * Creates the components of one instance and runs them.
 *
 * <p>Thread-safe. All decisions run on one thread, to which sockets and timers only submit events.
 */
public final class EntryRuntime implements AutoCloseable {

    private static final Duration REQUEST_TICK = Duration.ofMillis(10);
    private static final Duration SUMMARY_TICK = Duration.ofMillis(500);
    private static final Duration HEALTH_PROBE_INTERVAL = Duration.ofSeconds(1);
    /**
     * Delays the end of an instance with nothing to hand over until the response to the drain call is
     * written.
     */
    private static final Duration DRAIN_RESPONSE_DELAY = Duration.ofMillis(200);

    private static final Duration STOP_POLL_INTERVAL = Duration.ofMillis(50);
    private static final Duration DEFAULT_REQUEST_TIMEOUT = Duration.ofSeconds(5);
    private static final int RESPONSE_LIMIT_BYTES = (2 << 20) - (256 << 10);
    private static final int MAX_TENANTS = 100;
    /**
     * More than the slots of a backend server, which leaves connections for grant calls, health probes and
     * cancellations.
     */
    private static final int CONNECTIONS_PER_BACKEND_SERVER = 32;

    private final InstanceContext context;
    private final Duration stopLimit;
    private final DecisionThread decisionThread;
    private final ExecutorTimerService timers;
    private final MemberDriver driver;
    private final BundleUpdater bundleUpdater;
    private final RequestHandler requestHandler;
    private final DomainSummaryExchange summaryExchange;
    private final HandoverHandler handoverHandler;
    private final RangeLoadReporter rangeLoadReporter;
    private final AdminViews adminViews;
    /**
     * Completes when the instance can handle messages. Peers may send messages earlier, which are then
     * deferred.
     */
    private final CompletableFuture<Void> initialized = new CompletableFuture<>();

    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private CallerServer callerServer;
    private AdminServer adminServer;
    private volatile boolean ready;
    private volatile boolean stopping;

    private EntryRuntime(EntrySettings settings, Duration stopLimit) {
        this.stopLimit = stopLimit;
        RouterMetrics metrics = new RouterMetrics(MAX_TENANTS);
        RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
        decisionThread = new DecisionThread("decisions");
        timers = new ExecutorTimerService("timers");
        PeerTransport transport = PeerTransport.open(
                settings.peerAddress().toSocketAddress(),
                (envelope, reply) -> initialized.thenRun(() -> receive(envelope, reply)));
        InstanceAddress address = InstanceAddress.newBuilder()
                .setInstance(settings.instance().value())
                .setFailureDomain(settings.failureDomain().value())
                .setHost(settings.peerAddress().host())
                .setPeerPort(transport.localAddress().getPort())
                .setStartId(random.nextLong() >>> 1)
                .build();
        context = new InstanceContext(
                settings,
                address,
                decisionThread,
                timers,
                Clocks.monotonic(),
                Clocks.wall(),
                transport,
                new BackendClient(CONNECTIONS_PER_BACKEND_SERVER, RESPONSE_LIMIT_BYTES),
                new ObservedStore(
                        new ConsulStore(
                                settings.storeAddress().host(),
                                settings.storeAddress().port()),
                        metrics),
                metrics,
                new PeerDirectory(settings.instance()),
                random);
        driver = new MemberDriver(context);
        bundleUpdater = new BundleUpdater(context, this::onBundleInForce);
        requestHandler = new RequestHandler(context, driver, bundleUpdater);
        summaryExchange =
                new DomainSummaryExchange(context, driver, bundleUpdater, requestHandler.relayHandler()::isAlive);
        handoverHandler = new HandoverHandler(context, driver, requestHandler);
        rangeLoadReporter = new RangeLoadReporter(context, driver, requestHandler);
        adminViews = new AdminViews(context, driver, bundleUpdater, requestHandler);
    }

    /**
     * Binds the addresses and starts the instance.
     *
     * @throws JackdawslipException with {@link ErrorCode#ADDRESS_IN_USE} if an address cannot be bound
     */
    public static EntryRuntime start(EntrySettings settings, Duration stopLimit) {
        EntryRuntime runtime = new EntryRuntime(settings, stopLimit);
        try {
            runtime.open();
        } catch (JackdawslipException e) {
            runtime.close();
            throw e;
        }
        return runtime;
    }

    private void open() {
        EntrySettings settings = context.settings();
        callerServer = CallerServer.builder(settings.callerAddress().toSocketAddress(), this::handleCallerRequest)
                .bodyLimit(settings.bodyLimitBytes())
                .keyLimit(settings.keyLimitBytes())
                .refusalListener(context.metrics()::countRefusal)
                .open();
        adminServer = AdminServer.builder(settings.adminAddress().toSocketAddress())
                .metrics(context.metrics()::scrape)
                .ready(() -> ready && !stopping)
                .handler(
                        "GET",
                        "/status",
                        (method, path, key) -> decisionThread.call(() -> adminViews.status(ready, stopping)))
                .handler("GET", "/requests", (method, path, key) -> requestStatus(path, key))
                .handler("POST", "/drain", (method, path, key) -> {
                    stop();
                    return CompletableFuture.completedFuture(Map.of("draining", true));
                })
                .open();
        driver.setListeners(this::afterInput, requestHandler::ownLoads, (peer, version) -> {
            requestHandler.relayHandler().recordMessage(peer);
            bundleUpdater.fetchIfNewer(peer, version);
        });
        registerMetrics();
        context.runOnDecisionThread(this::initialize);
        initialized.complete(null);
        timers.every(
                Duration.ofMillis(Timing.TICK_MILLIS),
                () -> context.runOnDecisionThread(() -> {
                    driver.tick();
                    requestHandler.propagateLoads();
                    ready = requestHandler.canRouteRequests();
                    adminViews.updateGauges(ready && !stopping);
                }));
        timers.every(REQUEST_TICK, () -> context.runOnDecisionThread(requestHandler::tick));
        timers.every(SUMMARY_TICK, () -> context.runOnDecisionThread(summaryExchange::tick));
        timers.every(HEALTH_PROBE_INTERVAL, () -> context.runOnDecisionThread(this::probeHealth));
        timers.every(RangeLoadReporter.INTERVAL, () -> context.runOnDecisionThread(rangeLoadReporter::tick));
        Logger.info(
                "instance {} of failure domain {} listens for callers at {} and for operators at {}",
                settings.instance(),
                settings.failureDomain(),
                callerServer.localAddress(),
                adminServer.localAddress());
    }

    private void afterInput() {
        requestHandler.sync();
        adminViews.countMoves();
    }

    private void registerMetrics() {
        RouterMetrics metrics = context.metrics();
        PeerCounters peerCounters = context.transport().counters();
        metrics.registerCounter("peer.frames.sent", "frames sent to peers", peerCounters, PeerCounters::framesSent);
        metrics.registerCounter(
                "peer.frames.received", "frames received from peers", peerCounters, PeerCounters::framesReceived);
        metrics.registerCounter(
                "peer.frames.rejected",
                "peer connections closed for a wrong preamble or frame",
                peerCounters,
                PeerCounters::framesRejected);
        metrics.registerCounter(
                "peer.queue.full", "messages refused by a full peer queue", peerCounters, PeerCounters::queueFull);
        metrics.registerCounter(
                "peer.connects.failed", "failed connects to peers", peerCounters, PeerCounters::connectsFailed);
        metrics.registerCounter(
                "peer.answers.unmatched",
                "answers of peers that came after their timeout",
                peerCounters,
                PeerCounters::unmatchedReplies);
        metrics.registerCounter(
                "caller.answers.undelivered",
                "answers that could not be written to the caller",
                callerServer,
                CallerServer::undeliveredResponses);
        metrics.registerGauge(
                "decisions.waiting",
                "events that wait for the decision thread",
                decisionThread,
                DecisionThread::queuedTasks);
        metrics.registerCounter(
                "backend.answers.mismatched",
                "answers of backend servers that belong to another request",
                context.backendClient(),
                BackendClient::mismatchedResponses);
    }

    private void initialize() {
        for (PeerSettings peer : context.settings().peers()) {
            context.peerDirectory()
                    .addListed(
                            peer.instance(),
                            peer.failureDomain(),
                            peer.address().toSocketAddress());
        }
        driver.updatePeers();
        context.store()
                .register(new ListedInstance(
                        context.self(),
                        context.domain(),
                        context.address().getHost(),
                        context.address().getPeerPort(),
                        false));
        bundleUpdater.readStore();
        summaryExchange.readInstanceList();
        watch(StoreRecords.BUNDLE_KEY, bundleUpdater::handleStoreRead).start();
        watch(StoreRecords.coordinatorKey(context.domain()), driver::handleCoordinatorRead)
                .onReconnect(driver::reportStoreReconnected)
                .start();
    }

    private StoreWatch watch(String key, Consumer<ReadResult> receiver) {
        return new StoreWatch(
                context,
                key,
                () -> driver.member().isCoordinator() || driver.member().isSuccessor(),
                receiver);
    }

    private void onBundleInForce(Bundle bundle) {
        driver.updateBundle(bundle);
    }

    private void receive(Envelope envelope, PeerReply reply) {
        context.runOnDecisionThread(() -> {
            switch (envelope.getBodyCase()) {
                case HEARTBEAT -> driver.receive(envelope.getHeartbeat(), reply);
                case TABLE_UPDATE -> driver.receive(envelope.getTableUpdate());
                case RELAY_REQUEST -> requestHandler.relayHandler().receive(envelope.getRelayRequest(), reply);
                case RELAY_CANCEL -> requestHandler.relayHandler().receive(envelope.getRelayCancel());
                case BUNDLE_REQUEST -> reply.send(Envelope.newBuilder()
                        .setBundleAnswer(bundleUpdater.toReply(envelope.getBundleRequest()))
                        .build());
                case HANDOVER -> reply.send(Envelope.newBuilder()
                        .setHandoverAnswer(handoverHandler.receive(envelope.getHandover()))
                        .build());
                case REQUEST_STATUS_QUERY -> adminViews.receive(envelope.getRequestStatusQuery(), reply);
                case DOMAIN_SUMMARY -> summaryExchange.receive(envelope.getDomainSummary());
                case RANGE_LOADS -> rangeLoadReporter.receive(envelope.getRangeLoads());
                default -> Logger.debug("unexpected peer message {} ignored", envelope.getBodyCase());
            }
        });
    }

    private CompletableFuture<CallerResponse> handleCallerRequest(CallerRequest request) {
        long arrivedNanos = System.nanoTime();
        Duration timeout = request.timeout().orElse(DEFAULT_REQUEST_TIMEOUT);
        Exchange exchange = new Exchange.Builder()
                .target(request.service(), request.method(), request.path())
                .content(request.content().headers(), request.content().body())
                .tenant(request.tenant())
                .identity(request.key(), request.requestId())
                .urgent(request.urgent())
                .time(context.nowMillis(), timeout.toMillis())
                .build();
        decisionThread.execute(() -> requestHandler.start(exchange));
        return exchange.result.thenApply(response -> {
            Optional<ErrorCode> error = response.error();
            if (error.isPresent()) {
                context.metrics().countRefusal(error.get());
                return CallerResponse.error(error.get(), response.message(), request.requestId());
            }
            context.metrics()
                    .recordLatency(
                            request.tenant(),
                            request.service(),
                            request.urgent(),
                            Duration.ofNanos(System.nanoTime() - arrivedNanos));
            return new CallerResponse(response.status(), response.headers(), response.body());
        });
    }

    private CompletableFuture<?> requestStatus(String path, String key) {
        String[] segments = path.replaceFirst("^/", "").split("/");
        if (segments.length != 2) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_ARGUMENT, "path \"" + path + "\" is not SERVICE/REQUEST-ID");
        }
        ServiceName service = new ServiceName(segments[0]);
        RequestId id = RequestId.parse(segments[1]);
        return decisionThread
                .call(() -> adminViews.requestStatus(service, id, Optional.ofNullable(key), 0))
                .thenCompose(view -> view);
    }

    private void probeHealth() {
        for (ServiceQueue serviceQueue : requestHandler.serviceQueues().values()) {
            for (BackendServerId id : serviceQueue.heldServers()) {
                Optional<BackendServer> server = bundleUpdater.bundle().map(bundle -> bundle.backendServers()
                        .get(id));
                server.ifPresent(backendServer -> context.backendClient()
                        .health(backendServer, HEALTH_PROBE_INTERVAL)
                        .thenAccept(
                                health -> context.runOnDecisionThread(() -> recordHealth(serviceQueue, id, health))));
            }
        }
    }

    private void recordHealth(ServiceQueue serviceQueue, BackendServerId id, Optional<JsonNode> health) {
        health.ifPresent(
                report -> serviceQueue.setDraining(id, report.path("draining").asBoolean()));
    }

    /** Returns the address where callers connect. */
    public InetSocketAddress callerAddress() {
        return callerServer.localAddress();
    }

    /** Returns the address where operators connect. */
    public InetSocketAddress adminAddress() {
        return adminServer.localAddress();
    }

    /**
     * Starts a planned stop, if none has started. The future completes when the stop is finished or its limit
     * is reached.
     */
    public synchronized CompletableFuture<Void> stop() {
        if (!stopping) {
            stopping = true;
            Logger.info("planned stop of instance {} started", context.self());
            context.store().deregister(context.self());
            long deadlineMillis = context.nowMillis() + stopLimit.toMillis();
            context.runOnDecisionThread(() -> {
                handoverHandler.start();
                timers.after(DRAIN_RESPONSE_DELAY, () -> context.runOnDecisionThread(() -> awaitStop(deadlineMillis)));
            });
        }
        return stopped;
    }

    private void awaitStop(long deadlineMillis) {
        if (handoverHandler.isFinished() || context.nowMillis() >= deadlineMillis) {
            Logger.info(
                    "planned stop of instance {} finished with {} open requests",
                    context.self(),
                    requestHandler.openRequests());
            stopped.complete(null);
        } else {
            timers.after(STOP_POLL_INTERVAL, () -> context.runOnDecisionThread(() -> awaitStop(deadlineMillis)));
        }
    }

    /** Returns a future that completes after a planned stop or {@link #close}. */
    public CompletableFuture<Void> stopped() {
        return stopped;
    }

    @Override
    public void close() {
        stopping = true;
        if (callerServer != null) {
            callerServer.close();
        }
        if (adminServer != null) {
            adminServer.close();
        }
        timers.close();
        decisionThread.close();
        context.transport().close();
        context.backendClient().close();
        context.store().close();
        context.metrics().close();
        stopped.complete(null);
    }
}
