package org.jackdawslip.internal.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** The load: a configuration of half a megabyte that is read over a link on which it takes longer than the timeout. */
@Timeout(30)
class SlowTransferTest {

    private static final long TIMEOUT_MILLIS = 100;
    private static final int PART_BYTES = 1_000;
    private static final int PARTS = 20;
    /** Shorter than the interval at which progress is checked, so that the transfer takes several timeouts. */
    private static final long PART_INTERVAL_MILLIS = 20;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final InternalHttpClient client = new InternalHttpClient(group, System::currentTimeMillis, 8, 100_000);
    private final CountDownLatch testEnded = new CountDownLatch(1);

    @AfterEach
    void stop() {
        testEnded.countDown();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** Guards against a large response that is discarded and requested again while it is being received. */
    @Test
    void responseThatMakesProgressIsReceived() throws Exception {
        InternalHttpClient.Response response = call(PARTS);
        assertEquals(200, response.status(), response.body());
        assertArrayEquals(new byte[PARTS * PART_BYTES], response.content());
    }

    /** Guards against a call that waits for a response that has stopped. */
    @Test
    void responseThatStopsEndsTheCall() throws Exception {
        InternalHttpClient.Response response = call(2);
        assertEquals(0, response.status());
        assertEquals(ExchangeFailure.TIMED_OUT.name(), response.body());
    }

    /** Calls a server that sends some of the parts of its response and keeps the connection open. */
    private InternalHttpClient.Response call(int sentParts) throws Exception {
        CompletableFuture<InternalHttpClient.Response> result = new CompletableFuture<>();
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Thread thread = new Thread(() -> serve(server, sentParts));
            thread.setDaemon(true);
            thread.start();
            group.execute(() -> client.call(
                    "127.0.0.1:" + server.getLocalPort(),
                    HttpMethod.GET,
                    "/value",
                    null,
                    TIMEOUT_MILLIS,
                    result::complete));
            return result.get();
        }
    }

    private void serve(ServerSocket server, int sentParts) {
        try (Socket connection = server.accept()) {
            OutputStream output = connection.getOutputStream();
            output.write(("HTTP/1.1 200 OK\r\nContent-Length: " + PARTS * PART_BYTES + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            for (int part = 0; part < sentParts; part++) {
                output.write(new byte[PART_BYTES]);
                output.flush();
                Thread.sleep(PART_INTERVAL_MILLIS);
            }
            testEnded.await();
        } catch (IOException | InterruptedException e) {
            // The client closed the connection.
            return;
        }
    }
}
