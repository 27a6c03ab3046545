package org.jackdawslip.internal.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.FencingToken;
import org.jackdawslip.InstanceId;
import org.jackdawslip.RequestId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.bundle.BackendServer;
import org.jackdawslip.internal.ownership.KeyRange;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

@Timeout(60)
class BackendClientTest {

    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nServer-Start-Id: s1\r\n\r\nok";
    private static final RequestId ID = RequestId.of(1_700_000_000_000L, 1, 1);

    private final BackendClient client = new BackendClient(4, 1 << 20);

    @AfterEach
    void close() {
        client.close();
    }

    /** The way in which a server ends a connection after it has read a request. */
    enum Ending {
        CLOSE {
            @Override
            void apply(Socket socket) throws IOException {
                socket.close();
            }
        },
        RESET {
            @Override
            void apply(Socket socket) throws IOException {
                RawServer.reset(socket);
            }
        },
        HALF_STATUS_LINE {
            @Override
            void apply(Socket socket) throws IOException {
                RawServer.write(socket, "HTTP/1.1 2");
                socket.close();
            }
        },
        TRUNCATED_BODY {
            @Override
            void apply(Socket socket) throws IOException {
                RawServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
                socket.close();
            }
        },
        TRUNCATED_CHUNKS {
            @Override
            void apply(Socket socket) throws IOException {
                RawServer.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
                socket.close();
            }
        },
        NO_LENGTH {
            @Override
            void apply(Socket socket) throws IOException {
                RawServer.write(socket, "HTTP/1.1 200 OK\r\n\r\nhalf");
                socket.close();
            }
        };

        abstract void apply(Socket socket) throws IOException;
    }

    /**
     * Guards against a request that the JDK client sends twice when a reused connection ends before the
     * response.
     */
    @ParameterizedTest
    @EnumSource(Ending.class)
    void sendsAnAttemptOnceWhenAReusedConnectionEnds(Ending ending) throws Exception {
        for (String method : List.of("GET", "HEAD", "POST")) {
            try (RawServer server = new RawServer((number, socket) -> {
                if (number == 1) {
                    RawServer.write(socket, OK);
                } else {
                    ending.apply(socket);
                }
            })) {
                assertInstanceOf(
                        BackendOutcome.ResponseReceived.class, send(server.port(), "GET", "warm-" + method + ending));
                BackendOutcome outcome = send(server.port(), method, "second-" + method + ending);
                if (!("HEAD".equals(method) && ending.ordinal() > Ending.HALF_STATUS_LINE.ordinal())) {
                    assertInstanceOf(BackendOutcome.Lost.class, outcome, method);
                }
                assertEquals(2, server.requestHeads.size(), method + " was sent again");
                assertEquals(1, server.connectionsWithRequests(), method + " did not reuse the connection");
            }
        }
    }

    /**
     * Guards against a second send of the first request on a connection, which the JDK client also repeats.
     */
    @ParameterizedTest
    @EnumSource(
            value = Ending.class,
            names = {"CLOSE", "RESET", "HALF_STATUS_LINE"})
    void sendsAnAttemptOnceWhenANewConnectionEnds(Ending ending) throws Exception {
        for (String method : List.of("GET", "HEAD", "POST")) {
            try (RawServer server = new RawServer((number, socket) -> ending.apply(socket))) {
                assertInstanceOf(BackendOutcome.Lost.class, send(server.port(), method, "new-" + method + ending));
                assertEquals(1, server.requestHeads.size(), method + " was sent again");
            }
        }
    }

