package org.jackdawslip.internal.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.InstanceId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.admission.Decision;
import org.jackdawslip.internal.admission.ServerView;
import org.jackdawslip.internal.admission.Submission;
import org.jackdawslip.internal.bundle.Bundle;
import org.jackdawslip.internal.bundle.ServicePolicy;
import org.jackdawslip.internal.metrics.RouterMetrics;
import org.jackdawslip.internal.ownership.AssignmentTable;
import org.jackdawslip.internal.ownership.KeyHash;
import org.jackdawslip.internal.routing.Route;
import org.jackdawslip.internal.routing.Router;
import org.jackdawslip.internal.routing.RoutingTable.SenderView;
import org.jackdawslip.protocol.BackendLoad;

/**
 * Handles requests from arrival to response: routes them, submits them to the queues of their services or
 * relays them to other instances, and carries out the decisions of the queues.
 *
 * <p>Invariant: every exchange completes exactly once. Not thread-safe; confined to the decision thread.
 */
final class RequestHandler {

    /**
     * How long a request of a caller waits for a route before it is refused. After a loss, a key is served
     * again within 2 s.
     */
    private static final long ROUTE_WAIT_MILLIS = 3000;
    /** A relayed request waits less, because the relaying instance may have a newer route. */
    private static final long RELAYED_ROUTE_WAIT_MILLIS = 200;

    private static final long ROUTE_RETRY_MILLIS = 25;

    private final InstanceContext context;
    private final MemberDriver driver;
    private final BundleUpdater bundleUpdater;
    private final Router router;
    private final MemberRoutingTable routingTable;
    private final AttemptRunner attemptRunner;
    private final RelayHandler relayHandler;
    private final Map<ServiceName, ServiceQueue> serviceQueues = new TreeMap<>();
    private final Set<Exchange> awaitingRoute = new LinkedHashSet<>();
    private final Map<Exchange, Long> retryAtMillis = new HashMap<>();
    private AssignmentTable lastTable = AssignmentTable.EMPTY;
    private long nextTickAtMillis = Long.MAX_VALUE;
    private boolean stopping;
    private int openRequests;

    RequestHandler(InstanceContext context, MemberDriver driver, BundleUpdater bundleUpdater) {
        this.context = context;
        this.driver = driver;
        this.bundleUpdater = bundleUpdater;
        this.router = new Router(context.self(), context.domain(), context.random());
        this.routingTable = new MemberRoutingTable(context, driver, bundleUpdater, this::localSenderView);
        this.attemptRunner = new AttemptRunner(context, driver, this);
        this.relayHandler = new RelayHandler(context, this);
    }

    MemberRoutingTable routingTable() {
        return routingTable;
    }

    RelayHandler relayHandler() {
        return relayHandler;
    }

    Map<ServiceName, ServiceQueue> serviceQueues() {
        return serviceQueues;
    }

    /** Routes a new request, or completes its exchange with an error if the request cannot be handled. */
    void start(Exchange exchange) {
        openRequests++;
        exchange.result.whenComplete((response, failure) -> context.runOnDecisionThread(() -> openRequests--));
        Optional<Bundle> bundle = bundleUpdater.bundle();
        if (stopping && exchange.hops == 0) {
            exchange.fail(ErrorCode.STOPPING, "the instance is stopping");
        } else if (bundle.isEmpty()) {
            exchange.fail(ErrorCode.NO_BUNDLE, "the instance has no bundle yet");
        } else if (bundle.get().service(exchange.service).isEmpty()) {
            exchange.fail(
                    ErrorCode.UNKNOWN_SERVICE,
                    "service \"" + exchange.service + "\" is not in bundle version "
                            + bundle.get().version());
        } else if (applyPolicy(exchange, bundle.get().service(exchange.service).get())) {
            route(exchange);
        }
    }

    private boolean applyPolicy(Exchange exchange, ServicePolicy policy) {
        exchange.execution = policy.execution(exchange.method, exchange.path);
        if (policy.routing() == ServicePolicy.Routing.KEYED) {
            if (exchange.key.isEmpty()) {
                exchange.fail(ErrorCode.INVALID_REQUEST, "service \"" + policy.name() + "\" needs the header Key");
                return false;
            }
            exchange.keyHash = OptionalLong.of(KeyHash.of(exchange.key.get()));
        }
        if (exchange.atMostOnce()) {
            if (exchange.requestId.isEmpty()) {
                exchange.fail(
                        ErrorCode.INVALID_REQUEST_ID,
                        exchange.method + " " + exchange.path + " of service \"" + policy.name()
                                + "\" runs at most once and needs the header Request-Id");
                return false;
            }
            if (exchange.keyHash.isEmpty()) {
                exchange.keyHash =
                        OptionalLong.of(KeyHash.of(exchange.requestId.get().toString()));
            }
        }
        return true;
    }

