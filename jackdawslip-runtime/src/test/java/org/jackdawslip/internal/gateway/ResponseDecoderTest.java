package org.jackdawslip.internal.gateway;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Responses that are not valid HTTP, as a server sends them, and valid ones that are unusual. */
@Timeout(120)
class ResponseDecoderTest {

    private static final int ACCEPT_TIMEOUT_MILLIS = 10_000;
    private static final long RESULT_TIMEOUT_MILLIS = 3_000;

    private static final String TOKEN_CHARACTERS =
            "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
    private static final int LARGE_BODY_BYTES = 3 * HttpConnection.MAX_WHOLE_BODY_BYTES;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private ServerSocket server;

    /** The place of a header field in a response. */
    private enum Place {
        FIRST_FIELD {
            @Override
            String response(String field) {
                return "HTTP/1.1 200 OK\r\n" + field + "\r\nContent-Length: 2\r\n\r\nok";
            }
        },
        LATER_FIELD {
            @Override
            String response(String field) {
                return "HTTP/1.1 200 OK\r\nX-First: 1\r\n" + field + "\r\nContent-Length: 2\r\n\r\nok";
            }
        },
        INTERIM_RESPONSE {
            @Override
            String response(String field) {
                return "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\n" + OK;
            }
        },
        TRAILER {
            @Override
            String response(String field) {
                return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + field + "\r\n\r\n";
            }
        },
        TRAILER_OF_LARGE_BODY {
            @Override
            String response(String field) {
                return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(LARGE_BODY_BYTES)
                        + "\r\n" + "a".repeat(LARGE_BODY_BYTES) + "\r\n0\r\n" + field + "\r\n\r\n";
            }
        };

        private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

        abstract String response(String field);

        /** Returns whether a line that begins with this byte continues the value of the line before it. */
        boolean continuesLine(int firstByte) {
            return this == LATER_FIELD && (firstByte == ' ' || firstByte == '\t');
        }
    }

    /** The result of an exchange: the response, or a failure; a large body is received in parts. */
    private static final class RecordingListener implements ExchangeListener {
        private final CompletableFuture<String> result = new CompletableFuture<>();
        private final StringBuilder parts = new StringBuilder();

        @Override
        public BodyReceiver onLargeResponse(HttpResponse head) {
            return new BodyReceiver() {
                @Override
                public void onPart(ByteBuf part) {
                    parts.append(part.toString(StandardCharsets.ISO_8859_1));
                    part.release();
                }

                @Override
                public void onEnd() {
                    result.complete(describe(head, parts.length() + " bytes"));
                }

                @Override
                public void onFailure(ExchangeFailure failure) {
                    result.complete(failure.name());
                }
            };
        }

        @Override
        public boolean onResponse(FullHttpResponse response) {
            result.complete(describe(response, response.content().toString(StandardCharsets.ISO_8859_1)));
            return true;
        }

        @Override
        public void onFailure(ExchangeFailure failure) {
            result.complete(failure.name());
        }

        private static String describe(HttpResponse response, String body) {
            StringBuilder text = new StringBuilder().append(response.status().code());
            for (Map.Entry<String, String> field : response.headers()) {
                text.append(' ').append(field.getKey()).append('=').append(field.getValue());
            }
            return text.append(' ').append(body).toString();
        }
    }

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        server.setSoTimeout(ACCEPT_TIMEOUT_MILLIS);
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** Sends a request on a new connection; returns what the server's bytes are taken for. */
    private String result(String responseBytes) throws Exception {
        RecordingListener listener = new RecordingListener();
        group.execute(() -> ConnectionPool.builder(group, System::currentTimeMillis, "127.0.0.1", server.getLocalPort())
                .responseMemory(2 * LARGE_BODY_BYTES, new ResponseMemory(Long.MAX_VALUE))
                .build()
                .send(
                        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x/1"),
                        new SentConnections(),
                        listener));
        try (Socket connection = server.accept()) {
            BufferedReader reader = new BufferedReader(new InputStreamReader(connection.getInputStream()));
            while (!reader.readLine().isEmpty()) {
                // The content of the request does not matter.
                continue;
            }
            connection.getOutputStream().write(responseBytes.getBytes(StandardCharsets.ISO_8859_1));
            return listener.result
                    .completeOnTimeout("NOTHING", RESULT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .get();
        }
    }

    private static String withStatus(String status) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nok";
    }

