package org.jackdawslip.internal.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.InstanceId;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.LoadReport;
import org.jackdawslip.internal.keyspace.KeyMoveAnnouncement;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.membership.InstanceOrder;
import org.jackdawslip.internal.quota.QuotaClaim;
import org.jackdawslip.internal.quota.QuotaReply;
import org.jackdawslip.internal.quota.QuotaRequest;
import org.jackdawslip.internal.time.MonotonicClock;

/**
 * Sends to the other instances how many requests this instance has in flight at each backend server and the
 * load reports of the backend servers, and to the key coordinator which keys were used.
 *
 * <p>Each message is one datagram in protobuf wire format. Values are absolute, so a lost or repeated
 * datagram does no lasting harm. No guarantee of the router depends on these messages, except that quotas depend on
 * the requests for tokens and their replies ({@link QuotaExchange}). Confined to the event loop.
 */
final class PeerExchange {

    /** Shortest time for which changes are collected into one datagram to peers in the own failure domain. */
    private static final long SAME_DOMAIN_MIN_BATCH_MILLIS = 8;
    /**
     * Datagrams a second to all peers in the own failure domain; each takes about 30 microseconds of processing at
     * the sender and at the receiver.
     */
    private static final int SAME_DOMAIN_MAX_DATAGRAMS_PER_SECOND = 400;
    /**
     * Shortest time for which changes are collected into one datagram to peers in other failure domains. Traffic to
     * other domains is expensive, and their backend servers are used less.
     */
    private static final long OTHER_DOMAINS_MIN_BATCH_MILLIS = 40;
    /**
     * Longest batch time at which counts of requests in flight are sent. Requests take from 60 ms, so older counts
     * are wrong on arrival.
     */
    private static final long MAX_COUNTS_BATCH_MILLIS = 100;

    /** Datagrams a second to all peers in other failure domains. */
    private static final int OTHER_DOMAINS_MAX_DATAGRAMS_PER_SECOND = 30;
    /** Interval at which all non-zero counts are sent again, because datagrams may get lost. */
    private static final long REPEAT_INTERVAL_MILLIS = 1_000;
    /** Interval at which used keys are sent. */
    private static final long KEY_USE_INTERVAL_MILLIS = 300;
    /** Time without a message of a peer after which the counts of that peer are dropped. */
    private static final long PEER_SILENCE_MILLIS = 3_000;
    /** Limit of entries in one datagram. At 40 bytes an entry the datagram stays below the usual frame size. */
    private static final int MAX_ENTRIES_PER_DATAGRAM = 30;

    /** Limit of requests for tokens in one datagram. Each takes up to 110 bytes. */
    private static final int MAX_QUOTA_ENTRIES_PER_DATAGRAM = 12;

    /** Relative service times are sent as integer percentages. */
    private static final double PERCENT_SCALE = 100;

    private static final int FIELD_SENDER = 1;
    private static final int FIELD_SERVER = 2;
    private static final int FIELD_KEY = 3;
    private static final int FIELD_COMPLETE = 4;
    private static final int FIELD_MOVE_ANNOUNCEMENT = 5;
    private static final int FIELD_LEAVING = 6;
    private static final int FIELD_QUOTA_REQUEST = 7;
    private static final int FIELD_QUOTA_REPLY = 8;
    private static final int FIELD_QUOTAS_RELEASED = 9;
    private static final int FIELD_QUOTA_CLAIM = 10;
    private static final int FIELD_QUOTA_CLAIM_ANSWER = 11;

    private final GatewayContext context;
    private final InstanceId self;
    private final EventLoop loop;
    private final MonotonicClock clock;
    private final EventLog log;
    private final BackendDirectory directory;
    private final PeerListener listener;
    private final Map<InstanceId, Peer> peers = new HashMap<>();
    private final Map<InstanceId, Long> lastMessageAt = new HashMap<>();
    private final Outbox sameDomain = new Outbox(SAME_DOMAIN_MIN_BATCH_MILLIS, SAME_DOMAIN_MAX_DATAGRAMS_PER_SECOND);
    private final Outbox otherDomains =
            new Outbox(OTHER_DOMAINS_MIN_BATCH_MILLIS, OTHER_DOMAINS_MAX_DATAGRAMS_PER_SECOND);
    private final List<PeerMessages.KeyUse> keyUses = new ArrayList<>();
    private InstanceId keyCoordinator;
    private Channel channel;

