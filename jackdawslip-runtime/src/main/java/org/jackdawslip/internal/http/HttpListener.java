package org.jackdawslip.internal.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;

/**
 * A JDK HTTP server with one bounded thread pool for reading requests and one for writing responses.
 *
 * <p>The pools are separate because reads and writes block on the network: callers that read their responses
 * slowly must not prevent the server from reading requests. Thread-safe.
 */
final class HttpListener implements AutoCloseable {

    // Requests or responses that wait for a thread of a pool. Under overload, the connections of further ones
    // are closed.
    private static final int MAX_QUEUED_TASKS = 4_096;

    private final HttpServer server;
    private final ThreadPoolExecutor readers;
    private final ThreadPoolExecutor writers;

    HttpListener(String name, InetSocketAddress address, int backlog, int threads, HttpHandler handler) {
        JdkHttpSettings.apply();
        try {
            server = HttpServer.create(address, backlog);
        } catch (IOException e) {
            throw new JackdawslipException(
                    ErrorCode.ADDRESS_IN_USE, name + " address " + address + " cannot be bound: " + e.getMessage(), e);
        }
        readers = threadPool(name + "-read", threads);
        writers = threadPool(name + "-write", threads);
        server.setExecutor(readers);
        server.createContext("/", handler);
        server.start();
    }

    private static ThreadPoolExecutor threadPool(String name, int threads) {
        ThreadPoolExecutor pool = new ThreadPoolExecutor(
                threads,
                threads,
                30,
                TimeUnit.SECONDS,
                new LinkedBlockingQueue<>(MAX_QUEUED_TASKS),
                new DefaultThreadFactory(name, true));
        pool.allowCoreThreadTimeOut(true);
        return pool;
    }

    InetSocketAddress address() {
        return server.getAddress();
    }

    ExecutorService writers() {
        return writers;
    }

    /** Writes the response and ends the exchange. */
    static void writeResponse(HttpExchange exchange, CallerResponse response) throws IOException {
        byte[] body = response.body();
        Headers headers = exchange.getResponseHeaders();
        for (HttpHeader header : response.headers()) {
            if (!ConnectionHeaders.contains(header.name())) {
                headers.add(header.name(), header.value());
            }
        }
        boolean head = "HEAD".equals(exchange.getRequestMethod());
        boolean bodyAllowed = !head && response.status() >= 200 && response.status() != 204 && response.status() != 304;
        if (head && body.length > 0) {
            headers.set("Content-Length", Integer.toString(body.length));
        }
        // The length -1 means no body; 0 would select chunked encoding.
        exchange.sendResponseHeaders(response.status(), bodyAllowed && body.length > 0 ? body.length : -1);
        if (bodyAllowed && body.length > 0) {
            exchange.getResponseBody().write(body);
        }
        exchange.close();
    }

    static CallerResponse jsonResponse(int status, Object value) {
        return new CallerResponse(status, List.of(Json.CONTENT_TYPE), Json.toBytes(value));
    }

    /**
     * Stops listening, and closes the connections when all exchanges have ended or the delay in seconds has
     * passed.
     */
    void stop(int delaySeconds) {
        server.stop(delaySeconds);
        readers.shutdown();
        writers.shutdown();
    }

    @Override
    public void close() {
        stop(0);
    }
}
