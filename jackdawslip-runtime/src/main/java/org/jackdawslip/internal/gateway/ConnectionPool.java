package org.jackdawslip.internal.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
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
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.concurrent.ScheduledFuture;
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
    /** Time for a server to state its condition, long enough for a packet that is lost once. */
    private static final int QUESTION_TIMEOUT_MILLIS = 300;
    /** Questions before one request. A late event loop may make a statement too old to rely on. */
    private static final int MAX_QUESTIONS = 3;
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
     * Sends a request on an idle connection or a new one, once the listener permits it. The pool takes over the
     * reference to the request.
     *
     * @return the handle with which the exchange can be given up
     */
    Exchange send(FullHttpRequest request, ExchangeListener listener) {
        Exchange exchange = new Exchange(request, listener);
        start(exchange);
        return exchange;
    }

    private void start(Exchange exchange) {
        HttpConnection connection = takeIdle();
        if (connection != null) {
            proceed(connection, exchange, false);
        } else if (open.size() >= limit) {
            exchange.fail(ExchangeFailure.NO_CONNECTION_FREE);
        } else {
            connect(exchange);
        }
    }

    private void proceed(HttpConnection connection, Exchange exchange, boolean verified) {
        exchange.connection = connection;
        switch (exchange.listener.beforeSend(verified)) {
            case SEND -> connection.send(exchange.takeRequest(), exchange.listener, verified, this::free);
            case ASK -> ask(connection, exchange, verified);
            case WITHDRAW -> {
                free(connection);
                exchange.fail(ExchangeFailure.WITHDRAWN);
            }
            default -> throw new IllegalStateException("unknown step");
        }
    }

    /** Asks the server for its state on the connection that will carry the request. */
    private void ask(HttpConnection connection, Exchange exchange, boolean verified) {
        if (exchange.questions == MAX_QUESTIONS) {
            free(connection);
            exchange.fail(ExchangeFailure.LATE_STATEMENT);
            return;
        }
        exchange.questions++;
        Question question = new Question(connection, exchange);
        connection.send(exchange.listener.question().request(), question, verified, question::answerTaken);
    }

    private HttpConnection takeIdle() {
        HttpConnection connection = idle.pollLast();
        while (connection != null && !connection.usable(now())) {
            connection.close();
            connection = idle.pollLast();
        }
        return connection;
    }

    private void connect(Exchange exchange) {
        HttpConnection connection = new HttpConnection(this);
        exchange.connection = connection;
        open.add(connection);
        ChannelFuture connecting = bootstrap(connection).connect(address);
        connection.opened(connecting.channel());
        connecting.addListener(done -> {
            if (done.isSuccess() && !exchange.givenUp) {
                proceed(connection, exchange, true);
                return;
            }
            discard(connection);
            if (!exchange.givenUp) {
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

    /** Takes back a connection on which no exchange is open. */
    private void free(HttpConnection connection) {
        if (connection.usable(now()) && idle.size() < keptIdle.getAsInt()) {
            idle.addLast(connection);
        } else {
            connection.close();
        }
    }

    private void discard(HttpConnection connection) {
        connection.abort();
        closed(connection);
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
            discard(connection);
            connection = idle.pollLast();
        }
    }

    /** The handle of one exchange. */
    static final class Exchange {
        private final ExchangeListener listener;
        private FullHttpRequest request;
        private HttpConnection connection;
        private int questions;
        private boolean givenUp;

        private Exchange(FullHttpRequest request, ExchangeListener listener) {
            this.request = request;
            this.listener = listener;
        }

        private FullHttpRequest takeRequest() {
            FullHttpRequest taken = request;
            request = null;
            return taken;
        }

        private void releaseRequest() {
            if (request != null) {
                takeRequest().release();
            }
        }

        private void fail(ExchangeFailure failure) {
            connection = null;
            releaseRequest();
            listener.failed(failure);
        }

        /** Takes a refusal; see {@link HttpConnection#refused}. */
        boolean refused(boolean named) {
            return connection.refused(named);
        }

        /** Aborts the exchange: its connection is closed and its listener is not called any more. */
        void giveUp() {
            givenUp = true;
            releaseRequest();
            if (connection != null) {
                connection.abort();
            }
        }
    }

    /** The question about the state of the server, before the request of an exchange. */
    private final class Question implements ExchangeListener {
        private final HttpConnection connection;
        private final Exchange exchange;
        private final long askedAt = now();
        private final boolean usedBefore;
        private final ScheduledFuture<?> timeout;
        private ExchangeFailure refusal;

        Question(HttpConnection connection, Exchange exchange) {
            this.connection = connection;
            this.exchange = exchange;
            this.usedBefore = connection.usedBefore();
            this.timeout = loop.next().schedule(this::timedOut, QUESTION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        public boolean answered(FullHttpResponse answer) {
            StateQuestion question = exchange.listener.question();
            if (!question.answeredBy(answer)) {
                return false;
            }
            timeout.cancel(false);
            refusal = question.take(answer, askedAt);
            return true;
        }

        /** Goes on with the exchange after the answer. */
        void answerTaken(HttpConnection free) {
            if (exchange.givenUp) {
                free(free);
            } else if (refusal != null) {
                // A copy of a refusal that names no request would be taken for the answer to the next one.
                discard(free);
                exchange.fail(refusal);
            } else if (free.usable(now())) {
                proceed(free, exchange, true);
            } else {
                discard(free);
                start(exchange);
            }
        }

        private void timedOut() {
            failed(ExchangeFailure.TIMED_OUT);
        }

        @Override
        public void failed(ExchangeFailure failure) {
            timeout.cancel(false);
            if (exchange.givenUp) {
                return;
            }
            discard(connection);
            if (usedBefore) {
                // Servers drop idle connections without a word, and the others may have been dropped as well.
                discardIdle();
                start(exchange);
            } else {
                exchange.fail(ExchangeFailure.NO_STATEMENT);
            }
        }
    }
}
