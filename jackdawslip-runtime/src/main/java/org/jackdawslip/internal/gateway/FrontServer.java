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
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.internal.traffic.CallerLimits;

/** Accepts the connections of callers. Confined to the event loop, except for its start. */
final class FrontServer {

    /** Largest request body that is taken; it is kept in memory until it was forwarded. */
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;
    /** Connections that wait to be accepted. */
    private static final int BACKLOG = 1_024;

    private final EventLoopGroup loop;
    private final Services services;
    private final Set<CallerConnection> connections = new HashSet<>();
    private Channel listener;
    private boolean stopping;
    private boolean finishing;

    FrontServer(EventLoopGroup loop, Services services) {
        this.loop = loop;
        this.services = services;
    }

    void start(InetSocketAddress address) {
        listener = bind(loop, address, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                accept(channel);
            }
        });
    }

    /**
     * Binds an address.
     *
     * @throws JackdawslipException with {@link ErrorCode#ADDRESS_IN_USE} if that fails
     */
    static Channel bind(EventLoopGroup loop, InetSocketAddress address, ChannelInitializer<Channel> accepted) {
        try {
            return new ServerBootstrap()
                    .group(loop)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                    .childHandler(accepted)
                    .bind(address)
                    .syncUninterruptibly()
                    .channel();
        } catch (Exception e) {
            throw new JackdawslipException(
                    ErrorCode.ADDRESS_IN_USE, "cannot listen on " + address + ": " + e.getMessage(), e);
        }
    }

    private void accept(Channel channel) {
        CallerLimits limits = services.routing().limits();
        HttpDecoderConfig decoder = new HttpDecoderConfig()
                .setMaxInitialLineLength(limits.maxHeaderBytes())
                .setMaxHeaderSize(limits.maxHeaderBytes());
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(decoder),
                        new HttpObjectAggregator((int) Math.min(MAX_BODY_BYTES, limits.maxBodyBytes())),
                        new IdleStateHandler(limits.idleTimeoutMillis(), 0, 0, TimeUnit.MILLISECONDS),
                        new CallerConnection(services, this));
    }

    void opened(CallerConnection connection) {
        connections.add(connection);
    }

    void closed(CallerConnection connection) {
        connections.remove(connection);
    }

    boolean stopping() {
        return stopping;
    }

    /** From now on each answer closes its connection. */
    void beginStop() {
        stopping = true;
    }

    /** Takes no further connections and requests; those that were read are answered. */
    void finish() {
        if (!finishing) {
            finishing = true;
            listener.close();
            List.copyOf(connections).forEach(CallerConnection::finish);
        }
    }

    boolean finishing() {
        return finishing;
    }

    /** Returns the number of connections on which a request is open. */
    long busy() {
        return connections.stream().filter(CallerConnection::busy).count();
    }
}
