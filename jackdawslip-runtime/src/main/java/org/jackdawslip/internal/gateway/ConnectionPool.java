package org.jackdawslip.internal.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongConsumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import org.jackdawslip.internal.balance.IdleLimit;
import org.jackdawslip.internal.time.MonotonicClock;

/**
 * The HTTP connections of this instance to one address.
 *
 * <p>Invariants: a connection is opened only while fewer than the permitted number are open or being opened; a
 * request is not sent twice on one connection.
 * Confined to the event loop.
 */
final class ConnectionPool {

    /** Time limit for opening a connection; a reachable server accepts one within a few milliseconds. */
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    /** Time limit for a state probe, long enough for one retransmission of a lost packet. */
    private static final int STATE_PROBE_TIMEOUT_MILLIS = 300;
    /**
     * Limit of state probes before one request. If the event loop runs late, a state report may expire before use,
     * and another probe is sent.
     */
    private static final int MAX_STATE_PROBES = 3;
    /** Sizes of the buffer into which a connection reads; it grows with the amount that is read at a time. */
    private static final int MIN_READ_BYTES = 64;

    private static final int INITIAL_READ_BYTES = 2 * 1024;
    static final int MAX_READ_BYTES = 32 * 1024;

    private final EventLoopGroup loop;
    private final MonotonicClock clock;
    private final InetSocketAddress address;
    private final ArrayDeque<HttpConnection> idleConnections = new ArrayDeque<>();
    private final Set<HttpConnection> openConnections = new HashSet<>();
    private final IdleLimit idleLimit;
    private final LongConsumer onIdleLimitShortened;
    private final IntSupplier maxIdleConnections;
    private final int maxBufferedBytes;
    private final ResponseMemory memory;
    private int connectionLimit;

    private ConnectionPool(Builder builder) {
        this.loop = builder.loop;
        this.clock = builder.clock;
        this.address = builder.address;
        this.idleLimit = builder.idleLimit;
        this.onIdleLimitShortened = builder.onIdleLimitShortened;
        this.maxIdleConnections = builder.maxIdleConnections;
        this.connectionLimit = builder.maxConnections;
        this.maxBufferedBytes = builder.maxBufferedBytes;
        this.memory = builder.memory;
    }

    /** Returns a builder of a pool of connections to one address. */
    static Builder builder(EventLoopGroup loop, MonotonicClock clock, String host, int port) {
        return new Builder(loop, clock, new InetSocketAddress(host, port));
    }

    /** Builds a pool without connections. Not thread-safe. */
    static final class Builder {
        private final EventLoopGroup loop;
        private final MonotonicClock clock;
        private final InetSocketAddress address;
        private IdleLimit idleLimit = new IdleLimit();
        private LongConsumer onIdleLimitShortened = limitMillis -> {};
        private IntSupplier maxIdleConnections = () -> 1;
        private int maxConnections = 1;
        private int maxBufferedBytes = HttpConnection.MAX_WHOLE_BODY_BYTES;
        private ResponseMemory memory = new ResponseMemory(Long.MAX_VALUE);

        private Builder(EventLoopGroup loop, MonotonicClock clock, InetSocketAddress address) {
            this.loop = loop;
            this.clock = clock;
            this.address = address;
        }

        /**
         * Sets how long a connection may be idle before reuse.
         *
         * @param limit the limit, which may be shared with other pools
         * @param onShortened receives the new limit in milliseconds when a connection was lost because it had been
         *     idle
         */
        Builder idleLimit(IdleLimit limit, LongConsumer onShortened) {
            idleLimit = limit;
            onIdleLimitShortened = onShortened;
            return this;
        }

        /**
         * Sets the numbers of connections; the default is one.
         *
         * @param idle returns how many idle connections may be kept open
         * @param total maximum number of connections that are open or being opened
         */
        Builder connections(IntSupplier idle, int total) {
            maxIdleConnections = idle;
            maxConnections = total;
            return this;
        }

        /**
         * Sets the limits of buffered response bodies. A response that exceeds one is not valid.
         *
         * @param responseBytes limit for one response, in bytes
         * @param sharedMemory limit for all responses of the pools that share it
         */
        Builder responseMemory(int responseBytes, ResponseMemory sharedMemory) {
            maxBufferedBytes = responseBytes;
            memory = sharedMemory;
            return this;
        }

        ConnectionPool build() {
            return new ConnectionPool(this);
        }
    }

    int maxBufferedBytes() {
        return maxBufferedBytes;
    }

    ResponseMemory memory() {
        return memory;
    }

    /** Sets the maximum number of connections. Connections that are open stay open. */
    void setMaxConnections(int maxConnections) {
        connectionLimit = maxConnections;
    }

