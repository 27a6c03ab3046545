package org.jackdawslip.internal.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.jackdawslip.BackendServerId;
import org.jackdawslip.FencingToken;
import org.jackdawslip.InstanceId;
import org.jackdawslip.RequestId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.admission.RangeStart;
import org.jackdawslip.internal.admission.RegistryRecord;
import org.jackdawslip.internal.admission.RegistrySnapshot;
import org.jackdawslip.internal.admission.SenderHandover;
import org.jackdawslip.internal.ownership.KeyRange;
import org.jackdawslip.protocol.BackendHandover;
import org.jackdawslip.protocol.Envelope;
import org.jackdawslip.protocol.Handover;
import org.jackdawslip.protocol.HandoverAnswer;
import org.jackdawslip.protocol.RequestRecord;
import org.tinylog.Logger;

/**
 * Hands over the send rights of an instance in a planned stop, and receives handovers of other instances. The
 * next sender of a backend server gets the request registry and the current slot limit of that server.
 *
 * <p>Not thread-safe; confined to the decision thread.
 */
final class HandoverHandler {

    /** How long a handover waits for attempts in flight, so that the registry contains their responses. */
    private static final long IN_FLIGHT_WAIT_MILLIS = 2000;

    private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration IN_FLIGHT_POLL_INTERVAL = Duration.ofMillis(20);

    private final InstanceContext context;
    private final MemberDriver driver;
    private final RequestHandler requestHandler;
    private int openHandovers;

    HandoverHandler(InstanceContext context, MemberDriver driver, RequestHandler requestHandler) {
        this.context = context;
        this.driver = driver;
        this.requestHandler = requestHandler;
    }

    /** Starts the handover of every send right of this instance. */
    void start() {
        requestHandler.refuseNewRequests();
        driver.beginLeaving();
        long deadlineMillis = context.nowMillis() + IN_FLIGHT_WAIT_MILLIS;
        for (ServiceQueue serviceQueue : requestHandler.serviceQueues().values()) {
            for (BackendServerId server : serviceQueue.heldServers()) {
                openHandovers++;
                requestHandler.applyDecisions(
                        serviceQueue, serviceQueue.stopDispatching(server, context.clockReading()));
                handOver(serviceQueue, server, deadlineMillis);
            }
        }
    }

    /** Returns whether all send rights are handed over and no request is open. */
    boolean isFinished() {
        if (openHandovers > 0 || !requestHandler.hasNoOpenRequests()) {
            return false;
        }
        driver.reportDrained();
        return driver.member().handedOverAll();
    }

    private void handOver(ServiceQueue serviceQueue, BackendServerId server, long deadlineMillis) {
        if (serviceQueue.inFlight(server) > 0 && context.nowMillis() < deadlineMillis) {
            context.timers()
                    .after(
                            IN_FLIGHT_POLL_INTERVAL,
                            () -> context.runOnDecisionThread(() -> handOver(serviceQueue, server, deadlineMillis)));
            return;
        }
        Optional<FencingToken> token = serviceQueue.heldToken(server);
        Optional<SenderHandover<Exchange>> state = serviceQueue.removeForHandover(server, context.clockReading());
        state.ifPresent(queueState -> requestHandler.applyDecisions(serviceQueue, queueState.decisions()));
        Optional<InstanceId> next = driver.member().nextSender(context.nowMillis(), server);
        Optional<InetSocketAddress> address = next.flatMap(context.peerDirectory()::address);
        if (token.isEmpty() || state.isEmpty() || address.isEmpty()) {
            openHandovers--;
            return;
        }
        Handover message = Handover.newBuilder()
                .setFrom(context.self().value())
                .setBackendServer(toMessage(serviceQueue.service(), token.get(), state.get()))
                .build();
        context.transport()
                .request(
                        address.get(),
                        Envelope.newBuilder().setHandover(message).build(),
                        REPLY_TIMEOUT)
                .whenComplete((reply, failure) -> context.runOnDecisionThread(() -> {
                    openHandovers--;
                    if (failure != null) {
                        Logger.warn("handover of backend server {} to instance {} failed", server, next.get());
                    }
                }));
    }

    /** Receives the state of a backend server from a leaving instance. */
    HandoverAnswer receive(Handover message) {
        BackendHandover state = message.getBackendServer();
        ServiceQueue serviceQueue = requestHandler.serviceQueues().get(new ServiceName(state.getService()));
        if (serviceQueue == null) {
            return HandoverAnswer.newBuilder()
                    .setReason("service \"" + state.getService() + "\" is not known here")
                    .build();
        }
        BackendServerId server = new BackendServerId(state.getBackendServer());
        serviceQueue.recordHandover(
                server, new FencingToken(state.getSenderToken()), fromMessage(state), context.nowMillis());
        driver.reportHandover(server);
        return HandoverAnswer.newBuilder().setAccepted(true).build();
    }

    private static BackendHandover toMessage(ServiceName service, FencingToken token, SenderHandover<?> state) {
        BackendHandover.Builder message = BackendHandover.newBuilder()
                .setBackendServer(state.server().value())
                .setSenderToken(token.value())
                .setRampSlots(state.limit())
                .setStartId(state.startId() == null ? "" : state.startId())
                .setService(service.value());
        state.registry().starts().forEach((range, start) -> message.addRangesBuilder()
                .setFirst(range.first())
                .setLast(range.last())
                .setRangeToken(start.token().value())
                .setCompleteSinceWallMillis(start.completeSinceWallMillis()));
        for (RegistryRecord record : state.registry().records()) {
            RequestRecord.Builder entry = message.addRecordsBuilder()
                    .setRequestId(record.id().toString())
                    .setKeyHash(record.keyHash())
                    .setState(record.state().name())
                    .setStatus(record.status())
                    .setHasBody(record.body() != null);
            if (record.body() != null) {
                entry.setBody(ByteString.copyFrom(record.body()));
            }
        }
        return message.build();
    }

    private static SenderHandover<Exchange> fromMessage(BackendHandover message) {
        Map<KeyRange, RangeStart> ranges = new HashMap<>();
        message.getRangesList()
                .forEach(range -> ranges.put(
                        new KeyRange(range.getFirst(), range.getLast()),
                        new RangeStart(new FencingToken(range.getRangeToken()), range.getCompleteSinceWallMillis())));
        List<RegistryRecord> records = new ArrayList<>();
        for (RequestRecord record : message.getRecordsList()) {
            records.add(new RegistryRecord(
                    RequestId.parse(record.getRequestId()),
                    record.getKeyHash(),
                    RegistryRecord.State.valueOf(record.getState()),
                    record.getStatus(),
                    record.getHasBody() ? record.getBody().toByteArray() : null));
        }
        return new SenderHandover<>(
                new BackendServerId(message.getBackendServer()),
                message.getRampSlots(),
                message.getStartId().isEmpty() ? null : message.getStartId(),
                new RegistrySnapshot(new ServiceName(message.getService()), ranges, records),
                List.of());
    }
}
