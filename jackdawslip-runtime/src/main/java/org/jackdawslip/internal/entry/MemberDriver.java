package org.jackdawslip.internal.entry;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FencingToken;
import org.jackdawslip.InstanceId;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.bundle.BackendServer;
import org.jackdawslip.internal.bundle.Bundle;
import org.jackdawslip.internal.http.GrantResponse;
import org.jackdawslip.internal.ownership.AssignmentTable;
import org.jackdawslip.internal.ownership.CoordinatorRecord;
import org.jackdawslip.internal.ownership.DomainMember;
import org.jackdawslip.internal.ownership.GrantCall;
import org.jackdawslip.internal.ownership.Heartbeat;
import org.jackdawslip.internal.ownership.HeartbeatReply;
import org.jackdawslip.internal.ownership.HomesRecord;
import org.jackdawslip.internal.ownership.MemberEffects;
import org.jackdawslip.internal.ownership.SwapResult;
import org.jackdawslip.internal.ownership.Timing;
import org.jackdawslip.internal.peer.PeerReply;
import org.jackdawslip.internal.store.ReadResult;
import org.jackdawslip.internal.store.WriteResult;
import org.jackdawslip.protocol.BackendLoad;
import org.jackdawslip.protocol.Envelope;
import org.jackdawslip.protocol.TableUpdate;
import org.tinylog.Logger;

/**
 * Connects the {@link DomainMember} of one instance with peers, store and backend servers: passes inputs to
 * the member and sends the messages, store calls and grant calls that the member requests.
 *
 * <p>The input listener runs after each input, so that queues apply every change of send rights at once. Not
 * thread-safe; confined to the decision thread.
 */
final class MemberDriver implements MemberEffects {

    private final InstanceContext context;
    private final DomainMember member;
    private final GrantCallSender grantCallSender;
    private final Map<InstanceId, Map<BackendServerId, BackendLoad>> reportedLoads = new HashMap<>();
    private final Map<String, Long> loggedInvalidIndexes = new HashMap<>();
    private Optional<Bundle> bundle = Optional.empty();
    private Runnable inputListener = () -> {};
    private Supplier<List<BackendLoad>> ownLoads = List::of;
    private BiConsumer<InstanceId, Long> versionListener = (peer, version) -> {};
    private PeerReply pendingReply;
    private String lastRole = "";

    MemberDriver(InstanceContext context) {
        this.context = context;
        this.grantCallSender = new GrantCallSender(context);
        this.member = DomainMember.builder()
                .self(context.self())
                .domain(context.domain())
                .startId(context.address().getStartId())
                .startedAt(context.nowMillis())
                .effects(this)
                .random(context.random())
                .build();
    }

    /**
     * Sets the listener that runs after each input, the source of the load that heartbeats report, and the
     * listener for the bundle versions of peers.
     */
    void setListeners(
            Runnable afterInput, Supplier<List<BackendLoad>> loadSource, BiConsumer<InstanceId, Long> bundleVersions) {
        inputListener = afterInput;
        ownLoads = loadSource;
        versionListener = bundleVersions;
    }

    DomainMember member() {
        return member;
    }

    /** Returns the last load report of each other sender, by backend server. */
    Map<InstanceId, Map<BackendServerId, BackendLoad>> reportedLoads() {
        return reportedLoads;
    }

    Optional<Bundle> bundle() {
        return bundle;
    }

    /** Replaces the load report of a sender. */
    void recordReportedLoads(InstanceId from, List<BackendLoad> reported) {
        Map<BackendServerId, BackendLoad> byServer = new HashMap<>();
        reported.forEach(load -> byServer.put(new BackendServerId(load.getBackendServer()), load));
        reportedLoads.put(from, byServer);
    }

    void updateBundle(Bundle current) {
        bundle = Optional.of(current);
        member.onBundle(context.nowMillis(), current);
        afterInput();
    }

    void tick() {
        long now = context.nowMillis();
        context.peerDirectory().removeSilent(now);
        member.tick(now, context.wallClock().millis());
        afterInput();
    }

    void updatePeers() {
        member.onPeers(context.nowMillis(), context.peerDirectory().instancesOf(context.domain()));
    }

