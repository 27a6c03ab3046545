package org.jackdawslip.internal.peer;

import java.net.BindException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.Outcome;
import org.jackdawslip.protocol.Envelope;

/**
 * Exchanges envelopes with other instances over TCP.
 *
 * <p>There is one outgoing connection per peer; a reply is sent on the connection of its request. After a
 * failed attempt to connect or a closed connection, envelopes for that peer fail immediately until the
 * backoff has passed. Thread-safe. Futures complete on I/O threads, so dependent actions must not block.
 *
 * <pre>{@code
 * PeerTransport transport = PeerTransport.open(new InetSocketAddress("127.0.0.1", 7400), handler);
 * transport.request(peer, envelope, Duration.ofMillis(500)).whenComplete(this::handleReply);
 * }</pre>
 */
public final class PeerTransport implements AutoCloseable {

    static final int MAX_FRAME_BYTES = 2 * 1024 * 1024;

    // High water mark of the outgoing queue; above it, envelopes fail immediately. Four frames of the maximum
    // size fit, so that a large table update does not make the next heartbeat fail.
    private static final int OUTGOING_QUEUE_HIGH_WATER_BYTES = 4 * MAX_FRAME_BYTES;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int IO_THREADS = 2;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(
            IO_THREADS, new DefaultThreadFactory("peer", true), NioIoHandler.newFactory());
    private final AtomicLong correlationIds = new AtomicLong();
    private final ConcurrentHashMap<InetSocketAddress, PeerConnection> connections = new ConcurrentHashMap<>();
    private final PeerCounters counters = new PeerCounters();
    private final PeerHandler handler;
    private final Channel server;
    private volatile boolean closed;

    private PeerTransport(InetSocketAddress address, PeerHandler handler) {
        this.handler = Objects.requireNonNull(handler, "handler");
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        PeerPipeline.install(channel, counters, envelope -> handleEnvelope(channel, envelope));
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            throw bindFailure(address, bound.cause());
        }
        server = bound.channel();
    }

    /**
     * Opens a transport that listens on an address.
     *
     * @throws JackdawslipException with {@link ErrorCode#ADDRESS_IN_USE} if the address cannot be bound
     */
    public static PeerTransport open(InetSocketAddress address, PeerHandler handler) {
        return new PeerTransport(address, handler);
    }

    private static JackdawslipException bindFailure(InetSocketAddress address, Throwable cause) {
        String reason = cause instanceof BindException ? "is in use or not local" : "cannot be bound";
        return new JackdawslipException(
                ErrorCode.ADDRESS_IN_USE, "peer address " + address + " " + reason + ": " + cause.getMessage(), cause);
    }

    /** Returns the address on which the transport listens. */
    public InetSocketAddress localAddress() {
        return (InetSocketAddress) server.localAddress();
    }

    /** Returns the counters of this transport. */
    public PeerCounters counters() {
        return counters;
    }

    /**
     * Sends an envelope that gets no reply.
     *
     * @return completes when the envelope has been passed to the operating system, or exceptionally with a
     *     {@link PeerException}
     */
    public CompletableFuture<Void> send(InetSocketAddress peer, Envelope envelope) {
        if (closed) {
            return CompletableFuture.failedFuture(closedFailure());
        }
        return connection(peer).send(envelope.toBuilder().clearCorrelationId().build());
    }

    /**
     * Sends an envelope as a request and receives the reply with the same correlation id.
     *
     * @param timeout the maximum time until the reply, including the time to connect; must be positive
     * @return completes with the reply, or exceptionally with a {@link PeerException} that states whether the
     *     envelope may have reached the peer
     * @throws JackdawslipException with {@link ErrorCode#INVALID_ARGUMENT} if the timeout is not positive
     */
    public CompletableFuture<Envelope> request(InetSocketAddress peer, Envelope envelope, Duration timeout) {
        if (timeout.isNegative() || timeout.isZero()) {
            throw new JackdawslipException(ErrorCode.INVALID_ARGUMENT, "timeout " + timeout + " is not positive");
        }
        if (closed) {
            return CompletableFuture.failedFuture(closedFailure());
        }
        Envelope numbered = envelope.toBuilder()
                .setCorrelationId(correlationIds.incrementAndGet())
                .build();
        return connection(peer).request(numbered, timeout);
    }

    /** Closes the connection to a peer that is no longer a member, and discards its backoff. */
    public void removePeer(InetSocketAddress peer) {
        PeerConnection connection = connections.remove(peer);
        if (connection != null) {
            connection.close();
        }
    }

    private PeerConnection connection(InetSocketAddress peer) {
        return connections.computeIfAbsent(
                peer, address -> new PeerConnection(address, bootstrap(), group.next(), counters));
    }

    private static PeerException closedFailure() {
        return new PeerException(Outcome.NOT_RUN, "the peer transport is closed", null);
    }

    private Bootstrap bootstrap() {
        return new Bootstrap()
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark());
    }

    private static WriteBufferWaterMark waterMark() {
        return new WriteBufferWaterMark(OUTGOING_QUEUE_HIGH_WATER_BYTES / 2, OUTGOING_QUEUE_HIGH_WATER_BYTES);
    }

    private void handleEnvelope(Channel channel, Envelope envelope) {
        long correlationId = envelope.getCorrelationId();
        handler.handle(envelope, reply -> {
            if (!channel.isActive()) {
                return false;
            }
            if (!channel.isWritable()) {
                counters.queueFull.increment();
                return false;
            }
            channel.writeAndFlush(
                    reply.toBuilder().setCorrelationId(correlationId).build());
            counters.framesSent.increment();
            return true;
        });
    }

    @Override
    public void close() {
        closed = true;
        server.close().awaitUninterruptibly();
        connections.values().forEach(PeerConnection::close);
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
