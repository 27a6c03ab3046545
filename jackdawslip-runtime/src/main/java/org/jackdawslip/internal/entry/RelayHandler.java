package org.jackdawslip.internal.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.InstanceId;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.Outcome;
import org.jackdawslip.RequestId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.http.HttpHeader;
import org.jackdawslip.internal.metrics.RouterMetrics;
import org.jackdawslip.internal.ownership.Timing;
import org.jackdawslip.internal.peer.PeerException;
import org.jackdawslip.internal.peer.PeerReply;
import org.jackdawslip.protocol.Envelope;
import org.jackdawslip.protocol.Header;
import org.jackdawslip.protocol.RelayAnswer;
import org.jackdawslip.protocol.RelayCancel;
import org.jackdawslip.protocol.RelayRequest;

/**
 * Relays requests to other instances and receives the requests that other instances relay.
 *
 * <p>Invariant: an at-most-once request is relayed again only if the previous relay certainly did not run it.
 * Not thread-safe; confined to the decision thread.
 */
final class RelayHandler {

    /** The receiver replies at the deadline at the latest, and the reply arrives within this time. */
    private static final long REPLY_GRACE_MILLIS = 100;

    /**
     * After each loss the instance is avoided for 500 ms, so this many losses take longer than a takeover.
     */
    private static final int MAX_LOST_RELAYS = 8;

    private final InstanceContext context;
    private final RequestHandler requestHandler;
    private final Map<String, OutgoingRelay> outgoing = new HashMap<>();
    private final Map<String, Exchange> incoming = new HashMap<>();
    private final Map<InstanceId, Long> lastMessageAtMillis = new HashMap<>();
    private long sequence;

    RelayHandler(InstanceContext context, RequestHandler requestHandler) {
        this.context = context;
        this.requestHandler = requestHandler;
    }

    /** Records the current time as that of the last heartbeat or heartbeat reply of a peer. */
    void recordMessage(InstanceId peer) {
        lastMessageAtMillis.put(peer, context.nowMillis());
    }

    /**
     * Returns whether a heartbeat or heartbeat reply of a peer arrived within
     * {@link Timing#SUSPECT_MILLIS}.
     */
    boolean isAlive(InstanceId peer) {
        Long lastMessageMillis = lastMessageAtMillis.get(peer);
        return lastMessageMillis != null && context.nowMillis() - lastMessageMillis <= Timing.SUSPECT_MILLIS;
    }

    void relay(Exchange exchange, InstanceId instance, int hops, boolean hedge) {
        Optional<InetSocketAddress> address = context.peerDirectory().address(instance);
        long remainingMillis = exchange.deadlineMillis - context.nowMillis();
        if (address.isEmpty() || remainingMillis <= 0) {
            if (!hedge) {
                requestHandler.handleRefusal(
                        exchange, ErrorCode.NO_OWNER, "the address of instance " + instance + " is not known");
            }
            return;
        }
        String relayId =
                context.self() + "-" + Long.toHexString(context.address().getStartId()) + "-" + sequence++;
        RelayRequest message = toMessage(exchange, relayId, hops, hedge, remainingMillis);
        context.metrics().count(RouterMetrics.Event.RELAY);
        OutgoingRelay relay = new OutgoingRelay(exchange, instance, address.get(), relayId, hedge);
        outgoing.put(relayId, relay);
        exchange.relayCount++;
        context.transport()
                .request(
                        address.get(),
                        Envelope.newBuilder().setRelayRequest(message).build(),
                        Duration.ofMillis(remainingMillis + REPLY_GRACE_MILLIS))
                .whenComplete((envelope, failure) ->
                        context.runOnDecisionThread(() -> handleReply(relay, envelope, failure)));
    }

