package org.jackdawslip.internal.gateway;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.internal.traffic.CallerLimits;

/** Accepts connections of callers. Confined to the event loop except {@link #start} and {@link #bind}. */
final class CallerServer {

    /** Maximum size of a request body, whatever the configuration permits; the body is buffered in memory. */
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;
    /** Limit of connections that wait in the operating system to be accepted. */
    private static final int ACCEPT_BACKLOG = 1_024;

    /** Unsent bytes of a connection above which a response is no longer read from its server, and below which it is. */
    private static final WriteBufferWaterMark UNSENT_BYTES = new WriteBufferWaterMark(8 * 1024, 16 * 1024);

    private final EventLoopGroup loop;
    private final RequestComponents components;
    private final Set<CallerConnection> connections = new HashSet<>();
    private Channel listener;
    private boolean keepAliveDisabled;
    private boolean readingStopped;

    CallerServer(EventLoopGroup loop, RequestComponents components) {
        this.loop = loop;
        this.components = components;
    }

    /**
     * Binds the address and accepts connections of callers.
     *
     * @throws JackdawslipException with {@link ErrorCode#ADDRESS_IN_USE} if the address cannot be bound
     */
    void start(InetSocketAddress address) {
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
        CallerLimits limits = components.routing().callerLimits();
        HttpDecoderConfig decoder = new HttpDecoderConfig()
                .setMaxInitialLineLength(limits.maxHeaderBytes())
                .setMaxHeaderSize(limits.maxHeaderBytes());
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(decoder),
                        new CallerRequestAggregator((int) Math.min(MAX_BODY_BYTES, limits.maxBodyBytes())),
                        new IdleStateHandler(limits.idleTimeoutMillis(), 0, 0, TimeUnit.MILLISECONDS),
                        new CallerConnection(components, this));
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
