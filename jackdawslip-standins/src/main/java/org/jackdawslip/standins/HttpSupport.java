package org.jackdawslip.standins;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;

/** HTTP helper methods of the fake store and the fake backend server. Stateless and thread-safe. */
final class HttpSupport {

    static final ObjectMapper JSON = new ObjectMapper();

    static {
        // Nagle's algorithm with delayed acknowledgements adds 40 ms to responses on loopback.
        System.setProperty("sun.net.httpserver.nodelay", "true");
    }

    private HttpSupport() {}

    /**
     * Starts an HTTP server that passes every request to the handler. A request for which the handler throws
     * an {@link IllegalArgumentException} gets status 400. If the handler returns without a response, the
     * connection is closed.
     *
     * @throws UncheckedIOException if the port is in use
     */
    static HttpServer startServer(String host, int port, ExecutorService executor, HttpHandler handler) {
        try {
            HttpServer server = HttpServer.create(new InetSocketAddress(host, port), 1024);
            server.setExecutor(executor);
            server.createContext("/", exchange -> {
                try (exchange) {
                    handleOrReject(exchange, handler);
                }
            });
            server.start();
            return server;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen on " + host + ":" + port + ": " + e.getMessage(), e);
        }
    }

    private static void handleOrReject(HttpExchange exchange, HttpHandler handler) throws IOException {
        try {
            handler.handle(exchange);
        } catch (IllegalArgumentException e) {
            respond(exchange, 400, Map.of("error", String.valueOf(e.getMessage())));
        }
    }

    /** Returns the query parameters with decoded values. A parameter without a value has an empty one. */
    static Map<String, String> queryParameters(HttpExchange exchange) {
        Map<String, String> values = new HashMap<>();
        String query = exchange.getRequestURI().getRawQuery();
        if (query != null) {
            for (String part : query.split("&")) {
                String[] pair = part.split("=", 2);
                values.put(pair[0], pair.length == 2 ? URLDecoder.decode(pair[1], StandardCharsets.UTF_8) : "");
            }
        }
        return values;
    }

    /**
     * Parses the request body.
     *
     * @throws IllegalArgumentException if the body is not JSON
     */
    static JsonNode readJson(HttpExchange exchange) throws IOException {
        try {
            return JSON.readTree(exchange.getRequestBody().readAllBytes());
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            throw new IllegalArgumentException("body is not JSON: " + e.getOriginalMessage(), e);
        }
    }

    static void respond(HttpExchange exchange, int status, Object value) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        respond(exchange, status, JSON.writeValueAsBytes(value));
    }

    static void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            exchange.getResponseBody().write(body);
        }
    }

    /** Sleeps, and sets the interrupt flag of the thread if it was interrupted. */
    static void sleep(long millis) {
        if (millis <= 0) {
            return;
        }
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