    private static RelayRequest toMessage(
            Exchange exchange, String relayId, int hops, boolean hedge, long remainingMillis) {
        RelayRequest.Builder message = RelayRequest.newBuilder()
                .setService(exchange.service.value())
                .setMethod(exchange.method)
                .setPath(exchange.path)
                .setBody(ByteString.copyFrom(exchange.body))
                .setTenant(exchange.tenant)
                .setKey(exchange.key.orElse(""))
                .setRequestId(exchange.requestId.map(RequestId::toString).orElse(""))
                .setUrgent(exchange.urgent)
                .setTimeoutMillis((int) remainingMillis)
                .setHops(hops)
                .setAtMostOnce(exchange.atMostOnce())
                .setOnlyIfFree(hedge)
                .setRelayId(relayId);
        exchange.headers.forEach(
                header -> message.addHeadersBuilder().setName(header.name()).setValue(header.value()));
        return message.build();
    }

    private void handleReply(OutgoingRelay relay, Envelope envelope, Throwable failure) {
        boolean alreadyRemoved = outgoing.remove(relay.relayId) == null;
        if (alreadyRemoved || !relay.exchange.isOpen()) {
            return;
        }
        if (failure != null) {
            handleFailure(relay, failure);
            return;
        }
        RelayAnswer reply = envelope.getRelayAnswer();
        requestHandler.recordReportedLoads(relay.instance, reply.getLoadsList());
        if (reply.getErrorCode().isEmpty()) {
            cancelOtherRelays(relay);
            relay.exchange.respond(
                    reply.getStatus(),
                    headers(reply.getHeadersList()),
                    reply.getBody().toByteArray());
            if (relay.hedge) {
                requestHandler.cancelCompletedElsewhere(relay.exchange);
            }
        } else if (!relay.hedge) {
            ErrorCode code = ErrorCode.valueOf(reply.getErrorCode());
            if (code == ErrorCode.OUTCOME_UNKNOWN && !relay.exchange.atMostOnce()) {
                // The receiver lost the request after relaying it; an idempotent request may take another
                // route.
                handleLostRelay(relay);
                return;
            }
            requestHandler.handleRefusal(relay.exchange, code, reply.getErrorMessage());
        }
    }

    private void handleFailure(OutgoingRelay relay, Throwable failure) {
        boolean notRun = failure instanceof PeerException peer && peer.outcome() == Outcome.NOT_RUN;
        // Immediate retries at a lost instance would use up the retries before another instance takes over.
        context.peerDirectory().avoid(relay.instance, context.nowMillis());
        if (relay.hedge) {
            return;
        }
        if (notRun) {
            requestHandler.handleRefusal(
                    relay.exchange, ErrorCode.NO_OWNER, "instance " + relay.instance + " cannot be reached");
        } else {
            handleLostRelay(relay);
        }
    }

    private void handleLostRelay(OutgoingRelay relay) {
        Exchange exchange = relay.exchange;
        boolean retry = !exchange.atMostOnce()
                && exchange.lostRelays < MAX_LOST_RELAYS
                && context.nowMillis() < exchange.deadlineMillis;
        if (retry) {
            exchange.lostRelays++;
            context.metrics().count(RouterMetrics.Event.RETRY);
            requestHandler.handleRefusal(exchange, ErrorCode.NO_OWNER, "instance " + relay.instance + " was lost");
        } else {
            exchange.fail(ErrorCode.OUTCOME_UNKNOWN, "instance " + relay.instance + " did not answer");
        }
    }

    private void cancelOtherRelays(OutgoingRelay completed) {
        if (completed.exchange.relayCount < 2) {
            return;
        }
        for (OutgoingRelay other : List.copyOf(outgoing.values())) {
            if (other.exchange == completed.exchange) {
                outgoing.remove(other.relayId);
                cancel(other);
            }
        }
    }

    private void cancel(OutgoingRelay relay) {
        RelayCancel cancel = RelayCancel.newBuilder().setRelayId(relay.relayId).build();
        context.transport()
                .send(
                        relay.address,
                        Envelope.newBuilder().setRelayCancel(cancel).build())
                .exceptionally(failure -> null);
    }