    /**
     * Another instance. Immutable and thread-safe.
     *
     * @param address where the peer accepts datagrams and, over TCP, calls of {@link FailoverReader}
     * @param sameDomain whether the peer is in the own failure domain
     * @param linkMegabitsPerSecond bandwidth of the network link of the peer, in megabits per second; 0 if unknown
     */
    record Peer(InetSocketAddress address, boolean sameDomain, double linkMegabitsPerSecond) {

        String hostAndPort() {
            return address.getHostString() + ":" + address.getPort();
        }

        InstanceOrder.Candidate candidate(InstanceId id) {
            return new InstanceOrder.Candidate(id, linkMegabitsPerSecond);
        }
    }

    /** Changes that were not sent yet to the peers in the own failure domain, or to those in others. */
    private final class Outbox {
        final long minBatchMillis;
        final int maxDatagramsPerSecond;
        final Set<BackendDirectory.Target> changedTargets = new HashSet<>();
        final Map<BackendDirectory.Target, LoadReport> reports = new HashMap<>();
        final Map<BackendDirectory.Target, Integer> serviceTimePercents = new HashMap<>();
        private List<Peer> recipients = List.of();
        private boolean scheduled;
        private long repeatedAt;

        Outbox(long minBatchMillis, int maxDatagramsPerSecond) {
            this.minBatchMillis = minBatchMillis;
            this.maxDatagramsPerSecond = maxDatagramsPerSecond;
        }

        /** Returns whether counts of requests in flight are sent, or only load reports and service times. */
        private boolean sendsCounts() {
            return batchMillis() <= MAX_COUNTS_BATCH_MILLIS;
        }

        /**
         * Returns the time for which changes are collected; more peers mean longer times at the same send
         * rate.
         */
        private long batchMillis() {
            return Math.max(minBatchMillis, 1_000L * recipients.size() / maxDatagramsPerSecond);
        }

        void addChange(BackendDirectory.Target target) {
            changedTargets.add(target);
            if (!scheduled) {
                scheduled = true;
                loop.schedule(this::flush, batchMillis(), TimeUnit.MILLISECONDS);
            }
        }

        private void flush() {
            scheduled = false;
            changedTargets.removeIf(target ->
                    !sendsCounts() && !reports.containsKey(target) && !serviceTimePercents.containsKey(target));
            send(this, List.copyOf(changedTargets), false);
            changedTargets.clear();
            reports.clear();
            serviceTimePercents.clear();
        }

        /** Sends all counts again, unless they were sent again within the last two batch times. */
        private void repeatCounts(List<BackendDirectory.Target> targetsInFlight, long now) {
            if (now - repeatedAt >= 2 * batchMillis()) {
                repeatedAt = now;
                send(this, sendsCounts() ? targetsInFlight : List.of(), true);
            }
        }
    }

    PeerExchange(GatewayContext context, BackendDirectory directory, PeerListener listener) {
        this.context = context;
        this.self = context.settings().instance();
        this.loop = context.loop();
        this.clock = context.clock();
        this.log = context.log();
        this.directory = directory;
        this.listener = listener;
    }

    /**
     * Binds the address and starts to send at intervals.
     *
     * @throws JackdawslipException with {@link ErrorCode#ADDRESS_IN_USE} if the address cannot be bound
     */
    void start(InetSocketAddress address) {
        try {
            channel = new Bootstrap()
                    .group(loop)
                    .channel(NioDatagramChannel.class)
                    .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                    .handler(new Receiver())
                    .bind(address)
                    .syncUninterruptibly()
                    .channel();
        } catch (Exception e) {
            throw new JackdawslipException(
                    ErrorCode.ADDRESS_IN_USE, "cannot bind " + address + ": " + e.getMessage(), e);
        }
        context.every(REPEAT_INTERVAL_MILLIS, "peer-repeat", this::repeatCounts);
        context.every(KEY_USE_INTERVAL_MILLIS, "peer-keys", this::sendKeyUses);
    }

