package org.jackdawslip.standins;

import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class StoreServerTest {

    /** Guards against a second store that starts on a port in use without an error and serves other data. */
    @Test
    void reportsPortInUse() {
        try (StoreServer first = StoreServer.builder().start()) {
            UncheckedIOException failure = assertThrows(
                    UncheckedIOException.class,
                    () -> StoreServer.builder().port(first.port()).start());
            assertTrue(failure.getMessage().contains("127.0.0.1:" + first.port()), failure.getMessage());
        }
    }

    /** Guards against a stand-in whose return from a copy keeps later records, indexes or waiting watches. */
    @Test
    void returnsFromCopy() throws Exception {
        try (StoreServer store = StoreServer.builder().start()) {
            URI record = URI.create("http://127.0.0.1:" + store.port() + "/v1/kv/record");
            HttpClient client = HttpClient.newHttpClient();
            HttpRequest read = HttpRequest.newBuilder(record).build();
            write(client, record, "first");
            String index = indexOf(client, read);
            StoreServer.Copy copy = store.copy();
            write(client, record, "second");
            String lostIndex = indexOf(client, read);
            // The JDK client would repeat a read whose connection is closed.
            try (Socket watch = new Socket("127.0.0.1", store.port())) {
                String request =
                        "GET " + record.getPath() + "?index=" + lostIndex + "&wait=60s HTTP/1.1\r\nHost: a\r\n\r\n";
                watch.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
                while (store.callCountsByKind().get("waiting") == 0) {
                    Thread.sleep(5);
                }
                store.restore(copy);
                assertEquals(-1, watch.getInputStream().read());
            }
            assertEquals(index, indexOf(client, read));
            write(client, record, "third");
            assertEquals(lostIndex, indexOf(client, read));
        }
    }

    private static void write(HttpClient client, URI record, String value) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(record)
                .PUT(HttpRequest.BodyPublishers.ofString(value))
                .build();
        client.send(request, HttpResponse.BodyHandlers.discarding());
    }

    private static String indexOf(HttpClient client, HttpRequest read) throws Exception {
        return client.send(read, HttpResponse.BodyHandlers.discarding())
                .headers()
                .firstValue("X-Consul-Index")
                .orElseThrow();
    }
}
