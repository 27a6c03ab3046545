package org.jackdawslip.internal.gateway;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.internal.traffic.CallerLimits;

/** Accepts connections of callers. Confined to the event loop except {@link #start} and {@link #bind}. */
final class CallerServer {

    /** Interval between checks of the time limits of callers. */
    private static final long DEADLINE_CHECK_INTERVAL_MILLIS = 250;
    /**
     * Sizes of the buffer into which a connection reads. A part of it may stay in memory with the start of a request,
     * so it is smaller than the 64 KB that Netty permits.
     */
    private static final int MIN_READ_BYTES = 64;

    private static final int INITIAL_READ_BYTES = 2 * 1024;
    private static final int MAX_READ_BYTES = 16 * 1024;
    /** Limit of connections that wait in the operating system to be accepted. */
    private static final int ACCEPT_BACKLOG = 1_024;

    /** Unsent bytes of a connection above which a response is no longer read from its server, and below which it is. */
    private static final WriteBufferWaterMark UNSENT_BYTES = new WriteBufferWaterMark(8 * 1024, 16 * 1024);

    private final EventLoopGroup loop;
    private final RequestComponents components;
    private final CallerResources resources;
    private final Set<CallerConnection> connections = new HashSet<>();
    private Channel listener;
    private boolean keepAliveDisabled;
    private boolean readingStopped;

    CallerServer(EventLoopGroup loop, RequestComponents components, CallerResources resources) {
        this.loop = loop;
        this.components = components;
        this.resources = resources;
    }

    /**
     * Binds the address and accepts connections of callers.
     *
     * @throws JackdawslipException with {@link ErrorCode#ADDRESS_IN_USE} if the address cannot be bound
     */
    void start(InetSocketAddress address, GatewayContext context) {
        context.every(DEADLINE_CHECK_INTERVAL_MILLIS, "caller-deadlines", this::checkDeadlines);
        listener = bind(loop, address, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                accept(channel);
            }
        });
    }

    /**
     * Binds an address and waits for the result.
     *
     * @param initializer sets up the pipeline of each accepted connection
     * @throws JackdawslipException with {@link ErrorCode#ADDRESS_IN_USE} if the address cannot be bound
     */
    static Channel bind(EventLoopGroup loop, InetSocketAddress address, ChannelInitializer<Channel> initializer) {
        try {
            return new ServerBootstrap()
                    .group(loop)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                    .childOption(
                            ChannelOption.RECVBUF_ALLOCATOR,
                            new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES))
                    .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, UNSENT_BYTES)
                    .childHandler(initializer)
                    .bind(address)
                    .syncUninterruptibly()
                    .channel();
        } catch (Exception e) {
            throw new JackdawslipException(
                    ErrorCode.ADDRESS_IN_USE, "cannot listen on " + address + ": " + e.getMessage(), e);
        }
    }

    private void accept(Channel channel) {
        CallerConnection connection = new CallerConnection(components, this, resources, channel);
        if (!connection.tryOpen()) {
            channel.close();
            return;
        }
        CallerLimits limits = components.routing().callerLimits();
        HttpDecoderConfig decoder = new HttpDecoderConfig()
                .setMaxInitialLineLength(limits.maxHeaderBytes())
                .setMaxHeaderSize(limits.maxHeaderBytes());
        connection.addHandlers(channel.pipeline(), decoder);
    }

    /** Returns the remote address of a connection without its port. */
    static Object addressOf(Channel channel) {
        return channel.remoteAddress() instanceof InetSocketAddress remote ? remote.getAddress() : "unknown";
    }

    private void checkDeadlines() {
        CallerLimits limits = components.routing().callerLimits();
        List.copyOf(connections).forEach(connection -> connection.checkDeadlines(limits));
    }

    void onConnectionOpened(CallerConnection connection) {
        connections.add(connection);
    }

    void onConnectionClosed(CallerConnection connection) {
        connections.remove(connection);
    }

    boolean keepAliveDisabled() {
        return keepAliveDisabled;
    }

    /** Closes each connection after the response to its last open request from now on. */
    void disableKeepAlive() {
        keepAliveDisabled = true;
    }

    /** Stops accepting connections and reading requests. Requests that were read receive a response. */
    void closeGracefully() {
        if (!readingStopped) {
            readingStopped = true;
            listener.close();
            List.copyOf(connections).forEach(CallerConnection::closeGracefully);
        }
    }

    /** Answers the requests that are still open, because the process is about to exit. */
    void answerOpenRequests() {
        List.copyOf(connections).forEach(CallerConnection::answerOpenRequests);
    }

    boolean readingStopped() {
        return readingStopped;
    }

    /** Returns the number of connections with a response that is due or that the caller may still receive. */
    long countBusyConnections() {
        return connections.stream().filter(CallerConnection::isBusy).count();
    }
}
