package org.jackdawslip.internal.gateway;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

@Timeout(30)
class InternalHttpClientTest {

    private static final int IDLE_CONNECTIONS = 3;
    private static final long TIMEOUT_MILLIS = 300;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final InternalHttpClient client = new InternalHttpClient(group, System::currentTimeMillis, 8, 1_000);
    private final AtomicInteger accepted = new AtomicInteger();
    private final CountDownLatch firstRequests = new CountDownLatch(IDLE_CONNECTIONS);
    private ServerSocket server;
    /** Responses to a call with an id; "ID" stands for the id of the call. */
    private volatile String responseToCallWithId = "";
    /** Number of the last connection on which the server sends no further response. */
    private volatile int lastSilentConnection;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 20, InetAddress.getLoopbackAddress());
        startDaemonThread(this::accept);
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private static void startDaemonThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                int number = accepted.incrementAndGet();
                startDaemonThread(() -> serve(socket, number));
            }
        } catch (IOException e) {
            // The test has ended.
            return;
        }
    }

    /**
     * Responds to the first requests only after all of them have arrived, so that each opens its own
     * connection.
     */
    private void serve(Socket socket, int number) {
        try (socket) {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            String id = null;
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                id = line.startsWith("call-id: ") ? line.substring("call-id: ".length()) : id;
                if (line.isEmpty() && id != null) {
                    socket.getOutputStream()
                            .write(responseToCallWithId.replace("ID", id).getBytes(StandardCharsets.ISO_8859_1));
                } else if (line.isEmpty() && number > lastSilentConnection) {
                    firstRequests.countDown();
                    firstRequests.await();
                    socket.getOutputStream()
                            .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                                    .getBytes(StandardCharsets.ISO_8859_1));
                }
            }
        } catch (IOException | InterruptedException e) {
            // The client closed the connection.
            return;
        }
    }

    private CompletableFuture<InternalHttpClient.Response> call() {
        CompletableFuture<InternalHttpClient.Response> response = new CompletableFuture<>();
        group.execute(() -> client.call(
                "127.0.0.1:" + server.getLocalPort(), HttpMethod.GET, "/", null, TIMEOUT_MILLIS, response::complete));
        return response;
    }

    /**
     * Guards against one call timeout for each idle connection. All connections to an address may stop
     * responding together; a change would then be delayed by as many timeouts as there are idle connections.
     */
    @Test
    void callTimeoutClosesIdleConnectionsToAddress() throws Exception {
        CompletableFuture<?>[] calls = new CompletableFuture<?>[IDLE_CONNECTIONS];
        for (int i = 0; i < calls.length; i++) {
            calls[i] = call();
        }
        CompletableFuture.allOf(calls).get();
        lastSilentConnection = IDLE_CONNECTIONS;
        assertEquals(0, call().get().status());
        assertEquals(200, call().get().status());
    }

    private int call(String id, boolean onNewConnection) throws Exception {
        return response(id, onNewConnection).status();
    }

    private InternalHttpClient.Response response(String id, boolean onNewConnection) throws Exception {
        CompletableFuture<InternalHttpClient.Response> response = new CompletableFuture<>();
        InternalHttpClient.CallOptions options = new InternalHttpClient.CallOptions(
                new DefaultHttpHeaders().set("call-id", id), "call-id", onNewConnection);
        group.execute(() -> client.call(
                "127.0.0.1:" + server.getLocalPort(),
                HttpMethod.GET,
                "/",
                null,
                options,
                TIMEOUT_MILLIS,
                response::complete));
        return response.get();
    }

    private static String response(int status, String id) {
        return "HTTP/1.1 " + status + " X\r\n" + (id == null ? "" : "call-id: " + id + "\r\n")
                + "Content-Length: 0\r\n\r\n";
    }

    /** Guards against a late copy of a response that counts as the response to a later call on the connection. */
    @Test
    void copyOfAnEarlierResponseIsNotTheResponseToALaterCall() throws Exception {
        responseToCallWithId = response(200, "ID");
        assertEquals(200, call("first", false));
        responseToCallWithId = response(200, "first") + response(409, "ID");
        assertEquals(409, call("second", false));
        assertEquals(1, accepted.get());
    }

    /** Guards against a copy from a server that repeats no ids: it can only arrive on the connection of its original. */
    @Test
    void callOnNewConnectionMeetsNoCopy() throws Exception {
        responseToCallWithId = response(200, null);
        assertEquals(200, call("first", false));
        assertEquals(200, call("second", false));
        assertEquals(1, accepted.get());
        for (int i = 0; i < 10; i++) {
            assertEquals(200, call("decisive-" + i, true));
            assertEquals(i + 2, accepted.get());
        }
    }

    /** Guards against a malformed response of the store, a peer or a control interface that counts as an answer. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 X\r\n",
                "HTTP/1.1 +200 X\r\n",
                "HTTP/1.1 2000 X\r\n",
                "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 0200 X\r\n",
                "HTTP/1.1 200 X\r\nX Bad: 1\r\n",
                "HTTP/1.1 200 X\r\nX-Bad : 1\r\n",
                "HTTP/1.1 200 X\r\nX\u0001Bad: 1\r\n"
            })
    void malformedResponseIsNoResponse(String head) throws Exception {
        responseToCallWithId = head + "call-id: ID\r\nContent-Length: 0\r\n\r\n";
        InternalHttpClient.Response response = response("first", false);
        assertEquals(0, response.status());
        assertEquals(ExchangeFailure.MALFORMED_ANSWER.name(), response.body());
        responseToCallWithId = response(200, "ID");
        assertEquals(200, call("second", false));
        assertEquals(2, accepted.get());
    }
}