    /**
     * Documents when the plain JDK client repeats a request; if it did not, the two tests above would prove
     * nothing.
     */
    @ParameterizedTest
    @CsvSource({
        "GET, true, CLOSE, 3",
        "GET, true, RESET, 3",
        "HEAD, true, CLOSE, 3",
        "POST, true, CLOSE, 2",
        "GET, true, HALF_STATUS_LINE, 2",
        "GET, false, CLOSE, 2",
        "POST, false, CLOSE, 1"
    })
    void plainJdkClientRepeatsRequests(String method, boolean reused, Ending ending, int expectedRequests)
            throws Exception {
        try (RawServer server = new RawServer((number, socket) -> {
            if (reused && number == 1) {
                RawServer.write(socket, OK);
            } else {
                ending.apply(socket);
            }
        })) {
            HttpClient plain = HttpClient.newHttpClient();
            URI uri = URI.create("http://127.0.0.1:" + server.port() + "/");
            if (reused) {
                plain.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofByteArray());
            }
            HttpRequest request = HttpRequest.newBuilder(uri)
                    .method(method, HttpRequest.BodyPublishers.noBody())
                    .build();
            assertThrows(IOException.class, () -> plain.send(request, HttpResponse.BodyHandlers.ofByteArray()));
            assertEquals(expectedRequests, server.requestHeads.size());
        }
    }

    /** Guards against a repeated request after the client cancels an attempt at its deadline. */
    @Test
    void sendsAnAttemptOnceWhenTheDeadlinePasses() throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        try (RawServer server = new RawServer((number, socket) -> {
            if (number == 2) {
                assertEquals(-1, socket.getInputStream().read());
                closed.countDown();
            }
            RawServer.write(socket, OK);
        })) {
            send(server.port(), "GET", "warm");
            BackendOutcome outcome = client.send(server(server.port()), attempt("GET", "late", Duration.ofMillis(100)))
                    .get();
            assertInstanceOf(BackendOutcome.Lost.class, outcome);
            assertTrue(closed.await(30, TimeUnit.SECONDS), "the connection is still open after the deadline");
            assertInstanceOf(BackendOutcome.ResponseReceived.class, send(server.port(), "GET", "next"));
            assertEquals(
                    1,
                    server.requestHeads.stream()
                            .filter(head -> head.contains("late"))
                            .count());
        }
    }

    /** Guards against the outcome "unknown" for a request that was never sent. */
    @ParameterizedTest
    @ValueSource(strings = {"GET", "POST"})
    void reportsARefusedConnectionAsNotSent(String method) throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        BackendOutcome.NotSent outcome =
                assertInstanceOf(BackendOutcome.NotSent.class, send(port, method, "refused-" + method));
        assertEquals(BackendOutcome.NotSent.Cause.CONNECT_FAILED, outcome.cause());
    }

    /**
     * Guards against accepting the response to another request, or a Not-Run response without the id of the
     * request.
     */
    @Test
    void acceptsOnlyResponsesWithTheRequestId() throws Exception {
        String other = RequestId.of(1_700_000_000_000L, 2, 2).toString();
        List<String> responses = List.of(
                "200 OK\r\nRequest-Id: " + ID,
                "200 OK\r\nRequest-Id: " + other,
                "503 Busy\r\nNot-Run: true\r\nRequest-Id: " + ID,
                "503 Busy\r\nNot-Run: true\r\nRequest-Id: " + other,
                "503 Busy\r\nNot-Run: true");
        List<Class<?>> expected = List.of(
                BackendOutcome.ResponseReceived.class,
                BackendOutcome.Lost.class,
                BackendOutcome.NotRun.class,
                BackendOutcome.Lost.class,
                BackendOutcome.Lost.class);
        try (RawServer server = new RawServer((number, socket) ->
                RawServer.write(socket, "HTTP/1.1 " + responses.get(number - 1) + "\r\nContent-Length: 0\r\n\r\n"))) {
            for (int i = 0; i < responses.size(); i++) {
                assertInstanceOf(expected.get(i), send(server.port(), "POST", "echo-" + i), responses.get(i));
            }
        }
        assertEquals(2, client.mismatchedResponses());
    }

    /** Guards against tokens in a wrong format, and against caller headers that replace the tokens. */
    @Test
    void sendsTokensAndDeadline() throws Exception {
        try (RawServer server = new RawServer((number, socket) -> RawServer.write(socket, OK))) {
            send(server.port(), "POST", "tokens");
            String head = server.requestHeads.get(0);
            for (String line : List.of(
                    "Fencing-Token: 7",
                    "Range-Token: 9",
                    "Key-Hash: ffffffffffffffff",
                    "Request-Deadline: 30000",
                    "Attempt-Id: tokens",
                    "X-Passed: yes")) {
                assertTrue(head.contains(line + "\r\n"), line + " is missing in " + head);
            }
            assertEquals(1, head.split("Fencing-Token", -1).length - 1);
        }
    }

    /** Guards against more concurrent attempts at a backend server than the connection limit allows. */
    @Test
    void refusesAttemptsAboveTheConnectionLimit() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (RawServer server = new RawServer((number, socket) -> {
            await(release);
            RawServer.write(socket, OK);
        })) {
            var running = java.util.stream.IntStream.range(0, 4)
                    .mapToObj(i ->
                            client.send(server(server.port()), attempt("GET", "busy-" + i, Duration.ofSeconds(30))))
                    .toList();
            BackendOutcome.NotSent refused =
                    assertInstanceOf(BackendOutcome.NotSent.class, send(server.port(), "GET", "fifth"));
            assertEquals(BackendOutcome.NotSent.Cause.CONNECTIONS_IN_USE, refused.cause());
            release.countDown();
            for (var outcome : running) {
                assertInstanceOf(BackendOutcome.ResponseReceived.class, outcome.get());
            }
            assertInstanceOf(BackendOutcome.ResponseReceived.class, send(server.port(), "GET", "sixth"));
        }
    }

    /** Guards against a response whose status is no status of HTTP, which the caller would get as an answer. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "", "000", "001", "099", "0", "00", "0000", "20", "99", "0200", "600", "999", "+20", "-20", "20x", "x00"
            })
    void responseWithInvalidStatusIsLost(String status) throws Exception {
        List<String> responses = List.of(
                "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 " + status + " X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                "HTTP/1.1 " + status + " X\r\nNot-Run: true\r\nRequest-Id: " + ID + "\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 " + status + " X\r\nContent-Length: 200000\r\n\r\n" + "a".repeat(200_000),
                "HTTP/1.1 " + status + " X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok");
        try (RawServer server = new RawServer((number, socket) -> RawServer.write(socket, responses.get(number - 1)))) {
            for (String response : responses) {
                assertInstanceOf(BackendOutcome.Lost.class, send(server.port(), "POST", "attempt"), response);
            }
        }
    }

    /** Guards against a state report with a status that is no status of HTTP. */
    @ParameterizedTest
    @ValueSource(strings = {"", "000", "0", "00", "0000", "99", "600"})
    void healthWithInvalidStatusIsNoReport(String status) throws Exception {
        String document = "{\"draining\":true}";
        try (RawServer server = new RawServer((number, socket) -> RawServer.write(
                socket, "HTTP/1.1 " + status + " X\r\nContent-Length: " + document.length() + "\r\n\r\n" + document))) {
            assertEquals(
                    Optional.empty(),
                    client.health(server(server.port()), Duration.ofSeconds(5)).get());
        }
    }

    /** Guards against a status that is accepted because of its first three characters. */
    @ParameterizedTest
    @Tag("known-red")
    @ValueSource(strings = {"2000", "20000", "200x", "200,"})
    void responseWithLongStatusIsLost(String status) throws Exception {
        try (RawServer server = new RawServer((number, socket) ->
                RawServer.write(socket, "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok"))) {
            assertInstanceOf(BackendOutcome.Lost.class, send(server.port(), "POST", "attempt"));
        }
    }

    /** Guards against a response of which one line is returned without its beginning, or not at all. */
    @ParameterizedTest
    @Tag("known-red")
    @ValueSource(strings = {"X\rBad: 1", "X-Bad\r: 1", ": 1", "X-Bad"})
    void responseWithBrokenFieldLineIsLost(String line) throws Exception {
        try (RawServer server = new RawServer((number, socket) ->
                RawServer.write(socket, "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok"))) {
            assertInstanceOf(BackendOutcome.Lost.class, send(server.port(), "POST", "attempt"));
        }
    }

    /** Guards against a grant call that counts as one that took no effect because of a malformed response. */
    @Test
    void grantResponseWithInvalidStatusProvesNothing() throws Exception {
        String body = "{\"reason\":\"late\"}";
        try (RawServer server = new RawServer((number, socket) ->
                RawServer.write(socket, "HTTP/1.1 600 X\r\nContent-Length: " + body.length() + "\r\n\r\n" + body))) {
            GrantRequest grants =
                    new GrantRequest(new InstanceId("i1"), new FencingToken(7), 500, OptionalLong.of(900), List.of());
            GrantResponse response = client.grant(server(server.port()), grants, Duration.ofSeconds(30))
                    .get();
            assertTrue(assertInstanceOf(GrantResponse.Failed.class, response).mayHaveArrived());
        }
    }

    /** Responses that are rare but valid must not be taken for malformed ones. */
    @ParameterizedTest
    @ValueSource(strings = {"200", "200 ", "200 OK", "299 X", "404 X", "599 X", "599"})
    void responseWithValidStatusIsReceived(String status) throws Exception {
        String fields = "!#$%&'*+-.^_`|~09AZaz: 1\t2 \u00e9\u00ff\r\nContent-Length: 2\r\n\r\nok";
        try (RawServer server = new RawServer((number, socket) ->
                RawServer.write(socket, "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 " + status + "\r\n" + fields))) {
            BackendOutcome.ResponseReceived received =
                    assertInstanceOf(BackendOutcome.ResponseReceived.class, send(server.port(), "POST", "attempt"));
            assertEquals(Integer.parseInt(status.substring(0, 3)), received.status());
        }
    }

    /** Guards against a response with a blank or a control byte in the name of a field. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "X Bad",
                "X-Bad ",
                "X-Bad\t",
                "X\tBad",
                "X\u0001Bad",
                "\u0000X-Bad",
                "X-Bad\u007f",
                "Content-Length x"
            })
    void responseWithInvalidFieldNameIsLost(String name) throws Exception {
        List<String> responses = List.of(
                "HTTP/1.1 200 OK\r\n" + name + ": 1\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + name + ": 1\r\n\r\nok",
                "HTTP/1.1 103 X\r\n" + name + ": 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        try (RawServer server = new RawServer((number, socket) -> RawServer.write(socket, responses.get(number - 1)))) {
            for (String response : responses) {
                assertInstanceOf(BackendOutcome.Lost.class, send(server.port(), "POST", "attempt"), response);
            }
        }
    }

    /** Guards against treating the grant call of a stale sender as accepted. */
    @Test
    void distinguishesAcceptedFromStaleGrants() throws Exception {
        try (RawServer server = new RawServer((number, socket) -> {
            String body = number == 1
                    ? "{\"startId\":\"s1\",\"nowMillis\":17}"
                    : "{\"senderToken\":8,\"sender\":\"i2\",\"startId\":\"s1\"}";
            RawServer.write(
                    socket,
                    "HTTP/1.1 " + (number == 1 ? 200 : 409) + " x\r\nContent-Length: " + body.length() + "\r\n\r\n"
                            + body);
        })) {
            GrantRequest grants = new GrantRequest(
                    new InstanceId("i1"),
                    new FencingToken(7),
                    500,
                    OptionalLong.of(900),
                    List.of(new GrantRequest.RangeGrant(new ServiceName("ledger"), KeyRange.ALL, 3)));
            Duration timeout = Duration.ofSeconds(30);
            assertEquals(
                    new GrantResponse.Accepted("s1", 17),
                    client.grant(server(server.port()), grants, timeout).get());
            assertEquals(
                    new GrantResponse.Stale(8, "i2", "s1"),
                    client.grant(server(server.port()), grants, timeout).get());
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private BackendOutcome send(int port, String method, String attemptId) throws Exception {
        return client.send(server(port), attempt(method, attemptId, Duration.ofSeconds(30)))
                .get();
    }

    private static BackendServer server(int port) {
        return new BackendServer(
                new BackendServerId("b" + port),
                new ServiceName("ledger"),
                new FailureDomainId("d1"),
                "127.0.0.1",
                port,
                3,
                false);
    }

    private static BackendAttempt attempt(String method, String id, Duration remainingTime) {
        return new BackendAttempt(
                id,
                method,
                "/orders?x=1",
                List.of(new HttpHeader("X-Passed", "yes"), new HttpHeader("Fencing-Token", "99")),
                "POST".equals(method) ? new byte[] {1, 2, 3} : new byte[0],
                Optional.of(ID),
                remainingTime,
                new BackendAttempt.FencingTokens(new FencingToken(7), OptionalLong.of(9), OptionalLong.of(-1L)));
    }
}