    /** Guards against a response whose status is no status of HTTP, which a caller would get as an answer. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "000",
                "001",
                "099",
                "0",
                "00",
                "20",
                "0200",
                "2000",
                "1000",
                "00200",
                "600",
                "999",
                "+20",
                "-20",
                "+200",
                "-200",
                "20x",
                "x00",
                "0x1",
                "2e2",
                "200,",
                "2.0",
                "\u00b2\u00b2\u00b2",
                "4294967496"
            })
    void responseWithInvalidStatusIsMalformed(String status) throws Exception {
        List<String> results = new ArrayList<>();
        for (String statusLineEnd : List.of(status + " X", status, status + " ")) {
            results.add(result(withStatus(statusLineEnd)));
            results.add(result("HTTP/1.1 100 Continue\r\n\r\n" + withStatus(statusLineEnd)));
            results.add(result("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + withStatus(statusLineEnd)));
            results.add(result("HTTP/1.1 " + statusLineEnd + "\r\n\r\n" + withStatus("200 OK")));
        }
        assertEquals(
                List.of(ExchangeFailure.MALFORMED_ANSWER.name()),
                results.stream().distinct().toList());
    }

    /** Responses that are rare but valid must not be taken for malformed ones. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "200",
                "200 ",
                "200 OK",
                "200 two words\t\u00e9",
                "202 X",
                "299 X",
                "300 X",
                "399 X",
                "404 X",
                "499",
                "500",
                "599 X",
                "599"
            })
    void validStatusIsAccepted(String status) throws Exception {
        String expected = status.substring(0, 3) + " Content-Length=2 ok";
        assertEquals(expected, result(withStatus(status)));
        assertEquals(expected, result("HTTP/1.1 100\r\n\r\nHTTP/1.1 199 X\r\nA: b\r\n\r\n" + withStatus(status)));
    }

    /**
     * Guards against a field whose name is passed on although it holds a blank or a control byte, or is passed on
     * shortened: "Content-Length x" would then determine the length of the body.
     */
    @ParameterizedTest
    @EnumSource
    void responseWithInvalidFieldNameIsMalformed(Place place) throws Exception {
        List<String> accepted = new ArrayList<>();
        int[] invalidBytes = IntStream.range(0, 256)
                .filter(value -> value != ':' && value != '\n' && TOKEN_CHARACTERS.indexOf(value) < 0)
                .toArray();
        for (int invalidByte : invalidBytes) {
            char invalid = (char) invalidByte;
            for (String name : List.of("X" + invalid + "Bad", "X-Bad" + invalid, invalid + "X-Bad", "" + invalid)) {
                String result = place.continuesLine(name.charAt(0)) ? null : result(place.response(name + ": 1"));
                if (result != null && !result.equals(ExchangeFailure.MALFORMED_ANSWER.name())) {
                    accepted.add(String.format("byte %02x in %s: %s", invalidByte, name, result));
                }
            }
        }
        assertEquals(List.of(), accepted);
    }

    /** Guards against a length that is taken from a field with another name. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length x: 1",
                "Content-Length : 1",
                "Content-Length\t: 1",
                " Content-Length: 1",
                "Transfer-Encoding x: chunked",
                "Transfer-Encoding : chunked",
                ": 1",
                "Content-Length"
            })
    void responseWithInvalidFramingFieldIsMalformed(String field) throws Exception {
        assertEquals(
                ExchangeFailure.MALFORMED_ANSWER.name(),
                result("HTTP/1.1 200 OK\r\n" + field + "\r\nX-Second: 2\r\n\r\nok"));
    }

    @ParameterizedTest
    @EnumSource
    void validFieldsAreAccepted(Place place) throws Exception {
        for (String field : List.of(
                TOKEN_CHARACTERS + ": 1",
                "!: 1",
                "X-Empty:",
                "X-Tab:\t1\t2 \u00e9\u00ff \u0080",
                "X-Colon:1:2",
                "X-Folded: 1\r\n 2: 3")) {
            String result = result(place.response(field));
            assertEquals("200", result.substring(0, 3), field + " in " + place);
        }
    }

    @Test
    void fieldsOfTheHeadAreUnchanged() throws Exception {
        assertEquals(
                "200 " + TOKEN_CHARACTERS + "=1 X-Tab=1\t2 \u00e9\u00ff Content-Length=2 ok",
                result("HTTP/1.1 200 OK\r\n" + TOKEN_CHARACTERS
                        + ": 1\r\nX-Tab: 1\t2 \u00e9\u00ff\r\nContent-Length: 2\r\n\r\nok"));
    }
}