    void receive(org.jackdawslip.protocol.Heartbeat message, PeerReply reply) {
        if (!message.getFrom().getFailureDomain().equals(context.domain().value())) {
            return;
        }
        if (context.peerDirectory().addFromMessage(message.getFrom(), context.nowMillis())) {
            updatePeers();
        }
        InstanceId from = new InstanceId(message.getFrom().getInstance());
        if (context.peerDirectory().detectDuplicate(message.getFrom(), context.nowMillis())) {
            Logger.error("two running processes use the instance id {}; stop one of them", from);
        }
        recordReportedLoads(from, message.getLoadsList());
        pendingReply = reply;
        member.onHeartbeat(context.nowMillis(), OwnershipCodec.fromMessage(message));
        pendingReply = null;
        versionListener.accept(from, message.getBundleVersion());
        afterInput();
    }

    void receive(TableUpdate message) {
        member.onTable(context.nowMillis(), new InstanceId(message.getFrom()), OwnershipCodec.fromMessage(message));
        afterInput();
    }

    private void receive(org.jackdawslip.protocol.HeartbeatAnswer message) {
        context.peerDirectory().addFromMessage(message.getFrom(), context.nowMillis());
        HeartbeatReply reply = OwnershipCodec.fromMessage(message);
        member.onHeartbeatReply(context.nowMillis(), reply);
        versionListener.accept(reply.from(), reply.bundleVersion());
        afterInput();
    }

    private void afterInput() {
        String role = member.isCoordinator() ? "coordinator" : member.isSuccessor() ? "successor" : "member";
        if (!role.equals(lastRole)) {
            Logger.info("role in failure domain {} is now {}", context.domain(), role);
            lastRole = role;
        }
        inputListener.run();
    }

    @Override
    public void sendHeartbeat(InstanceId peer, Heartbeat heartbeat) {
        org.jackdawslip.protocol.Heartbeat message = OwnershipCodec.toMessage(heartbeat, context.address()).toBuilder()
                .addAllLoads(ownLoads.get())
                .build();
        Envelope envelope = Envelope.newBuilder().setHeartbeat(message).build();
        context.peerDirectory().address(peer).ifPresent(address -> context.transport()
                .request(address, envelope, Duration.ofMillis(Timing.PERMIT_MILLIS))
                .thenAccept(reply -> context.runOnDecisionThread(() -> receive(reply.getHeartbeatAnswer())))
                .exceptionally(failure -> null));
    }

    @Override
    public void sendHeartbeatReply(InstanceId peer, HeartbeatReply reply) {
        pendingReply.send(Envelope.newBuilder()
                .setHeartbeatAnswer(OwnershipCodec.toMessage(reply, context.address()))
                .build());
    }

    @Override
    public void sendTable(InstanceId peer, AssignmentTable table) {
        Envelope envelope = Envelope.newBuilder()
                .setTableUpdate(OwnershipCodec.toMessage(table, context.self()))
                .build();
        context.peerDirectory().address(peer).ifPresent(address -> context.transport()
                .send(address, envelope)
                .exceptionally(failure -> null));
    }

    @Override
    public void readCoordinator() {
        context.store()
                .read(StoreRecords.coordinatorKey(context.domain()))
                .thenAccept(result -> context.runOnDecisionThread(() -> handleCoordinatorRead(result)));
    }

    /** Passes the result of a read or watch of the coordinator record to the member. */
    void handleCoordinatorRead(ReadResult result) {
        long now = context.nowMillis();
        if (result instanceof ReadResult.Found found) {
            Optional<CoordinatorRecord> record = readOrLogInvalid(
                    StoreRecords.coordinatorKey(context.domain()),
                    found,
                    () -> StoreRecords.readCoordinator(found.value(), found.index()));
            if (record.isPresent()) {
                member.onCoordinatorRead(now, record);
            } else {
                member.onCoordinatorUnreachable(now);
            }
        } else if (result instanceof ReadResult.Absent) {
            member.onCoordinatorRead(now, Optional.empty());
        } else {
            member.onCoordinatorUnreachable(now);
        }
        afterInput();
    }

