package org.jackdawslip.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Base64;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * A second address of the store stand-in, whose pages have at most about 1 MB, as those of the platform's store. All
 * other calls pass unchanged. Thread-safe.
 */
final class PagedStore implements AutoCloseable {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int PAGE_CHARS = 1_400_000;

    /** Keys of entries of another writer, whose values have the largest size of a value, 1,048,576 bytes. */
    static final String FOREIGN_PREFIX = "servers/z-";

    private static final int VALUE_BYTES = 1_048_576;
    private static final String LONG_VALUE = Base64.getEncoder().encodeToString(new byte[VALUE_BYTES]);

    private final StoreStandin store;
    private final HttpServer server;
    private final AtomicLong longestMillis = new AtomicLong();
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    PagedStore(StoreStandin store) throws IOException {
        this.store = store;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(executor);
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Returns the longest time in milliseconds until an answer to a read of records or to a write. */
    long longestMillis() {
        return longestMillis.get();
    }

    private void handle(HttpExchange exchange) throws IOException {
        long start = System.nanoTime();
        byte[] body = exchange.getRequestBody().readAllBytes();
        String uri = exchange.getRequestURI().toString();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + store.address() + uri))
                .method(
                        exchange.getRequestMethod(),
                        body.length == 0
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
        try {
            HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
            byte[] answer = response.body();
            if (response.statusCode() == 200 && uri.startsWith("/v1/kv-range")) {
                answer = page(answer);
            } else if (response.statusCode() == 200 && uri.startsWith("/v1/kv-watch")) {
                answer = expandEvents(answer);
            }
            response.headers()
                    .firstValue(KeyValueStore.ERA_HEADER)
                    .ifPresent(era -> exchange.getResponseHeaders().set(KeyValueStore.ERA_HEADER, era));
            exchange.sendResponseHeaders(response.statusCode(), answer.length == 0 ? -1 : answer.length);
            exchange.getResponseBody().write(answer);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            if (!uri.startsWith("/v1/kv-watch")) {
                longestMillis.accumulateAndGet((System.nanoTime() - start) / 1_000_000, Math::max);
            }
            exchange.close();
        }
    }

    private static byte[] expandEvents(byte[] whole) throws IOException {
        JsonNode root = MAPPER.readTree(whole);
        root.path("events").forEach(PagedStore::expand);
        return MAPPER.writeValueAsBytes(root);
    }

    /** Replaces the short value that the stand-in keeps of a foreign entry by the long one. */
    private static void expand(JsonNode item) {
        if (item.path("key").asText().startsWith(FOREIGN_PREFIX) && item.has("value")) {
            ((ObjectNode) item).put("value", LONG_VALUE);
        }
    }

    /** Keeps the items of a page up to its size, at least one. */
    private static byte[] page(byte[] whole) throws IOException {
        ObjectNode root = (ObjectNode) MAPPER.readTree(whole);
        ArrayNode kept = MAPPER.createArrayNode();
        int chars = 0;
        boolean truncated = root.path("truncated").asBoolean();
        for (JsonNode item : root.path("items")) {
            expand(item);
            chars += item.path("value").asText().length();
            if (!kept.isEmpty() && chars > PAGE_CHARS) {
                truncated = true;
                break;
            }
            kept.add(item);
        }
        root.set("items", kept);
        root.put("truncated", truncated);
        return MAPPER.writeValueAsBytes(root);
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }
}