    /** Sets the live instances and drops the counts of those that are no longer live. */
    void setLivePeers(Map<InstanceId, Peer> live) {
        for (InstanceId peer : List.copyOf(peers.keySet())) {
            if (!live.containsKey(peer)) {
                directory.removePeer(peer);
                lastMessageAt.remove(peer);
            }
        }
        peers.clear();
        peers.putAll(live);
        peers.remove(self);
        sameDomain.recipients = peers.values().stream().filter(Peer::sameDomain).toList();
        otherDomains.recipients =
                peers.values().stream().filter(peer -> !peer.sameDomain()).toList();
    }

    /** Sets the instance with the role of key coordinator, or null if none is known. */
    void setKeyCoordinator(InstanceId instance) {
        keyCoordinator = instance;
    }

    void recordInFlightChange(BackendDirectory.Target target) {
        sameDomain.addChange(target);
        otherDomains.addChange(target);
    }

    void recordLoadReport(BackendDirectory.Target target, LoadReport report) {
        sameDomain.reports.put(target, report);
        otherDomains.reports.put(target, report);
        recordInFlightChange(target);
    }

    /** Records the relative service time of a request and sends it to the peers. */
    void addServiceTimeSample(BackendDirectory.Target target, double relativeTime) {
        target.tracker.addServiceTimeSample(relativeTime);
        int percent = (int) Math.round(relativeTime * PERCENT_SCALE);
        sameDomain.serviceTimePercents.put(target, percent);
        otherDomains.serviceTimePercents.put(target, percent);
        recordInFlightChange(target);
    }

    /** Reports one request for a key to the key coordinator. */
    void recordKeyUse(ServiceName service, int slot) {
        if (self.equals(keyCoordinator)) {
            listener.keyUsed(service, slot);
        } else if (keyCoordinator != null) {
            keyUses.add(new PeerMessages.KeyUse(service, slot));
        }
    }

    /** Sends an announcement of the key coordinator to all peers. */
    void announce(KeyMoveAnnouncement announcement) {
        byte[] bytes = PeerMessages.encode(
                output -> output.writeByteArray(FIELD_MOVE_ANNOUNCEMENT, PeerMessages.encode(announcement)));
        peers.values().forEach(peer -> send(peer.address(), bytes));
    }

    /** Sends to all peers that a server stated that it is shutting down, before its listing shows it. */
    void announceLeaving(BackendDirectory.Target target) {
        PeerMessages.LeavingServer leaving = new PeerMessages.LeavingServer(
                target.backend().id(), target.backend().startedAtMillis());
        byte[] bytes =
                PeerMessages.encode(output -> output.writeByteArray(FIELD_LEAVING, PeerMessages.encode(leaving)));
        peers.values().forEach(peer -> send(peer.address(), bytes));
    }

    /** Returns the sender of the messages about quotas. */
    QuotaExchange.Messages quotaMessages() {
        return new QuotaExchange.Messages() {
            @Override
            public void send(InstanceId owner, List<QuotaRequest> requests) {
                sendQuotaRequests(owner, requests);
            }

            @Override
            public void recordNoReply(InstanceId owner, int refused) {
                log.warn("quota-owner-silent", "owner", owner, "refused", refused);
            }

            @Override
            public void reply(InetSocketAddress recipient, List<QuotaReply> replies) {
                sendQuotaReplies(recipient, replies);
            }

            @Override
            public void sendClaim(List<InstanceId> recipients, QuotaClaim claim) {
                byte[] bytes = PeerMessages.encode(
                        output -> output.writeByteArray(FIELD_QUOTA_CLAIM, PeerMessages.encode(claim)));
                recipients.stream()
                        .map(peers::get)
                        .filter(Objects::nonNull)
                        .forEach(peer -> PeerExchange.this.send(peer.address(), bytes));
            }

            @Override
            public void answerClaim(InetSocketAddress recipient, QuotaClaim claim) {
                PeerExchange.this.send(
                        recipient,
                        PeerMessages.encode(
                                output -> output.writeByteArray(FIELD_QUOTA_CLAIM_ANSWER, PeerMessages.encode(claim))));
            }

            @Override
            public void announceRelease(long sentAtMillis) {
                announceQuotaRelease(sentAtMillis);
            }
        };
    }