    /** Routes an exchange by the current routing table. Does nothing if the exchange is complete. */
    void route(Exchange exchange) {
        if (!exchange.isOpen()) {
            return;
        }
        Route route = router.route(exchange.routeRequest(), routingTable, context.nowMillis());
        if (route instanceof Route.RunHere runHere) {
            submit(exchange, runHere.owner());
        } else if (route instanceof Route.Relay relay) {
            relayHandler.relay(exchange, relay.instance(), relay.hops(), false);
        } else if (route instanceof Route.AwaitOwner) {
            scheduleRouteRetry(exchange, ErrorCode.NO_OWNER);
        } else if (route instanceof Route.Refuse refuse) {
            handleRefusal(exchange, refuse.code(), reason(refuse.code()));
        }
    }

    private void submit(Exchange exchange, BackendServerId owner) {
        ServiceQueue serviceQueue = serviceQueues.get(exchange.service);
        if (serviceQueue == null) {
            scheduleRouteRetry(exchange, ErrorCode.NO_BACKEND_SERVER);
            return;
        }
        Submission<Exchange> submission = new Submission<>(
                exchange,
                exchange.urgent,
                exchange.execution,
                exchange.deadlineMillis,
                exchange.keyHash.orElse(0),
                exchange.requestId.orElse(null),
                owner,
                exchange.onlyIfFree);
        applyDecisions(serviceQueue, serviceQueue.senderQueue().submit(submission, context.clockReading()));
    }

    /** Carries out the decisions of a queue. */
    void applyDecisions(ServiceQueue serviceQueue, List<Decision<Exchange>> decisions) {
        for (Decision<Exchange> decision : decisions) {
            if (decision instanceof Decision.Dispatch<Exchange> dispatch) {
                attemptRunner.dispatch(serviceQueue, dispatch);
            } else if (decision instanceof Decision.Refuse<Exchange> refuse) {
                handleRefusal(refuse.request(), refuse.code(), reasonWithSender(refuse.code()));
            } else if (decision instanceof Decision.Cancel<Exchange> cancel) {
                attemptRunner.cancel(serviceQueue, cancel);
            } else if (decision instanceof Decision.Complete<Exchange> complete) {
                attemptRunner.complete(serviceQueue, complete);
            } else if (decision instanceof Decision.CompleteRecorded<Exchange> recorded) {
                attemptRunner.completeRecorded(recorded);
            } else if (decision instanceof Decision.HedgeElsewhere<Exchange> hedge) {
                hedgeElsewhere(serviceQueue, hedge.request());
            }
        }
        scheduleTick(serviceQueue);
    }

    /**
     * Schedules the next hedge or deadline of a queue, which may be due between two calls of {@link #tick}.
     */
    private void scheduleTick(ServiceQueue serviceQueue) {
        long next = serviceQueue.nextTickMillis().orElse(Long.MAX_VALUE);
        if (next < nextTickAtMillis) {
            nextTickAtMillis = next;
            Duration delay = Duration.ofMillis(Math.max(1, next - context.nowMillis()));
            context.timers().after(delay, () -> context.runOnDecisionThread(this::runDueTicks));
        }
    }

    private void runDueTicks() {
        nextTickAtMillis = Long.MAX_VALUE;
        long now = context.nowMillis();
        for (ServiceQueue serviceQueue : serviceQueues.values()) {
            if (serviceQueue.nextTickMillis().orElse(Long.MAX_VALUE) <= now) {
                applyDecisions(serviceQueue, serviceQueue.senderQueue().tick(context.clockReading()));
            } else {
                scheduleTick(serviceQueue);
            }
        }
    }

    private String reasonWithSender(ErrorCode code) {
        return reason(code) + " (sender " + context.self() + ")";
    }

