package org.jackdawslip.internal.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import com.sun.net.httpserver.HttpExchange;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.tinylog.Logger;

/**
 * HTTP server for operators and the load balancer: metrics, health, readiness and JSON documents.
 * Thread-safe.
 *
 * <pre>{@code
 * AdminServer server = AdminServer.builder(address)
 *         .metrics(routerMetrics::scrape)
 *         .ready(instance::ready)
 *         .handler("GET", "/status", (method, rest, key) -> instance.status())
 *         .open();
 * }</pre>
 */
public final class AdminServer implements AutoCloseable {

    private static final int ACCEPT_BACKLOG = 64;
    private static final int THREADS_PER_POOL = 4;

    private final Supplier<String> metrics;
    private final BooleanSupplier healthy;
    private final BooleanSupplier ready;
    private final Map<String, AdminHandler> handlers;
    private final HttpListener listener;

    private AdminServer(Builder builder) {
        metrics = builder.metrics;
        healthy = builder.healthy;
        ready = builder.ready;
        handlers = Map.copyOf(builder.handlers);
        listener = new HttpListener("admin", builder.address, ACCEPT_BACKLOG, THREADS_PER_POOL, this::handleExchange);
    }

    /** Returns a builder for a server that listens on the address. */
    public static Builder builder(InetSocketAddress address) {
        return new Builder(address);
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress localAddress() {
        return listener.address();
    }

    private void handleExchange(HttpExchange exchange) {
        CompletableFuture<CallerResponse> response;
        try {
            response = routeRequest(exchange);
        } catch (RuntimeException e) {
            response = CompletableFuture.failedFuture(e);
        }
        response.exceptionally(failure -> Json.errorResponse(failure, ""))
                .thenAccept(complete -> enqueueWrite(exchange, complete));
    }

    private CompletableFuture<CallerResponse> routeRequest(HttpExchange exchange) {
        String method = exchange.getRequestMethod();
        String path = exchange.getRequestURI().getPath();
        switch (path) {
            case "/metrics":
                return CompletableFuture.completedFuture(new CallerResponse(
                        200,
                        List.of(new HttpHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8")),
                        metrics.get().getBytes(StandardCharsets.UTF_8)));
            case "/health":
                return CompletableFuture.completedFuture(stateResponse("healthy", healthy.getAsBoolean()));
            case "/ready":
                return CompletableFuture.completedFuture(stateResponse("ready", ready.getAsBoolean()));
            default:
                return dispatch(method, path, exchange.getRequestHeaders().getFirst("Key"));
        }
    }

    private static CallerResponse stateResponse(String name, boolean value) {
        return HttpListener.jsonResponse(value ? 200 : 503, Map.of(name, value));
    }

    // The handler with the longest matching prefix is called, so /requests/{id} and /requests can both be
    // registered.
    private CompletableFuture<CallerResponse> dispatch(String method, String path, String key) {
        Optional<String> route = handlers.keySet().stream()
                .filter(candidate -> matches(candidate, method, path))
                .max((a, b) -> Integer.compare(a.length(), b.length()));
        if (route.isEmpty()) {
            CallerResponse error = CallerResponse.error(
                    ErrorCode.INVALID_REQUEST, "no handler for " + method + " " + path, Optional.empty());
            return CompletableFuture.completedFuture(new CallerResponse(404, error.headers(), error.body()));
        }
        String prefix = route.get().substring(method.length() + 1);
        return handlers.get(route.get())
                .handle(method, path.substring(prefix.length()), key)
                .thenApply(value -> HttpListener.jsonResponse(200, value));
    }

    private static boolean matches(String route, String method, String path) {
        if (!route.startsWith(method + " ")) {
            return false;
        }
        String prefix = route.substring(method.length() + 1);
        return path.equals(prefix) || path.startsWith(prefix.endsWith("/") ? prefix : prefix + "/");
    }

    private void enqueueWrite(HttpExchange exchange, CallerResponse response) {
        try {
            listener.writers().execute(() -> writeResponse(exchange, response));
        } catch (RejectedExecutionException e) {
            exchange.close();
        }
    }

    private static void writeResponse(HttpExchange exchange, CallerResponse response) {
        try {
            HttpListener.writeResponse(exchange, response);
        } catch (IOException | RuntimeException e) {
            Logger.debug(e, "response to an operator could not be written");
            exchange.close();
        }
    }

    @Override
    public void close() {
        listener.close();
    }

    /** Configures an {@link AdminServer}. Not thread-safe. */
    public static final class Builder {

        private final InetSocketAddress address;
        private final Map<String, AdminHandler> handlers = new LinkedHashMap<>();
        private Supplier<String> metrics = () -> "";
        private BooleanSupplier healthy = () -> true;
        private BooleanSupplier ready = () -> true;

        private Builder(InetSocketAddress address) {
            this.address = Objects.requireNonNull(address, "address");
        }

        /** Sets the source of the metrics, in the Prometheus text format. */
        public Builder metrics(Supplier<String> source) {
            metrics = Objects.requireNonNull(source, "source");
            return this;
        }

        /** Sets the state that {@code /health} reports: status 200 if true, otherwise 503. */
        public Builder health(BooleanSupplier source) {
            healthy = Objects.requireNonNull(source, "source");
            return this;
        }

        /** Sets the state that {@code /ready} reports: status 200 if true, otherwise 503. */
        public Builder ready(BooleanSupplier source) {
            ready = Objects.requireNonNull(source, "source");
            return this;
        }

        /** Registers a handler for the requests with a method whose path is the prefix or lies below it. */
        public Builder handler(String method, String prefix, AdminHandler handler) {
            handlers.put(method + " " + prefix, Objects.requireNonNull(handler, "handler"));
            return this;
        }

        /**
         * Binds the address and starts the server.
         *
         * @throws JackdawslipException with {@link ErrorCode#ADDRESS_IN_USE} if the address cannot be bound
         */
        public AdminServer open() {
            return new AdminServer(this);
        }
    }
}
