package org.jackdawslip.internal.gateway;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.jackdawslip.internal.balance.SendDecision;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

@Timeout(30)
class ConnectionPoolTest {

    private static final int ACCEPT_TIMEOUT_MILLIS = 10_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /**
     * Guards against a request that reaches a server after the time limit for new requests to a draining
     * server. A server may start to drain while a connection to it is being opened, so the listener decides
     * again before the write.
     */
    @Test
    void requestIsWithdrawnIfServerDrainsDuringConnect() throws Exception {
        CompletableFuture<ExchangeFailure> result = new CompletableFuture<>();
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            group.execute(() -> pool(server.getLocalPort())
                    .send(
                            new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x/1"),
                            new SentConnections(),
                            new ExchangeListener() {
                                @Override
                                public SendDecision beforeSend(boolean verified) {
                                    return SendDecision.WITHDRAW;
                                }

                                @Override
                                public boolean onResponse(FullHttpResponse response) {
                                    throw new AssertionError("response without a request");
                                }

                                @Override
                                public void onFailure(ExchangeFailure failure) {
                                    result.complete(failure);
                                }
                            }));
            try (Socket connection = server.accept()) {
                assertEquals(ExchangeFailure.WITHDRAWN, result.get());
                assertEquals(-1, read(connection), "the withdrawn request was written to the connection");
            }
        }
    }

    /**
     * Guards against a request on a connection that its server closes. A server announces after how many
     * seconds without a request it does so.
     */
    @ParameterizedTest
    @ValueSource(strings = {"timeout=1", "max=9, timeout=1"})
    void connectionIsNotReusedAfterTheAnnouncedIdleTimeout(String keepAlive) throws Exception {
        AtomicLong now = new AtomicLong();
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            server.setSoTimeout(ACCEPT_TIMEOUT_MILLIS);
            ConnectionPool pool = ConnectionPool.builder(group, now::get, "127.0.0.1", server.getLocalPort())
                    .build();
            CompletableFuture<Integer> first = get(pool);
            try (Socket connection = server.accept()) {
                respond(connection, keepAlive);
                assertEquals(200, first.get());
                // The pool reads the clock on the event loop, after it has delivered the response.
                group.submit(() -> now.addAndGet(900)).get();
                CompletableFuture<Integer> second = get(pool);
                try (Socket replacement = server.accept()) {
                    respond(replacement, keepAlive);
                    assertEquals(200, second.get());
                }
            }
        }
    }

    /**
     * Guards against a late copy of a response that counts as the response to the repeated request. An idle connection
     * makes room for a new one if there may be no further connection.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void requestIsNotRepeatedOnItsConnection(int maxConnections) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            server.setSoTimeout(ACCEPT_TIMEOUT_MILLIS);
            ConnectionPool pool = ConnectionPool.builder(
                            group, System::currentTimeMillis, "127.0.0.1", server.getLocalPort())
                    .connections(() -> maxConnections, maxConnections)
                    .build();
            SentConnections sentConnections = new SentConnections();
            CompletableFuture<Integer> first = get(pool, sentConnections);
            try (Socket connection = server.accept()) {
                respond(connection, "timeout=9");
                assertEquals(200, first.get());
                CompletableFuture<Integer> repeated = get(pool, sentConnections);
                try (Socket other = server.accept()) {
                    respond(other, "timeout=9");
                    assertEquals(200, repeated.get());
                }
            }
        }
    }

    /** Sends a request; the result is the status of the response. */
    private CompletableFuture<Integer> get(ConnectionPool pool) {
        return get(pool, new SentConnections());
    }

    private CompletableFuture<Integer> get(ConnectionPool pool, SentConnections sentConnections) {
        CompletableFuture<Integer> status = new CompletableFuture<>();
        group.execute(() -> pool.send(
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x/1"),
                sentConnections,
                new ExchangeListener() {
                    @Override
                    public boolean onResponse(FullHttpResponse response) {
                        status.complete(response.status().code());
                        return true;
                    }

                    @Override
                    public void onFailure(ExchangeFailure failure) {
                        status.completeExceptionally(new AssertionError(failure));
                    }
                }));
        return status;
    }

    private static void respond(Socket connection, String keepAlive) throws IOException {
        BufferedReader reader = new BufferedReader(new InputStreamReader(connection.getInputStream()));
        while (!reader.readLine().isEmpty()) {
            // The content of the request does not matter.
            continue;
        }
        connection
                .getOutputStream()
                .write(("HTTP/1.1 200 OK\r\nKeep-Alive: " + keepAlive + "\r\nContent-Length: 0\r\n\r\n").getBytes());
    }

    /** Returns the first byte, or -1 if the connection was closed before any byte arrived. */
    private static int read(Socket connection) {
        try {
            return connection.getInputStream().read();
        } catch (IOException e) {
            // The pool closes connections by a reset.
            return -1;
        }
    }

    private ConnectionPool pool(int port) {
        return ConnectionPool.builder(group, System::currentTimeMillis, "127.0.0.1", port)
                .build();
    }
}
