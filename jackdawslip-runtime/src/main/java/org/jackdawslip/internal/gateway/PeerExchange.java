package org.jackdawslip.internal.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.CodedInputStream;
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
import org.jackdawslip.internal.keyspace.KeyNotice;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.time.MonotonicClock;

/**
 * Reports to the other instances how many requests this one has in flight at each backend server and what the servers
 * reported, and to the custodian of keys which keys were used.
 *
 * <p>Messages are single datagrams in the protobuf wire format; each states absolute values, so a lost or repeated one
 * does no harm. Nothing that must hold depends on them. Confined to the event loop.
 */
final class PeerExchange {

    /** Shortest time for which changes are gathered into one datagram to peers in the own failure domain. */
    private static final long NEAR_BATCH_MILLIS = 8;
    /** Datagrams a second to all of them; each costs about 30 microseconds at both ends. */
    private static final int NEAR_DATAGRAMS_PER_SECOND = 400;
    /** The same for peers in other failure domains, where bytes are expensive and whose servers are used less. */
    private static final long FAR_BATCH_MILLIS = 40;
    /** Counts in flight that are gathered for longer are wrong when they arrive; a request takes 60 ms and more. */
    private static final long COUNTS_BATCH_MILLIS = 100;

    private static final int FAR_DATAGRAMS_PER_SECOND = 30;
    /** Interval at which all non-zero counts are repeated, because datagrams get lost. */
    private static final long REPEAT_MILLIS = 1_000;
    /** Interval at which used keys are sent. */
    private static final long KEYS_MILLIS = 300;
    /** The counts of a peer are dropped after this time without any of its repeated messages. */
    private static final long SILENCE_MILLIS = 3_000;
    /** Most entries in one datagram; 40 bytes each stay below the usual frame size. */
    private static final int MAX_ENTRIES = 30;

    /** Relative service times travel as whole percents. */
    private static final double SPEED_SCALE = 100;

    private static final int FIELD_SENDER = 1;
    private static final int FIELD_SERVER = 2;
    private static final int FIELD_KEY = 3;
    private static final int FIELD_COMPLETE = 4;
    private static final int FIELD_NOTICE = 5;

    private final Context context;
    private final InstanceId self;
    private final EventLoop loop;
    private final MonotonicClock clock;
    private final EventLog log;
    private final BackendDirectory directory;
    private final PeerListener listener;
    private final Map<InstanceId, Peer> peers = new HashMap<>();
    private final Map<InstanceId, Long> heardAt = new HashMap<>();
    private final Outbox near = new Outbox(NEAR_BATCH_MILLIS, NEAR_DATAGRAMS_PER_SECOND);
    private final Outbox far = new Outbox(FAR_BATCH_MILLIS, FAR_DATAGRAMS_PER_SECOND);
    private final List<PeerMessages.KeyUse> keyUses = new ArrayList<>();
    private InstanceId custodian;
    private Channel channel;

    /**
     * Another instance. Immutable and thread-safe.
     *
     * @param address where it takes datagrams and reads of the store
     * @param near whether it is in the own failure domain
     */
    record Peer(InetSocketAddress address, boolean near) {}

    /** What the peers of one kind have not been told yet. */
    private final class Outbox {
        final long shortestBatchMillis;
        final int datagramsPerSecond;
        final Set<BackendDirectory.Target> changed = new HashSet<>();
        final Map<BackendDirectory.Target, LoadReport> reports = new HashMap<>();
        final Map<BackendDirectory.Target, Integer> speeds = new HashMap<>();
        private List<Peer> to = List.of();
        private boolean scheduled;
        private long repeatedAt;

        Outbox(long shortestBatchMillis, int datagramsPerSecond) {
            this.shortestBatchMillis = shortestBatchMillis;
            this.datagramsPerSecond = datagramsPerSecond;
        }

        private boolean tellsCounts() {
            return batchMillis() <= COUNTS_BATCH_MILLIS;
        }

        /** Returns for how long changes are gathered; the cost of this instance does not grow with its peers. */
        private long batchMillis() {
            return Math.max(shortestBatchMillis, 1_000L * to.size() / datagramsPerSecond);
        }

        void changed(BackendDirectory.Target target) {
            changed.add(target);
            if (!scheduled) {
                scheduled = true;
                loop.schedule(this::flush, batchMillis(), TimeUnit.MILLISECONDS);
            }
        }

        private void flush() {
            scheduled = false;
            changed.removeIf(target -> !tellsCounts() && !reports.containsKey(target) && !speeds.containsKey(target));
            send(this, List.copyOf(changed), false);
            changed.clear();
            reports.clear();
            speeds.clear();
        }

        private void repeat(List<BackendDirectory.Target> busy, long now) {
            if (now - repeatedAt >= 2 * batchMillis()) {
                repeatedAt = now;
                send(this, tellsCounts() ? busy : List.of(), true);
            }
        }
    }