    /**
     * Cancels idempotent relays to peers that have become silent, so that the requests are retried before
     * their deadline.
     */
    void tick(long now) {
        for (OutgoingRelay relay : List.copyOf(outgoing.values())) {
            Long lastMessageMillis = lastMessageAtMillis.get(relay.instance);
            boolean silent = lastMessageMillis != null
                    ? now - lastMessageMillis > Timing.SUSPECT_MILLIS
                    : context.peerDirectory().isMissingFromSummary(relay.instance, now);
            if (silent && relay.exchange.isOpen() && !relay.exchange.atMostOnce()) {
                outgoing.remove(relay.relayId);
                context.peerDirectory().avoid(relay.instance, now);
                cancel(relay);
                if (!relay.hedge) {
                    handleLostRelay(relay);
                }
            } else if (!relay.exchange.isOpen()) {
                outgoing.remove(relay.relayId);
                cancel(relay);
            }
        }
    }

    /** Handles a request that another instance relayed, and replies when its exchange completes. */
    void receive(RelayRequest message, PeerReply reply) {
        Exchange exchange;
        try {
            exchange = new Exchange.Builder()
                    .target(new ServiceName(message.getService()), message.getMethod(), message.getPath())
                    .content(
                            headers(message.getHeadersList()), message.getBody().toByteArray())
                    .tenant(message.getTenant())
                    .identity(
                            message.getKey().isEmpty() ? Optional.empty() : Optional.of(message.getKey()),
                            message.getRequestId().isEmpty()
                                    ? Optional.empty()
                                    : Optional.of(RequestId.parse(message.getRequestId())))
                    .urgent(message.getUrgent())
                    .hops(Math.max(1, message.getHops()))
                    .onlyIfFree(message.getOnlyIfFree())
                    .time(context.nowMillis(), message.getTimeoutMillis())
                    .build();
        } catch (JackdawslipException e) {
            reply.send(envelope(toErrorReply(e.code(), e.getMessage())));
            return;
        }
        incoming.put(message.getRelayId(), exchange);
        exchange.result.whenComplete((result, failure) -> context.runOnDecisionThread(() -> {
            incoming.remove(message.getRelayId());
            RelayAnswer.Builder relayReply =
                    result.error().isPresent() ? toErrorReply(result.error().get(), result.message()) : toReply(result);
            reply.send(envelope(relayReply.addAllLoads(requestHandler.ownLoads())));
        }));
        requestHandler.start(exchange);
    }

    /** Cancels a relayed request whose reply the relaying instance no longer waits for. */
    void receive(RelayCancel message) {
        Exchange exchange = incoming.remove(message.getRelayId());
        if (exchange != null && exchange.isOpen()) {
            requestHandler.cancelCompletedElsewhere(exchange);
            exchange.fail(ErrorCode.OUTCOME_UNKNOWN, "cancelled by the instance that relayed the request");
        }
    }

    private static RelayAnswer.Builder toReply(Exchange.Response response) {
        RelayAnswer.Builder message =
                RelayAnswer.newBuilder().setStatus(response.status()).setBody(ByteString.copyFrom(response.body()));
        response.headers()
                .forEach(header ->
                        message.addHeadersBuilder().setName(header.name()).setValue(header.value()));
        return message;
    }

    private static RelayAnswer.Builder toErrorReply(ErrorCode code, String text) {
        return RelayAnswer.newBuilder()
                .setErrorCode(code.name())
                .setErrorMessage(text)
                .setOutcome(code.outcome().text());
    }

    private static Envelope envelope(RelayAnswer.Builder message) {
        return Envelope.newBuilder().setRelayAnswer(message).build();
    }

    private static List<HttpHeader> headers(List<Header> messages) {
        List<HttpHeader> headers = new ArrayList<>();
        messages.forEach(header -> headers.add(new HttpHeader(header.getName(), header.getValue())));
        return headers;
    }

    private record OutgoingRelay(
            Exchange exchange, InstanceId instance, InetSocketAddress address, String relayId, boolean hedge) {}
}