    /**
     * Returns the record, or empty if the record is invalid, which is logged once for each write of the
     * record.
     */
    private <T> Optional<T> readOrLogInvalid(String key, ReadResult.Found found, Supplier<T> read) {
        try {
            return Optional.of(read.get());
        } catch (JackdawslipException e) {
            Long loggedIndex = loggedInvalidIndexes.put(key, found.index());
            if (loggedIndex == null || loggedIndex != found.index()) {
                Logger.error("store record \"{}\" is invalid and treated as unreachable: {}", key, e.getMessage());
            }
            return Optional.empty();
        }
    }

    @Override
    public void swapCoordinator(CoordinatorRecord next, long expectedIndex) {
        context.store()
                .compareAndSwap(StoreRecords.coordinatorKey(context.domain()), expectedIndex, StoreRecords.write(next))
                .thenAccept(result -> context.runOnDecisionThread(() -> {
                    member.onCoordinatorSwap(context.nowMillis(), toSwapResult(result));
                    afterInput();
                }));
    }

    @Override
    public void readHomes(ServiceName service) {
        context.store()
                .read(StoreRecords.homesKey(service))
                .thenAccept(result -> context.runOnDecisionThread(() -> handleHomesRead(service, result)));
    }

    private void handleHomesRead(ServiceName service, ReadResult result) {
        long now = context.nowMillis();
        if (result instanceof ReadResult.Found found) {
            Optional<HomesRecord> record = readOrLogInvalid(
                    StoreRecords.homesKey(service),
                    found,
                    () -> StoreRecords.readHomes(service, found.value(), found.index()));
            if (record.isPresent()) {
                member.onHomesRead(now, service, record);
            } else {
                member.onHomesUnreachable(now, service);
            }
        } else if (result instanceof ReadResult.Absent) {
            member.onHomesRead(now, service, Optional.empty());
        } else {
            member.onHomesUnreachable(now, service);
        }
        afterInput();
    }

    @Override
    public void swapHomes(HomesRecord next, long expectedIndex) {
        context.store()
                .compareAndSwap(StoreRecords.homesKey(next.service()), expectedIndex, StoreRecords.write(next))
                .thenAccept(result -> context.runOnDecisionThread(() -> {
                    member.onHomesSwap(context.nowMillis(), next.service(), toSwapResult(result));
                    afterInput();
                }));
    }

    private static SwapResult toSwapResult(WriteResult result) {
        return switch (result.kind()) {
            case APPLIED -> SwapResult.APPLIED;
            case CONFLICT -> SwapResult.CONFLICT;
            case OUTCOME_UNKNOWN -> SwapResult.UNKNOWN;
            case UNAVAILABLE -> SwapResult.UNREACHABLE;
        };
    }

    @Override
    public void sendGrant(GrantCall call) {
        BackendServer server = bundle.map(current -> current.backendServers().get(call.backendServer()))
                .orElseThrow();
        grantCallSender
                .send(server, call)
                .thenAccept(response -> context.runOnDecisionThread(() -> handleGrantAnswer(call, response)));
    }

    private void handleGrantAnswer(GrantCall call, GrantResponse response) {
        long now = context.nowMillis();
        grantCallSender.recordAnswer(call.backendServer(), response);
        if (response instanceof GrantResponse.Accepted) {
            member.onGrantAccepted(now, call);
        } else if (response instanceof GrantResponse.Stale stale) {
            Optional<InstanceId> sender =
                    stale.sender().isEmpty() ? Optional.empty() : Optional.of(new InstanceId(stale.sender()));
            member.onGrantRejected(now, call, new FencingToken(stale.senderToken()), sender);
        } else {
            member.onGrantUnanswered(now, call);
        }
        afterInput();
    }

    @Override
    public void rightsChanged() {
        // The input listener runs after every input and applies the rights then.
    }

    /** Reports to the member that the store may have come back from an earlier copy. */
    void reportStoreReconnected() {
        member.onStoreReconnected(context.nowMillis());
        afterInput();
    }

    void reportHandover(BackendServerId server) {
        member.onHandedOver(context.nowMillis(), server);
        afterInput();
    }

    /** Reports to the member that this leaving instance has no open request. */
    void reportDrained() {
        member.onDrained(context.nowMillis());
        afterInput();
    }

    void beginLeaving() {
        member.beginLeaving(context.nowMillis());
        afterInput();
    }
}