    private void sendQuotaRequests(InstanceId recipient, List<QuotaRequest> requests) {
        Peer peer = peers.get(recipient);
        if (peer != null) {
            sendInBatches(
                    peer.address(),
                    requests,
                    (output, request) -> output.writeByteArray(FIELD_QUOTA_REQUEST, PeerMessages.encode(request)));
        }
    }

    private void sendQuotaReplies(InetSocketAddress recipient, List<QuotaReply> replies) {
        sendInBatches(
                recipient,
                replies,
                (output, reply) -> output.writeByteArray(FIELD_QUOTA_REPLY, PeerMessages.encode(reply)));
    }

    private void announceQuotaRelease(long sentAtMillis) {
        byte[] bytes = PeerMessages.encode(output -> output.writeInt64(FIELD_QUOTAS_RELEASED, sentAtMillis));
        peers.values().forEach(peer -> send(peer.address(), bytes));
    }

    /** Writes one entry of a datagram. */
    private interface EntryWriter<T> {
        void write(CodedOutputStream output, T entry) throws IOException;
    }

    private <T> void sendInBatches(InetSocketAddress recipient, List<T> entries, EntryWriter<T> writer) {
        for (int from = 0; from < entries.size(); from += MAX_QUOTA_ENTRIES_PER_DATAGRAM) {
            List<T> batch = entries.subList(from, Math.min(entries.size(), from + MAX_QUOTA_ENTRIES_PER_DATAGRAM));
            send(recipient, PeerMessages.encode(output -> {
                for (T entry : batch) {
                    writer.write(output, entry);
                }
            }));
        }
    }

    private void repeatCounts() {
        List<BackendDirectory.Target> targetsInFlight = directory.all().stream()
                .filter(target -> target.tracker.inFlight() > 0)
                .toList();
        long now = clock.millis();
        sameDomain.repeatCounts(targetsInFlight, now);
        otherDomains.repeatCounts(targetsInFlight, now);
        lastMessageAt.entrySet().removeIf(entry -> {
            boolean silent = now - entry.getValue() > PEER_SILENCE_MILLIS + 2 * otherDomains.batchMillis();
            if (silent) {
                directory.removePeer(entry.getKey());
                log.info("peer-silent", "peer", entry.getKey(), "silentMillis", now - entry.getValue());
            }
            return silent;
        });
    }

    /** Sends the counts of the targets. A complete message also reports that all other counts are zero. */
    private void send(Outbox outbox, List<BackendDirectory.Target> targets, boolean complete) {
        for (int from = 0; from < targets.size() || complete && from == 0; from += MAX_ENTRIES_PER_DATAGRAM) {
            boolean first = from == 0;
            List<BackendDirectory.Target> batch =
                    targets.subList(from, Math.min(targets.size(), from + MAX_ENTRIES_PER_DATAGRAM));
            byte[] bytes = PeerMessages.encode(output -> {
                if (complete && first) {
                    output.writeBool(FIELD_COMPLETE, true);
                }
                for (BackendDirectory.Target target : batch) {
                    output.writeByteArray(FIELD_SERVER, PeerMessages.encode(serverState(outbox, target)));
                }
            });
            outbox.recipients.forEach(peer -> send(peer.address(), bytes));
        }
    }

    private static PeerMessages.ServerState serverState(Outbox outbox, BackendDirectory.Target target) {
        return new PeerMessages.ServerState(
                target.backend().id(),
                outbox.sendsCounts() ? target.tracker.inFlight() : 0,
                outbox.reports.get(target),
                outbox.serviceTimePercents.getOrDefault(target, 0));
    }

    private void sendKeyUses() {
        Peer coordinator = keyCoordinator == null ? null : peers.get(keyCoordinator);
        if (coordinator != null) {
            for (int from = 0; from < keyUses.size(); from += MAX_ENTRIES_PER_DATAGRAM) {
                List<PeerMessages.KeyUse> batch =
                        keyUses.subList(from, Math.min(keyUses.size(), from + MAX_ENTRIES_PER_DATAGRAM));
                send(coordinator.address(), PeerMessages.encode(output -> {
                    for (PeerMessages.KeyUse use : batch) {
                        output.writeByteArray(FIELD_KEY, PeerMessages.encode(use));
                    }
                }));
            }
        }
        keyUses.clear();
    }

