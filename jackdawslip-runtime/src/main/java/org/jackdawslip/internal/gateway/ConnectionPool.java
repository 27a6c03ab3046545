package org.jackdawslip.internal.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.LongConsumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import org.jackdawslip.internal.balance.IdleLimit;
import org.jackdawslip.internal.time.MonotonicClock;

/**
 * The connections of this instance to one address.
 *
 * <p>Invariant: at most the permitted number of connections is open or being opened. Confined to the event loop.
 */
final class ConnectionPool {

    /** Time for a new connection to be established; a server in reach answers within a few milliseconds. */
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    /** Largest answer that is taken, in bytes; it is kept in memory until it is complete. */
    private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

    private final EventLoopGroup loop;
    private final MonotonicClock clock;
    private final InetSocketAddress address;
    private final ArrayDeque<HttpConnection> idle = new ArrayDeque<>();
    private final Set<HttpConnection> open = new HashSet<>();
    private final IdleLimit idleLimit;
    private final LongConsumer whenShortened;
    private final IntSupplier keptIdle;
    private int limit;

    /**
     * Makes a pool.
     *
     * @param idleLimit how long a connection may have been idle; shared with other pools of the service
     * @param whenShortened takes the new limit in milliseconds after a connection was lost because it had been idle
     * @param keptIdle returns how many idle connections may be kept open
     */
    ConnectionPool(
            EventLoopGroup loop,
            MonotonicClock clock,
            String host,
            int port,
            IdleLimit idleLimit,
            LongConsumer whenShortened,
            IntSupplier keptIdle,
            int limit) {
        this.idleLimit = idleLimit;
        this.whenShortened = whenShortened;
        this.keptIdle = keptIdle;
        this.loop = loop;
        this.clock = clock;
        this.address = new InetSocketAddress(host, port);
        this.limit = limit;
    }

    void limit(int connections) {
        limit = connections;
    }

    long now() {
        return clock.millis();
    }

    long idleLimitMillis() {
        return idleLimit.millis(now());
    }

    /** Takes the loss of a connection that was used again. */
    void lostAfterIdle(long idleMillis, long openMillis) {
        if (idleLimit.lost(idleMillis, openMillis, now())) {
            whenShortened.accept(idleLimitMillis());
        }
    }

    /**
     * Sends a request on an idle connection or a new one. The pool takes over the reference to the request.
     *
     * @return the handle with which the exchange can be given up
     */
    Exchange send(FullHttpRequest request, ExchangeListener listener) {
        HttpConnection connection = takeIdle();
        Exchange exchange = new Exchange();
        if (connection != null) {
            exchange.connection = connection;
            connection.send(request, listener);
        } else if (open.size() >= limit) {
            request.release();
            listener.failed(ExchangeFailure.NO_CONNECTION_FREE);
        } else {
            connect(request, listener, exchange);
        }
        return exchange;
    }

    private HttpConnection takeIdle() {
        HttpConnection connection = idle.pollLast();
        while (connection != null && !connection.usable(now())) {
            connection.close();
            connection = idle.pollLast();
        }
        return connection;
    }

    private void connect(FullHttpRequest request, ExchangeListener listener, Exchange exchange) {
        HttpConnection connection = new HttpConnection(this);
        exchange.connection = connection;
        open.add(connection);
        ChannelFuture connecting = bootstrap(connection).connect(address);
        connection.opened(connecting.channel());
        connecting.addListener(done -> {
            if (exchange.givenUp) {
                request.release();
                connection.close();
                closed(connection);
            } else if (done.isSuccess() && listener.maySend()) {
                connection.send(request, listener);
            } else {
                connection.close();
                closed(connection);
                request.release();
                listener.failed(done.isSuccess() ? ExchangeFailure.SERVER_LEAVING : ExchangeFailure.NOT_CONNECTED);
            }
        });
    }

    private Bootstrap bootstrap(HttpConnection connection) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_LINGER, 0)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpRequestEncoder(),
                                        connection.decoder(),
                                        new HttpObjectAggregator(MAX_ANSWER_BYTES),
                                        connection);
                    }
                });
    }

    void idle(HttpConnection connection) {
        if (idle.size() < keptIdle.getAsInt()) {
            idle.addLast(connection);
        } else {
            connection.close();
        }
    }

    void closed(HttpConnection connection) {
        open.remove(connection);
        idle.remove(connection);
    }

    /** Closes idle connections that may no longer be used. */
    void expire() {
        long now = now();
        idle.removeIf(connection -> {
            if (connection.usable(now)) {
                return false;
            }
            connection.close();
            return true;
        });
    }

    /** Closes idle connections and opens no more; exchanges that are under way complete. */
    void closeIdle() {
        limit = 0;
        discardIdle();
    }

    /** Closes idle connections. */
    void discardIdle() {
        HttpConnection connection = idle.pollLast();
        while (connection != null) {
            connection.close();
            connection = idle.pollLast();
        }
    }

    /** The handle of one exchange. */
    static final class Exchange {
        private HttpConnection connection;
        private boolean givenUp;

        /** Aborts the exchange: its connection is closed and its listener is not called any more. */
        void giveUp() {
            givenUp = true;
            if (connection != null) {
                connection.abort();
            }
        }
    }
}