    long now() {
        return clock.millis();
    }

    long idleLimitMillis() {
        return idleLimit.limitMillis(now());
    }

    /**
     * Handles the loss of a connection that was reused, and shortens the idle limit if idleness is the likely
     * cause.
     *
     * @param idleMillis how long the connection had been idle before the request
     * @param openMillis time from the write of the request to the loss
     */
    void handleLossAfterIdle(long idleMillis, long openMillis) {
        if (idleLimit.recordConnectionLoss(idleMillis, openMillis, now())) {
            onIdleLimitShortened.accept(idleLimitMillis());
        }
    }

    /**
     * Sends a request on an idle connection or a new one, if {@link ExchangeListener#beforeSend} permits it.
     * The pool takes ownership of the reference to the request.
     *
     * @param sentConnections the connections on which a request with the same id was sent; none of them is used
     * @return the handle by which the exchange can be aborted
     */
    Exchange send(FullHttpRequest request, SentConnections sentConnections, ExchangeListener listener) {
        Exchange exchange = new Exchange(request, sentConnections, listener);
        acquireConnection(exchange);
        return exchange;
    }

    /**
     * Sends a request on a new connection, on which no copy of an earlier response can arrive. Takes ownership like
     * {@link #send}.
     */
    Exchange sendOnNewConnection(FullHttpRequest request, ExchangeListener listener) {
        Exchange exchange = new Exchange(request, new SentConnections(), listener);
        acquireNewConnection(exchange);
        return exchange;
    }

    private void acquireConnection(Exchange exchange) {
        HttpConnection connection = pollUsableConnection(exchange.sentConnections);
        if (connection != null) {
            sendOrProbe(connection, exchange, false);
        } else {
            acquireNewConnection(exchange);
        }
    }

    private void acquireNewConnection(Exchange exchange) {
        if (openConnections.size() >= connectionLimit && !idleConnections.isEmpty()) {
            // No idle connection may carry the request, so the oldest one makes room.
            discard(idleConnections.peekFirst());
        }
        if (openConnections.size() >= connectionLimit) {
            exchange.fail(ExchangeFailure.NO_CONNECTION_FREE);
        } else {
            connect(exchange);
        }
    }

    private void sendOrProbe(HttpConnection connection, Exchange exchange, boolean verified) {
        exchange.connection = connection;
        switch (exchange.listener.beforeSend(verified)) {
            case SEND -> {
                exchange.sentConnections.add(connection);
                connection.send(exchange.detachRequest(), exchange.listener, verified, this::release);
            }
            case PROBE -> probeState(connection, exchange, verified);
            case WITHDRAW -> {
                release(connection);
                exchange.fail(ExchangeFailure.WITHDRAWN);
            }
            default -> throw new IllegalStateException("unknown send decision");
        }
    }

    /** Sends a state probe on the connection that will carry the request. */
    private void probeState(HttpConnection connection, Exchange exchange, boolean verified) {
        if (exchange.stateProbes == MAX_STATE_PROBES) {
            release(connection);
            exchange.fail(ExchangeFailure.LATE_STATEMENT);
            return;
        }
        exchange.stateProbes++;
        ProbeExchange probe = new ProbeExchange(connection, exchange);
        connection.send(exchange.listener.stateProbe().request(), probe, verified, probe::continueExchange);
    }

    /** Returns the connection that was used last and may carry the request, or null; closes those that expired. */
    private HttpConnection pollUsableConnection(SentConnections sentConnections) {
        Iterator<HttpConnection> newestFirst = idleConnections.descendingIterator();
        while (newestFirst.hasNext()) {
            HttpConnection connection = newestFirst.next();
            if (!connection.isUsable(now())) {
                newestFirst.remove();
                // A connection that is only being closed would still count against the limit.
                discard(connection);
            } else if (!sentConnections.contains(connection)) {
                newestFirst.remove();
                return connection;
            }
        }
        return null;
    }