    private static String reason(ErrorCode code) {
        return switch (code) {
            case NO_BACKEND_SERVER -> "no backend server of the service could be reached and takes work";
            case NO_OWNER -> "the range of the key has no owner that can be reached";
            case ROUTE_UNSETTLED -> "the instances do not agree on the route";
            case QUEUE_FULL -> "the queue of the service is full";
            case DEADLINE_EXCEEDED -> "the deadline passed before the request was sent to a backend server";
            case BACKEND_REFUSED -> "the backend server refused the request without running it";
            case REGISTRY_FULL -> "the registry of request ids is full";
            case STOPPING -> "the instance is stopping";
            case INVALID_REQUEST_ID -> "the time in the request id lies more than 2 s in the future";
            case INVALID_REQUEST -> "the request id was used before with another key";
            case OUTCOME_UNKNOWN -> "the answer was lost or late, or the request id is older than the records kept";
            default -> "the request was refused";
        };
    }

    private void hedgeElsewhere(ServiceQueue serviceQueue, Exchange exchange) {
        routingTable.senders(serviceQueue.service()).stream()
                .filter(view -> !view.instance().equals(context.self()) && view.freeSlots() > 0)
                .max(Comparator.comparingInt(SenderView::freeSlots))
                .ifPresent(view -> {
                    context.metrics().count(RouterMetrics.Event.HEDGE);
                    relayHandler.relay(exchange, view.instance(), Router.MAX_HOPS, true);
                });
    }

    /**
     * Cancels the local attempts of a request, because another sender got a response to a copy of the request
     * first.
     */
    void cancelCompletedElsewhere(Exchange exchange) {
        ServiceQueue serviceQueue = serviceQueues.get(exchange.service);
        if (serviceQueue != null) {
            applyDecisions(
                    serviceQueue,
                    serviceQueue.senderQueue().cancelCompletedElsewhere(exchange, context.clockReading()));
        }
    }

    /**
     * Completes an exchange with an error, or schedules another routing attempt if the cause can be
     * temporary. The refusal of a relayed request or of a hedge is always returned to the relaying instance.
     */
    void handleRefusal(Exchange exchange, ErrorCode code, String message) {
        boolean isTemporary =
                switch (code) {
                    case ROUTE_UNSETTLED, NO_OWNER, NO_BACKEND_SERVER, STOPPING -> true;
                    default -> false;
                };
        if (isTemporary && exchange.hops == 0 && !exchange.onlyIfFree) {
            scheduleRouteRetry(exchange, code);
        } else {
            exchange.fail(code, message);
        }
    }

    private void scheduleRouteRetry(Exchange exchange, ErrorCode code) {
        exchange.lastRefusal = code;
        awaitingRoute.add(exchange);
        retryAtMillis.put(exchange, context.nowMillis() + ROUTE_RETRY_MILLIS);
    }

    /**
     * Routes waiting requests again and expires those past their deadline or wait limit. To be called every
     * 10 ms.
     */
    void tick() {
        long now = context.nowMillis();
        for (Exchange exchange : List.copyOf(awaitingRoute)) {
            long waitLimitMillis = exchange.hops == 0 ? ROUTE_WAIT_MILLIS : RELAYED_ROUTE_WAIT_MILLIS;
            if (!exchange.isOpen()) {
                removeRouteRetry(exchange);
            } else if (now >= exchange.deadlineMillis) {
                removeRouteRetry(exchange);
                exchange.fail(
                        ErrorCode.DEADLINE_EXCEEDED, "the deadline passed; until then " + reason(exchange.lastRefusal));
            } else if (now >= exchange.arrivedMillis + waitLimitMillis) {
                removeRouteRetry(exchange);
                exchange.fail(exchange.lastRefusal, reason(exchange.lastRefusal) + " for " + waitLimitMillis + " ms");
            } else if (now >= retryAtMillis.getOrDefault(exchange, Long.MAX_VALUE)) {
                removeRouteRetry(exchange);
                route(exchange);
            }
        }
        relayHandler.tick(now);
    }

    private void removeRouteRetry(Exchange exchange) {
        awaitingRoute.remove(exchange);
        retryAtMillis.remove(exchange);
    }

    /** Follows every change of rights and bundle. To be called after each input of the domain member. */
    void sync() {
        bundleUpdater.bundle().ifPresent(bundle -> {
            for (ServicePolicy policy : bundle.services().values()) {
                ServiceQueue serviceQueue = serviceQueue(policy);
                applyDecisions(serviceQueue, serviceQueue.sync(driver.member(), bundle, context.clockReading()));
            }
        });
        routingTable.clearCachedSenders();
        if (driver.member().table() != lastTable) {
            lastTable = driver.member().table();
            retryWaitingRequests();
        }
    }

