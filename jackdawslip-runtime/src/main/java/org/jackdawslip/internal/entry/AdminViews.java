package org.jackdawslip.internal.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.RequestId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.admission.RegistryRecord;
import org.jackdawslip.internal.admission.ServerView;
import org.jackdawslip.internal.bundle.Bundle;
import org.jackdawslip.internal.bundle.ServicePolicy;
import org.jackdawslip.internal.metrics.RouterMetrics;
import org.jackdawslip.internal.ownership.DomainMember;
import org.jackdawslip.internal.ownership.KeyHash;
import org.jackdawslip.internal.ownership.RangeAssignment;
import org.jackdawslip.internal.peer.PeerReply;
import org.jackdawslip.protocol.Envelope;
import org.jackdawslip.protocol.RequestStatusAnswer;
import org.jackdawslip.protocol.RequestStatusQuery;

/**
 * Produces the status and the gauges of this instance, and returns the status of requests for operators and
 * peers.
 *
 * <p>Not thread-safe; confined to the decision thread.
 */
final class AdminViews {

    private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(1);
    private static final String UNKNOWN = "unknown";

    private final InstanceContext context;
    private final MemberDriver driver;
    private final BundleUpdater bundleUpdater;
    private final RequestHandler requestHandler;
    private final OwnerChangeCounter ownerChangeCounter = new OwnerChangeCounter();

    AdminViews(
            InstanceContext context, MemberDriver driver, BundleUpdater bundleUpdater, RequestHandler requestHandler) {
        this.context = context;
        this.driver = driver;
        this.bundleUpdater = bundleUpdater;
        this.requestHandler = requestHandler;
    }

    /** Returns the status of the instance with the names of the JSON fields. */
    Map<String, Object> status(boolean ready, boolean draining) {
        DomainMember member = driver.member();
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("instance", context.self().value());
        status.put("failureDomain", context.domain().value());
        status.put("startId", Long.toHexString(context.address().getStartId()));
        status.put("ready", ready);
        status.put("draining", draining);
        status.put("bundleVersion", bundleUpdater.version());
        status.put("role", role(member));
        member.coordinator().ifPresent(record -> {
            status.put(
                    "coordinator", record.coordinator().map(InstanceId::value).orElse(""));
            status.put("successor", record.successor().map(InstanceId::value).orElse(""));
            status.put("witness", record.witness().map(InstanceId::value).orElse(""));
            status.put("epoch", record.epoch());
        });
        status.put("tableVersion", member.table().version().toString());
        status.put(
                "duplicateInstances",
                context.peerDirectory().duplicateInstances(context.nowMillis()).stream()
                        .map(InstanceId::value)
                        .toList());
        status.put("openRequests", requestHandler.openRequests());
        status.put("senders", senders());
        status.put("ranges", ranges(member));
        status.put("domains", domains());
        return status;
    }

    /**
     * Adds the owner changes since the last call to the metrics. To be called after each input of the domain
     * member.
     */
    void countMoves() {
        int ownerChanges = ownerChangeCounter.countChanges(driver.member().table());
        if (ownerChanges > 0) {
            context.metrics().count(RouterMetrics.Event.MOVE, ownerChanges);
        }
    }

    /** Sets the gauges whose values are confined to the decision thread. */
    void updateGauges(boolean ready) {
        RouterMetrics metrics = context.metrics();
        metrics.set(RouterMetrics.Value.READY, ready ? 1 : 0);
        metrics.set(RouterMetrics.Value.OPEN_REQUESTS, requestHandler.openRequests());
        metrics.set(
                RouterMetrics.Value.DUPLICATE_INSTANCES,
                context.peerDirectory().duplicateInstances(context.nowMillis()).size());
        metrics.setRole(role(driver.member()));
        for (ServiceQueue serviceQueue : requestHandler.serviceQueues().values()) {
            List<ServerView> servers = serviceQueue.senderQueue().servers();
            ServiceName service = serviceQueue.service();
            metrics.set(
                    RouterMetrics.Value.QUEUE_LENGTH,
                    service,
                    serviceQueue.senderQueue().queueLength());
            metrics.set(
                    RouterMetrics.Value.IN_FLIGHT,
                    service,
                    servers.stream().mapToInt(ServerView::inFlight).sum());
            metrics.set(
                    RouterMetrics.Value.SLOTS,
                    service,
                    servers.stream()
                            .filter(ServerView::accepting)
                            .mapToInt(ServerView::limit)
                            .sum());
            metrics.set(RouterMetrics.Value.SENDERS, service, servers.size());
            metrics.set(
                    RouterMetrics.Value.STRAGGLERS,
                    service,
                    servers.stream().filter(ServerView::straggler).count());
        }
    }

    private static String role(DomainMember member) {
        return member.isCoordinator() ? "coordinator" : member.isSuccessor() ? "successor" : "member";
    }

    private List<Map<String, Object>> senders() {
        List<Map<String, Object>> all = new ArrayList<>();
        for (ServiceQueue serviceQueue : requestHandler.serviceQueues().values()) {
            for (ServerView view : serviceQueue.senderQueue().servers()) {
                Map<String, Object> entry = new LinkedHashMap<>();
                entry.put("backendServer", view.id().value());
                entry.put("service", serviceQueue.service().value());
                serviceQueue.heldToken(view.id()).ifPresent(token -> entry.put("senderToken", token.value()));
                entry.put("accepting", view.accepting());
                entry.put("limit", view.limit());
                entry.put("inFlight", view.inFlight());
                entry.put("straggler", view.straggler());
                entry.put("queueLength", serviceQueue.senderQueue().queueLength());
                all.add(entry);
            }
        }
        return all;
    }

