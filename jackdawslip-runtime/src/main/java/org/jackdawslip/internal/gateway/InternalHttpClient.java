package org.jackdawslip.internal.gateway;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import org.jackdawslip.internal.time.MonotonicClock;

/**
 * HTTP client for calls to the store, to control interfaces of backend servers and to peers.
 *
 * <p>Confined to the event loop.
 */
public final class InternalHttpClient {

    /** Interval at which a response that is being received after the timeout has to make progress. */
    private static final long PROGRESS_INTERVAL_MILLIS = 150;
    /**
     * Longest time after the timeout for a response that is being received. A value of one megabyte takes 1.5 s on a
     * link of 7 Mbit/s; a timeout would discard it and start the same transfer again.
     */
    private static final long MAX_TRANSFER_MILLIS = 1_500;
    /** The responses that are received at a time may use this part of the heap. */
    private static final long RESPONSE_MEMORY_DIVISOR = 8;

    private final EventLoopGroup loop;
    private final MonotonicClock clock;
    private final int connectionsPerAddress;
    private final int maxResponseBytes;
    private final ResponseMemory responseMemory;
    private final Map<String, ConnectionPool> pools = new HashMap<>();

    /**
     * Creates a client.
     *
     * @param connectionsPerAddress maximum number of connections to each address
     * @param maxResponseBytes limit for the body of one response, in bytes; a larger response is not valid
     */
    public InternalHttpClient(
            EventLoopGroup loop, MonotonicClock clock, int connectionsPerAddress, int maxResponseBytes) {
        this.loop = loop;
        this.clock = clock;
        this.connectionsPerAddress = connectionsPerAddress;
        this.maxResponseBytes = maxResponseBytes;
        this.responseMemory = new ResponseMemory(
                Math.max(maxResponseBytes, Runtime.getRuntime().maxMemory() / RESPONSE_MEMORY_DIVISOR));
    }

    /**
     * The response to a call. Immutable and thread-safe if the content is not changed.
     *
     * @param status the HTTP status, or 0 if the call failed without a response
     * @param headers the headers; empty if the call failed without a response
     * @param content the body, or the name of the {@link ExchangeFailure}
     */
    public record Response(int status, HttpHeaders headers, byte[] content) {

        /** Returns the body as text, or the name of the {@link ExchangeFailure}. */
        public String body() {
            return new String(content, StandardCharsets.UTF_8);
        }

        /** Returns whether the call was completed by a response. */
        public boolean received() {
            return status != 0;
        }
    }

    /**
     * Makes one call.
     *
     * @param address host and port, separated by a colon
     * @param uri the path and query
     * @param body the JSON body, or null
     * @param timeoutMillis time limit of the call, including the time to open a connection; a response that is being
     *     received then is awaited while it makes progress, for at most {@value #MAX_TRANSFER_MILLIS} ms
     * @param onResult receives the response, or one with status 0 if the call fails or times out
     */
    public void call(
            String address,
            HttpMethod method,
            String uri,
            String body,
            long timeoutMillis,
            Consumer<Response> onResult) {
        call(address, method, uri, body, CallOptions.NONE, timeoutMillis, onResult);
    }

    /**
     * Makes one call to a server that may send further copies of its responses.
     *
     * @param onResult receives the response, or one with status 0 if the call fails or times out
     */
    void call(
            String address,
            HttpMethod method,
            String uri,
            String body,
            CallOptions options,
            long timeoutMillis,
            Consumer<Response> onResult) {
        FullHttpRequest request = request(address, method, uri, body);
        request.headers().add(options.headers);
        new Call(address, options, onResult).start(request, timeoutMillis);
    }

    private static FullHttpRequest request(String address, HttpMethod method, String uri, String body) {
        ByteBuf content =
                body == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body.getBytes(StandardCharsets.UTF_8));
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri, content);
        request.headers().set(HttpHeaderNames.HOST, address);
        if (body != null) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        }
        if (body != null || !method.equals(HttpMethod.GET)) {
            request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        }
        return request;
    }

    private ConnectionPool pool(String address) {
        return pools.computeIfAbsent(address, hostAndPort -> {
            int colon = hostAndPort.lastIndexOf(':');
            String host = hostAndPort.substring(0, colon);
            int port = Integer.parseInt(hostAndPort.substring(colon + 1));
            return ConnectionPool.builder(loop, clock, host, port)
                    .connections(() -> connectionsPerAddress, connectionsPerAddress)
                    .responseMemory(maxResponseBytes, responseMemory)
                    .build();
        });
    }

    /** Closes the idle connections to an address that is no longer used. */
    public void removeAddress(String address) {
        ConnectionPool pool = pools.remove(address);
        if (pool != null) {
            pool.shutDown();
        }
    }

    /**
     * How a call is made and its response is recognized. Immutable and thread-safe if the headers are not changed.
     *
     * @param headers additional headers of the call
     * @param idHeader the header whose value the server may repeat in its response, or null; a response with another
     *     value is one to another call
     * @param onNewConnection whether the call is made on a new connection, where no response to another call can
     *     arrive, even if the server does not repeat the id
     */
    record CallOptions(HttpHeaders headers, String idHeader, boolean onNewConnection) {

        static final CallOptions NONE = new CallOptions(EmptyHttpHeaders.INSTANCE, null, false);

        /** Returns whether the response is one to another call. */
        private boolean isForeign(FullHttpResponse response) {
            String responseId = idHeader == null ? null : response.headers().get(idHeader);
            return responseId != null && !responseId.equals(headers.get(idHeader));
        }
    }

    private final class Call implements ExchangeListener {
        private final String address;
        private final CallOptions options;
        private final Consumer<Response> onResult;
        private ConnectionPool.Exchange exchange;
        private ScheduledFuture<?> timeout;
        private boolean done;
        private long receivedBytes;
        private long extendedMillis;

        Call(String address, CallOptions options, Consumer<Response> onResult) {
            this.address = address;
            this.options = options;
            this.onResult = onResult;
        }

        void start(FullHttpRequest request, long timeoutMillis) {
            ConnectionPool pool = pool(address);
            exchange = options.onNewConnection
                    ? pool.sendOnNewConnection(request, this)
                    : pool.send(request, new SentConnections(), this);
            if (!done) {
                timeout = loop.next().schedule(this::onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
            }
        }

        private void onTimeout() {
            long received = exchange.receivedBodyBytes();
            if (received > receivedBytes && extendedMillis < MAX_TRANSFER_MILLIS) {
                receivedBytes = received;
                extendedMillis += PROGRESS_INTERVAL_MILLIS;
                timeout = loop.next().schedule(this::onTimeout, PROGRESS_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
                return;
            }
            exchange.abort();
            // All connections to an address may stop responding together; the next call must use a new one.
            ConnectionPool pool = pools.get(address);
            if (pool != null) {
                pool.closeIdleConnections();
            }
            onFailure(ExchangeFailure.TIMED_OUT);
        }

        @Override
        public boolean onResponse(FullHttpResponse response) {
            if (options.isForeign(response)) {
                return false;
            }
            byte[] content = ByteBufUtil.getBytes(response.content());
            finish(new Response(response.status().code(), response.headers().copy(), content));
            return true;
        }

        @Override
        public void onFailure(ExchangeFailure failure) {
            finish(new Response(0, EmptyHttpHeaders.INSTANCE, failure.name().getBytes(StandardCharsets.UTF_8)));
        }

        private void finish(Response result) {
            if (!done) {
                done = true;
                if (timeout != null) {
                    timeout.cancel(false);
                }
                onResult.accept(result);
            }
        }
    }
}