    private void send(InetSocketAddress recipient, byte[] content) {
        byte[] sender = PeerMessages.encode(output -> output.writeString(FIELD_SENDER, self.value()));
        channel.writeAndFlush(
                new DatagramPacket(Unpooled.wrappedBuffer(sender, content), recipient), channel.voidPromise());
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            try {
                readDatagram(packet.sender(), CodedInputStream.newInstance(ByteBufUtil.getBytes(packet.content())));
            } catch (IOException | JackdawslipException e) {
                log.warn("peer-datagram-invalid", "from", packet.sender(), "problem", e.getMessage());
            }
        }

        private void readDatagram(InetSocketAddress address, CodedInputStream input) throws IOException {
            InstanceId sender = null;
            List<QuotaRequest> quotaRequests = new ArrayList<>(0);
            List<QuotaReply> quotaReplies = new ArrayList<>(0);
            for (int tag = input.readTag(); tag != 0; tag = input.readTag()) {
                switch (WireFormat.getTagFieldNumber(tag)) {
                    case FIELD_SENDER -> {
                        sender = new InstanceId(input.readString());
                        lastMessageAt.put(sender, clock.millis());
                    }
                    case FIELD_COMPLETE -> {
                        input.readBool();
                        directory.removePeer(sender);
                    }
                    case FIELD_SERVER -> applyServerState(
                            sender, PeerMessages.decodeServerState(input.readByteArray()));
                    case FIELD_MOVE_ANNOUNCEMENT -> listener.moveAnnounced(
                            PeerMessages.decodeMoveAnnouncement(input.readByteArray()));
                    case FIELD_LEAVING -> applyLeaving(PeerMessages.decodeLeavingServer(input.readByteArray()));
                    case FIELD_QUOTA_REQUEST -> quotaRequests.add(
                            PeerMessages.decodeQuotaRequest(input.readByteArray()));
                    case FIELD_QUOTA_REPLY -> quotaReplies.add(PeerMessages.decodeQuotaReply(input.readByteArray()));
                    case FIELD_QUOTAS_RELEASED -> listener.quotasReleased(sender, input.readInt64());
                    case FIELD_QUOTA_CLAIM -> listener.quotaClaimed(
                            sender, address, PeerMessages.decodeQuotaClaim(input.readByteArray()));
                    case FIELD_QUOTA_CLAIM_ANSWER -> listener.quotaClaimAnswered(
                            sender, PeerMessages.decodeQuotaClaim(input.readByteArray()));
                    case FIELD_KEY -> {
                        PeerMessages.KeyUse use = PeerMessages.decodeKeyUse(input.readByteArray());
                        listener.keyUsed(use.service(), use.slot());
                    }
                    default -> input.skipField(tag);
                }
            }
            if (!quotaRequests.isEmpty()) {
                listener.quotaRequested(address, quotaRequests);
            }
            if (sender != null && !quotaReplies.isEmpty()) {
                listener.quotaReplied(sender, quotaReplies);
            }
        }

        private void applyLeaving(PeerMessages.LeavingServer leaving) {
            BackendDirectory.Target target = directory.find(leaving.id());
            if (target != null && target.backend().startedAtMillis() == leaving.startedAtMillis()) {
                directory.recordLeaving(target, "peer");
            }
        }

        private void applyServerState(InstanceId sender, PeerMessages.ServerState server) {
            BackendDirectory.Target target = directory.find(server.id());
            if (target == null || sender == null) {
                return;
            }
            target.tracker.setPeerInFlight(sender, server.inFlight());
            if (server.report() != null) {
                Peer peer = peers.get(sender);
                long ageMillis = (peer != null && peer.sameDomain() ? sameDomain : otherDomains).batchMillis();
                target.tracker.recordLoadReport(server.report(), clock.millis(), ageMillis);
            }
            if (server.serviceTimePercent() > 0) {
                target.tracker.addServiceTimeSample(server.serviceTimePercent() / PERCENT_SCALE);
            }
        }
    }
}