    private static List<Map<String, Object>> ranges(DomainMember member) {
        List<Map<String, Object>> all = new ArrayList<>();
        for (RangeAssignment range : member.table().ranges()) {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("service", range.service().value());
            entry.put("range", range.range().toString());
            entry.put("owner", range.owner().map(BackendServerId::value).orElse(""));
            entry.put("token", range.token().value());
            all.add(entry);
        }
        return all;
    }

    private Map<String, Object> domains() {
        Map<String, Object> all = new LinkedHashMap<>();
        Map<FailureDomainId, PeerDirectory.DomainView> recentViews =
                context.peerDirectory().recentDomainViews(context.nowMillis());
        bundleUpdater.bundle().map(Bundle::failureDomains).orElseGet(Map::of).forEach((domain, state) -> {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("state", state.name().toLowerCase(Locale.ROOT));
            boolean own = domain.equals(context.domain());
            PeerDirectory.DomainView view = recentViews.get(domain);
            entry.put("reachable", own || view != null);
            long version = own ? bundleUpdater.version() : view == null ? 0 : view.bundleVersion();
            entry.put("bundle", version == 0 ? "silent" : version < bundleUpdater.version() ? "behind" : "in-force");
            all.put(domain.value(), entry);
        });
        return all;
    }

    /**
     * Returns the status of a request, which is queried from another instance if that one holds the record.
     *
     * @param hops the number of instances that forwarded the query so far
     * @throws JackdawslipException if there is no bundle, the service is not in it, or the key of a keyed
     *     service is missing
     */
    CompletableFuture<Map<String, Object>> requestStatus(
            ServiceName service, RequestId id, Optional<String> key, int hops) {
        ServicePolicy policy = bundleUpdater
                .bundle()
                .orElseThrow(() -> new JackdawslipException(ErrorCode.NO_BUNDLE, "the instance has no bundle yet"))
                .service(service)
                .orElseThrow(() -> new JackdawslipException(
                        ErrorCode.UNKNOWN_SERVICE, "service \"" + service + "\" is not in the bundle"));
        boolean keyed = policy.routing() == ServicePolicy.Routing.KEYED;
        if (keyed && key.isEmpty()) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_REQUEST, "service \"" + service + "\" needs the header Key");
        }
        long hash = KeyHash.of(keyed ? key.get() : id.toString());
        Optional<InstanceId> recordHolder = requestHandler.recordHolder(service, hash);
        if (recordHolder.equals(Optional.of(context.self()))) {
            Optional<RegistryRecord> record = requestHandler
                    .routingTable()
                    .owner(service, hash)
                    .flatMap(owner -> requestHandler
                            .serviceQueues()
                            .get(service)
                            .senderQueue()
                            .requestStatus(owner, id));
            return CompletableFuture.completedFuture(requestStatusView(
                    id,
                    record.map(found -> found.state().name().toLowerCase(Locale.ROOT))
                            .orElse(UNKNOWN),
                    record.map(RegistryRecord::status).orElse(0)));
        }
        Optional<InstanceId> target = recordHolder.or(() -> requestHandler
                .routingTable()
                .homeDomain(service, hash)
                .filter(home -> !home.equals(context.domain()))
                .flatMap(home -> requestHandler.routingTable().entryInstances(home).stream()
                        .findFirst()));
        if (target.isEmpty() || hops >= 2) {
            return CompletableFuture.completedFuture(requestStatusView(id, UNKNOWN, 0));
        }
        return queryInstance(target.get(), service, id, key, hops + 1);
    }

    private CompletableFuture<Map<String, Object>> queryInstance(
            InstanceId target, ServiceName service, RequestId id, Optional<String> key, int hops) {
        RequestStatusQuery query = RequestStatusQuery.newBuilder()
                .setService(service.value())
                .setKey(key.orElse(""))
                .setRequestId(id.toString())
                .setHops(hops)
                .build();
        return context.peerDirectory()
                .address(target)
                .map(address -> context.transport()
                        .request(
                                address,
                                Envelope.newBuilder()
                                        .setRequestStatusQuery(query)
                                        .build(),
                                QUERY_TIMEOUT)
                        .thenApply(reply -> requestStatusView(
                                id,
                                reply.getRequestStatusAnswer().getState(),
                                reply.getRequestStatusAnswer().getStatus()))
                        .exceptionally(failure -> requestStatusView(id, UNKNOWN, 0)))
                .orElseGet(() -> CompletableFuture.completedFuture(requestStatusView(id, UNKNOWN, 0)));
    }

    /** Replies to a request status query of another instance. */
    void receive(RequestStatusQuery query, PeerReply reply) {
        RequestStatusAnswer.Builder message = RequestStatusAnswer.newBuilder();
        try {
            requestStatus(
                            new ServiceName(query.getService()),
                            RequestId.parse(query.getRequestId()),
                            query.getKey().isEmpty() ? Optional.empty() : Optional.of(query.getKey()),
                            query.getHops())
                    .thenAccept(view -> reply.send(Envelope.newBuilder()
                            .setRequestStatusAnswer(message.setState((String) view.get("state"))
                                    .setStatus((Integer) view.get("status")))
                            .build()));
        } catch (JackdawslipException e) {
            reply.send(Envelope.newBuilder()
                    .setRequestStatusAnswer(
                            message.setState(UNKNOWN).setErrorCode(e.code().name()))
                    .build());
        }
    }

    private static Map<String, Object> requestStatusView(RequestId id, String state, int status) {
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("requestId", id.toString());
        view.put("state", state);
        view.put("status", status);
        return view;
    }
}