    PeerExchange(Context context, BackendDirectory directory, PeerListener listener) {
        this.context = context;
        this.self = context.settings().instance();
        this.loop = context.loop();
        this.clock = context.clock();
        this.log = context.log();
        this.directory = directory;
        this.listener = listener;
    }

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
        context.every(REPEAT_MILLIS, "peer-repeat", this::repeat);
        context.every(KEYS_MILLIS, "peer-keys", this::sendKeys);
    }

    void peers(Map<InstanceId, Peer> live) {
        for (InstanceId known : List.copyOf(peers.keySet())) {
            if (!live.containsKey(known)) {
                directory.forgetPeer(known);
                heardAt.remove(known);
            }
        }
        peers.clear();
        peers.putAll(live);
        peers.remove(self);
        near.to = peers.values().stream().filter(Peer::near).toList();
        far.to = peers.values().stream().filter(peer -> !peer.near()).toList();
    }

    void custodian(InstanceId instance) {
        custodian = instance;
    }

    void inFlightChanged(BackendDirectory.Target target) {
        near.changed(target);
        far.changed(target);
    }

    void loadReported(BackendDirectory.Target target, LoadReport report) {
        near.reports.put(target, report);
        far.reports.put(target, report);
        inFlightChanged(target);
    }

    /** Takes the relative service time of a request, which the peers learn as well. */
    void speedSample(BackendDirectory.Target target, double relative) {
        target.tracker.speedSample(relative);
        int percent = (int) Math.round(relative * SPEED_SCALE);
        near.speeds.put(target, percent);
        far.speeds.put(target, percent);
        inFlightChanged(target);
    }

    void keyUsed(ServiceName service, int slot) {
        if (self.equals(custodian)) {
            listener.keyUsed(service, slot);
        } else if (custodian != null) {
            keyUses.add(new PeerMessages.KeyUse(service, slot));
        }
    }

    /** Spreads a notice of the custodian. */
    void announce(KeyNotice notice) {
        byte[] bytes = PeerMessages.encode(output -> output.writeByteArray(FIELD_NOTICE, PeerMessages.encode(notice)));
        peers.values().forEach(peer -> send(peer.address(), bytes));
    }

    private void repeat() {
        List<BackendDirectory.Target> busy = directory.all().stream()
                .filter(target -> target.tracker.inFlight() > 0)
                .toList();
        long now = clock.millis();
        near.repeat(busy, now);
        far.repeat(busy, now);
        heardAt.entrySet().removeIf(entry -> {
            boolean silent = now - entry.getValue() > SILENCE_MILLIS + 2 * far.batchMillis();
            if (silent) {
                directory.forgetPeer(entry.getKey());
                log.info("peer-silent", "peer", entry.getKey(), "silentMillis", now - entry.getValue());
            }
            return silent;
        });
    }

    /** Sends the counts of the targets; a complete message states that all other counts are zero. */
    private void send(Outbox outbox, List<BackendDirectory.Target> targets, boolean complete) {
        for (int from = 0; from < targets.size() || complete && from == 0; from += MAX_ENTRIES) {
            boolean first = from == 0;
            List<BackendDirectory.Target> part = targets.subList(from, Math.min(targets.size(), from + MAX_ENTRIES));
            byte[] bytes = PeerMessages.encode(output -> {
                if (complete && first) {
                    output.writeBool(FIELD_COMPLETE, true);
                }
                for (BackendDirectory.Target target : part) {
                    output.writeByteArray(FIELD_SERVER, PeerMessages.encode(describe(outbox, target)));
                }
            });
            outbox.to.forEach(peer -> send(peer.address(), bytes));
        }
    }

    private static PeerMessages.Server describe(Outbox outbox, BackendDirectory.Target target) {
        return new PeerMessages.Server(
                target.backend().id(),
                outbox.tellsCounts() ? target.tracker.inFlight() : 0,
                outbox.reports.get(target),
                outbox.speeds.getOrDefault(target, 0));
    }

    private void sendKeys() {
        Peer to = custodian == null ? null : peers.get(custodian);
        if (to != null) {
            for (int from = 0; from < keyUses.size(); from += MAX_ENTRIES) {
                List<PeerMessages.KeyUse> part = keyUses.subList(from, Math.min(keyUses.size(), from + MAX_ENTRIES));
                send(to.address(), PeerMessages.encode(output -> {
                    for (PeerMessages.KeyUse use : part) {
                        output.writeByteArray(FIELD_KEY, PeerMessages.encode(use));
                    }
                }));
            }
        }
        keyUses.clear();
    }

    private void send(InetSocketAddress to, byte[] content) {
        byte[] sender = PeerMessages.encode(output -> output.writeString(FIELD_SENDER, self.value()));
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(sender, content), to), channel.voidPromise());
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
                read(CodedInputStream.newInstance(ByteBufUtil.getBytes(packet.content())));
            } catch (IOException | JackdawslipException e) {
                log.warn("peer-datagram-invalid", "from", packet.sender(), "problem", e.getMessage());
            }
        }

        private void read(CodedInputStream input) throws IOException {
            InstanceId sender = null;
            for (int tag = input.readTag(); tag != 0; tag = input.readTag()) {
                switch (WireFormat.getTagFieldNumber(tag)) {
                    case FIELD_SENDER -> {
                        sender = new InstanceId(input.readString());
                        heardAt.put(sender, clock.millis());
                    }
                    case FIELD_COMPLETE -> {
                        input.readBool();
                        directory.forgetPeer(sender);
                    }
                    case FIELD_SERVER -> readServer(sender, PeerMessages.server(input.readByteArray()));
                    case FIELD_NOTICE -> listener.noticed(PeerMessages.notice(input.readByteArray()));
                    case FIELD_KEY -> {
                        PeerMessages.KeyUse use = PeerMessages.keyUse(input.readByteArray());
                        listener.keyUsed(use.service(), use.slot());
                    }
                    default -> input.skipField(tag);
                }
            }
        }

        private void readServer(InstanceId sender, PeerMessages.Server server) {
            BackendDirectory.Target target = directory.find(server.id());
            if (target == null || sender == null) {
                return;
            }
            target.tracker.peerInFlight(sender, server.inFlight());
            if (server.report() != null) {
                Peer peer = peers.get(sender);
                long ageMillis = (peer != null && peer.near() ? near : far).batchMillis();
                target.tracker.report(server.report(), clock.millis(), ageMillis);
            }
            if (server.speedPercent() > 0) {
                target.tracker.speedSample(server.speedPercent() / SPEED_SCALE);
            }
        }
    }
}