    /** Routes all waiting requests again, because a new table may have owners for their ranges. */
    private void retryWaitingRequests() {
        for (Exchange exchange : List.copyOf(awaitingRoute)) {
            removeRouteRetry(exchange);
            route(exchange);
        }
    }

    private ServiceQueue serviceQueue(ServicePolicy policy) {
        ServiceQueue previous = serviceQueues.get(policy.name());
        if (previous != null && previous.policy().equals(policy)) {
            return previous;
        }
        ServiceQueue next =
                new ServiceQueue(policy, context.settings().hedging().share(policy.name()));
        serviceQueues.put(policy.name(), next);
        if (previous != null) {
            applyDecisions(previous, previous.transferTo(next, context.clockReading()));
        }
        return next;
    }

    /** Returns the load, for the peers, of the backend servers that this instance is the sender of. */
    List<BackendLoad> ownLoads() {
        List<BackendLoad> loads = new ArrayList<>();
        for (ServiceQueue serviceQueue : serviceQueues.values()) {
            for (ServerView view : serviceQueue.senderQueue().servers()) {
                loads.add(BackendLoad.newBuilder()
                        .setBackendServer(view.id().value())
                        .setSlots(view.usableSlots())
                        .setFreeSlots(view.freeSlots())
                        .setQueueLength(serviceQueue.senderQueue().queueLength())
                        .setMedianMicros(view.medianMicros())
                        .build());
            }
        }
        return loads;
    }

    /**
     * Records the load report in a relay reply, if the replying instance is a sender of this failure domain.
     */
    void recordReportedLoads(InstanceId from, List<BackendLoad> loads) {
        if (!loads.isEmpty() && driver.reportedLoads().containsKey(from)) {
            driver.recordReportedLoads(from, loads);
        }
    }

    /**
     * Copies the load of this instance's backend servers to the domain member, and the median latencies that
     * other senders reported to the queues.
     */
    void propagateLoads() {
        for (ServiceQueue serviceQueue : serviceQueues.values()) {
            for (ServerView view : serviceQueue.senderQueue().servers()) {
                driver.member()
                        .onLoad(
                                view.id(),
                                view.freeSlots(),
                                serviceQueue.senderQueue().queueLength(),
                                view.accepting());
            }
        }
        bundleUpdater.bundle().ifPresent(bundle -> driver.reportedLoads()
                .values()
                .forEach(loadsOfSender -> loadsOfSender.values().forEach(load -> recordRemoteMedian(bundle, load))));
    }

    private void recordRemoteMedian(Bundle bundle, BackendLoad load) {
        BackendServerId id = new BackendServerId(load.getBackendServer());
        if (load.getMedianMicros() >= 0 && bundle.backendServers().containsKey(id)) {
            ServiceQueue serviceQueue =
                    serviceQueues.get(bundle.backendServers().get(id).service());
            if (serviceQueue != null && !serviceQueue.heldServers().contains(id)) {
                serviceQueue.senderQueue().recordRemoteMedian(id, load.getMedianMicros(), context.clockReading());
            }
        }
    }

    private SenderView localSenderView(ServiceName service) {
        int slots = 0;
        int freeSlots = 0;
        int queueLength = 0;
        ServiceQueue serviceQueue = serviceQueues.get(service);
        if (serviceQueue != null) {
            queueLength = serviceQueue.senderQueue().queueLength();
            for (ServerView view : serviceQueue.senderQueue().servers()) {
                slots += view.usableSlots();
                freeSlots += view.freeSlots();
            }
        }
        return new SenderView(context.self(), slots, freeSlots, queueLength);
    }

    /** Refuses new requests of callers from now on. Relayed requests are still accepted. */
    void refuseNewRequests() {
        stopping = true;
    }

    /** Returns whether a bundle and a coordinator are known, both of which routing needs. */
    boolean canRouteRequests() {
        return bundleUpdater.bundle().isPresent()
                && driver.member().coordinator().isPresent();
    }

    /** Returns whether no request is open. */
    boolean hasNoOpenRequests() {
        return openRequests == 0;
    }

    int openRequests() {
        return openRequests;
    }

    /** Returns the instance whose registry would hold the record of a request, which can be this instance. */
    Optional<InstanceId> recordHolder(ServiceName service, long hash) {
        return routingTable.owner(service, hash).flatMap(routingTable::sender);
    }
}