    private void connect(Exchange exchange) {
        HttpConnection connection = new HttpConnection(this);
        exchange.connection = connection;
        openConnections.add(connection);
        ChannelFuture connecting = bootstrap(connection).connect(address);
        connection.setChannel(connecting.channel());
        connecting.addListener(connected -> {
            if (connected.isSuccess() && !exchange.aborted) {
                sendOrProbe(connection, exchange, true);
                return;
            }
            discard(connection);
            if (!exchange.aborted) {
                exchange.fail(ExchangeFailure.NOT_CONNECTED);
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
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpRequestEncoder(), connection.decoder(), connection);
                    }
                });
    }

    /** Returns a connection without an open exchange to the pool, or closes it. */
    private void release(HttpConnection connection) {
        if (connection.isUsable(now()) && idleConnections.size() < maxIdleConnections.getAsInt()) {
            idleConnections.addLast(connection);
        } else {
            connection.close();
        }
    }

    private void discard(HttpConnection connection) {
        connection.abort();
        onConnectionClosed(connection);
    }

    void onConnectionClosed(HttpConnection connection) {
        openConnections.remove(connection);
        idleConnections.remove(connection);
    }

    /** Closes idle connections that may not be reused any more. */
    void closeExpired() {
        long now = now();
        idleConnections.removeIf(connection -> {
            if (connection.isUsable(now)) {
                return false;
            }
            connection.close();
            return true;
        });
    }

    /** Closes idle connections and opens no more; open exchanges complete. */
    void shutDown() {
        connectionLimit = 0;
        closeIdleConnections();
    }

    /** Closes idle connections. */
    void closeIdleConnections() {
        HttpConnection connection = idleConnections.pollLast();
        while (connection != null) {
            discard(connection);
            connection = idleConnections.pollLast();
        }
    }

    /** The handle of one exchange. Confined to the event loop. */
    static final class Exchange {
        private final SentConnections sentConnections;
        private final ExchangeListener listener;
        private FullHttpRequest request;
        private HttpConnection connection;
        private int stateProbes;
        private boolean aborted;

        private Exchange(FullHttpRequest request, SentConnections sentConnections, ExchangeListener listener) {
            this.request = request;
            this.sentConnections = sentConnections;
            this.listener = listener;
        }

        private FullHttpRequest detachRequest() {
            FullHttpRequest detached = request;
            request = null;
            return detached;
        }

        private void releaseRequest() {
            if (request != null) {
                detachRequest().release();
            }
        }

        private void fail(ExchangeFailure failure) {
            connection = null;
            releaseRequest();
            listener.onFailure(failure);
        }

        /** Records that the response is a refusal; see {@link HttpConnection#recordRefusal}. */
        boolean recordRefusal(boolean hasRequestId) {
            return connection.recordRefusal(hasRequestId);
        }

        /** Returns how many bytes of the body of the response were received so far. */
        long receivedBodyBytes() {
            return connection == null ? 0 : connection.receivedBodyBytes();
        }

        /** Stops or resumes reading the response. */
        void setReading(boolean reading) {
            if (connection != null) {
                connection.setReading(reading);
            }
        }

        /** Aborts the exchange: closes its connection and does not call its listener any more. */
        void abort() {
            aborted = true;
            releaseRequest();
            if (connection != null) {
                connection.abort();
            }
        }
    }

    /** The exchange of a state probe that precedes the request of another exchange on the same connection. */
    private final class ProbeExchange implements ExchangeListener {
        private final HttpConnection connection;
        private final Exchange exchange;
        private final long probeSentAt = now();
        private final boolean usedBefore;
        private final ScheduledFuture<?> timeout;
        private ExchangeFailure probeFailure;

        ProbeExchange(HttpConnection connection, Exchange exchange) {
            this.connection = connection;
            this.exchange = exchange;
            this.usedBefore = connection.usedBefore();
            this.timeout = loop.next().schedule(this::onTimeout, STATE_PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void onResponseHead(HttpResponse head) {
            exchange.listener.onResponseHead(head);
        }

        @Override
        public boolean onResponse(FullHttpResponse response) {
            StateProbe probe = exchange.listener.stateProbe();
            if (!probe.matches(response)) {
                return false;
            }
            timeout.cancel(false);
            probeFailure = probe.evaluate(response, probeSentAt);
            return true;
        }

        /** Continues the exchange after the response to the probe. */
        void continueExchange(HttpConnection probed) {
            if (exchange.aborted) {
                release(probed);
            } else if (probeFailure != null) {
                // The connection is closed, because a late copy of a refusal without a request id would be
                // accepted as the response to the next request on the connection.
                discard(probed);
                exchange.fail(probeFailure);
            } else if (probed.isUsable(now())) {
                sendOrProbe(probed, exchange, true);
            } else {
                discard(probed);
                acquireConnection(exchange);
            }
        }

        private void onTimeout() {
            onFailure(ExchangeFailure.TIMED_OUT);
        }

        @Override
        public void onFailure(ExchangeFailure failure) {
            timeout.cancel(false);
            if (exchange.aborted) {
                return;
            }
            discard(connection);
            if (usedBefore) {
                // Servers drop idle connections without closing them, so the other idle connections may be lost
                // as well.
                closeIdleConnections();
                acquireConnection(exchange);
            } else {
                exchange.fail(ExchangeFailure.NO_STATEMENT);
            }
        }
    }
}
