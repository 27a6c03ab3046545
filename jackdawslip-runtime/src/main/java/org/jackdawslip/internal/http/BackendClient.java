package org.jackdawslip.internal.http;

import java.io.IOException;
import java.net.URI;
import java.net.URISyntaxException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.jackdawslip.BackendServerId;
import org.jackdawslip.internal.bundle.BackendServer;

/**
 * HTTP/1.1 client for backend servers: attempts, cancellations, grant calls, health and load.
 *
 * <p>Every attempt is sent at most once, whatever its method: the client itself never retries. The returned
 * futures never complete exceptionally; they complete on the threads of the client. Thread-safe.
 */
public final class BackendClient implements AutoCloseable {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(1);
    private static final int CLIENT_THREADS = 8;
    private static final String ATTEMPT_HEADER = "Attempt-Id";

    private final HttpClient client;
    private final ExecutorService executor =
            Executors.newFixedThreadPool(CLIENT_THREADS, new DefaultThreadFactory("backend", true));
    private final ScheduledThreadPoolExecutor timeoutScheduler =
            new ScheduledThreadPoolExecutor(1, new DefaultThreadFactory("backend-timeout", true));
    private final ConcurrentHashMap<BackendServerId, Semaphore> connectionPermits = new ConcurrentHashMap<>();
    private final LongAdder preventedRepeats = new LongAdder();
    private final LongAdder mismatchedResponses = new LongAdder();
    private final int maxConnectionsPerServer;
    private final int responseLimitBytes;

    /**
     * Creates a client.
     *
     * @param maxConnectionsPerServer the maximum number of concurrent attempts and control calls at one
     *     backend server
     * @param responseLimitBytes the maximum size of a response body in bytes; an attempt with a larger one
     *     counts as lost
     */
    public BackendClient(int maxConnectionsPerServer, int responseLimitBytes) {
        JdkHttpSettings.apply();
        this.maxConnectionsPerServer = maxConnectionsPerServer;
        this.responseLimitBytes = responseLimitBytes;
        timeoutScheduler.setRemoveOnCancelPolicy(true);
        client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .followRedirects(HttpClient.Redirect.NEVER)
                .proxy(HttpClient.Builder.NO_PROXY)
                .connectTimeout(CONNECT_TIMEOUT)
                .executor(executor)
                .build();
    }

    /** Returns how often the JDK client tried to send a request a second time and was prevented from it. */
    public long preventedRepeats() {
        return preventedRepeats.sum();
    }

    /** Returns the number of responses that were discarded because they carry the id of another request. */
    public long mismatchedResponses() {
        return mismatchedResponses.sum();
    }

    /**
     * Sends one attempt.
     *
     * @return what is known about the attempt, at the latest when its deadline has passed
     */
    public CompletableFuture<BackendOutcome> send(BackendServer server, BackendAttempt attempt) {
        long remainingMillis = attempt.remainingTime().toMillis();
        if (remainingMillis <= 0) {
            return CompletableFuture.completedFuture(
                    new BackendOutcome.NotSent(BackendOutcome.NotSent.Cause.DEADLINE, "the deadline has passed"));
        }
        SingleSendBody body = new SingleSendBody(attempt.body());
        HttpRequest request;
        try {
            request = attemptRequest(server, attempt, body, remainingMillis);
        } catch (IllegalArgumentException | URISyntaxException e) {
            return CompletableFuture.completedFuture(
                    new BackendOutcome.NotSent(BackendOutcome.NotSent.Cause.INVALID, e.getMessage()));
        }
        return exchange(server, request, body, attempt.remainingTime())
                .handle((response, failure) ->
                        failure == null ? evaluateResponse(response, attempt) : evaluateFailure(failure, body));
    }

    /**
     * Requests that a backend server stops an attempt. Best effort: errors are ignored, and whether the
     * attempt ran is reported by the outcome of the attempt.
     */
    public void cancel(BackendServer server, String attemptId) {
        SingleSendBody body = new SingleSendBody(new byte[0]);
        exchange(server, controlRequest(server, "POST", "/cancel/" + attemptId, body), body, CANCEL_TIMEOUT)
                .exceptionally(failure -> null);
    }

    /** Claims or renews the exclusive right to send to a backend server and the grants of its key ranges. */
    public CompletableFuture<GrantResponse> grant(BackendServer server, GrantRequest grants, Duration timeout) {
        SingleSendBody body = new SingleSendBody(Json.toBytes(grantDocument(grants)));
        HttpRequest request = controlRequest(server, "POST", "/grants", body);
        return exchange(server, request, body, timeout).handle((response, failure) -> {
            if (failure != null) {
                return new GrantResponse.Failed(
                        !body.preventSending(), unwrap(failure).toString());
            }
            return decodeGrantResponse(response);
        });
    }

    /**
     * Reads the health document.
     *
     * @return the document, or empty if no response with status 200 and a JSON body arrived within the
     *     timeout
     */
    public CompletableFuture<Optional<JsonNode>> health(BackendServer server, Duration timeout) {
        return readDocument(server, "/health", timeout);
    }

    /**
     * Reads the load document. Its values lag behind the actual load and may be wrong.
     *
     * @return the document, or empty if no response with status 200 and a JSON body arrived within the
     *     timeout
     */
    public CompletableFuture<Optional<JsonNode>> load(BackendServer server, Duration timeout) {
        return readDocument(server, "/load", timeout);
    }

    /**
     * Opens a connection in advance with a health request. Connecting adds about 1 ms to the first attempt
     * otherwise.
     *
     * @return whether the server returned its health document
     */
    public CompletableFuture<Boolean> openConnection(BackendServer server) {
        return health(server, CONNECT_TIMEOUT).thenApply(Optional::isPresent);
    }

    /** Removes the connection limit of a backend server that is no longer in the bundle. */
    public void removeServer(BackendServerId server) {
        connectionPermits.remove(server);
    }

    private CompletableFuture<Optional<JsonNode>> readDocument(BackendServer server, String path, Duration timeout) {
        SingleSendBody body = new SingleSendBody(new byte[0]);
        return exchange(server, controlRequest(server, "GET", path, body), body, timeout)
                .handle((response, failure) -> {
                    if (failure != null || response.statusCode() != 200) {
                        return Optional.empty();
                    }
                    return parseJson(response.body());
                });
    }

    private static Optional<JsonNode> parseJson(byte[] body) {
        try {
            return Optional.of(Json.MAPPER.readTree(body));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static HttpRequest controlRequest(BackendServer server, String method, String path, SingleSendBody body) {
        return HttpRequest.newBuilder(URI.create("http://" + authority(server) + path))
                .method(method, body)
                .header("Content-Type", "application/json")
                .build();
    }

    private static String authority(BackendServer server) {
        String host = server.host().indexOf(':') >= 0 ? "[" + server.host() + "]" : server.host();
        return host + ":" + server.port();
    }

    private static HttpRequest attemptRequest(
            BackendServer server, BackendAttempt attempt, SingleSendBody body, long remainingMillis)
            throws URISyntaxException {
        HttpRequest.Builder request = HttpRequest.newBuilder(new URI("http://" + authority(server) + attempt.path()))
                .method(attempt.method(), body);
        for (HttpHeader header : attempt.headers()) {
            if (!ConnectionHeaders.contains(header.name()) && !header.is(ATTEMPT_HEADER)) {
                request.header(header.name(), header.value());
            }
        }
        request.setHeader(ATTEMPT_HEADER, attempt.attemptId());
        request.setHeader("Request-Deadline", Long.toString(remainingMillis));
        request.setHeader("Fencing-Token", attempt.fencingTokens().senderToken().toString());
        attempt.fencingTokens().rangeToken().ifPresent(token -> request.setHeader("Range-Token", Long.toString(token)));
        attempt.fencingTokens().keyHash().ifPresent(hash -> request.setHeader("Key-Hash", Long.toHexString(hash)));
        attempt.requestId().ifPresent(id -> request.setHeader("Request-Id", id.toString()));
        return request.build();
    }

    private CompletableFuture<HttpResponse<byte[]>> exchange(
            BackendServer server, HttpRequest request, SingleSendBody body, Duration timeout) {
        Semaphore freeConnections =
                connectionPermits.computeIfAbsent(server.id(), id -> new Semaphore(maxConnectionsPerServer));
        if (!freeConnections.tryAcquire()) {
            return CompletableFuture.failedFuture(new ConnectionsInUseException(server.id(), maxConnectionsPerServer));
        }
        CompletableFuture<HttpResponse<byte[]>> response;
        try {
            response = client.sendAsync(request, LimitedBodySubscriber.handler(responseLimitBytes));
        } catch (RuntimeException e) {
            freeConnections.release();
            return CompletableFuture.failedFuture(e);
        }
        // HttpRequest.timeout ends with the response headers, so it would not limit the time of a stalled
        // body. Cancelling the future makes the JDK client close the connection.
        ScheduledFuture<?> timer =
                timeoutScheduler.schedule(() -> response.cancel(true), timeout.toMillis(), TimeUnit.MILLISECONDS);
        return response.whenComplete((result, failure) -> {
            timer.cancel(false);
            freeConnections.release();
            if (body.repeatPrevented()) {
                preventedRepeats.increment();
            }
        });
    }

    private BackendOutcome evaluateResponse(HttpResponse<byte[]> response, BackendAttempt attempt) {
        Optional<String> echoedId = response.headers().firstValue("Request-Id");
        String sentId = attempt.requestId().map(Object::toString).orElse(null);
        boolean idMatches =
                sentId == null || echoedId.filter(sentId::equalsIgnoreCase).isPresent();
        if (echoedId.isPresent() && !idMatches) {
            mismatchedResponses.increment();
            return new BackendOutcome.Lost("the response is for request " + echoedId.get() + " instead of " + sentId);
        }
        if (!hasDefinedEnd(response)) {
            return new BackendOutcome.Lost("the response has neither a length nor chunks, so it may be truncated");
        }
        List<HttpHeader> headers = new ArrayList<>();
        response.headers().map().forEach((name, values) -> {
            if (!ConnectionHeaders.contains(name)) {
                values.forEach(value -> headers.add(new HttpHeader(name, value)));
            }
        });
        Optional<String> startId = response.headers().firstValue("Server-Start-Id");
        boolean notRun = response.headers()
                .firstValue("Not-Run")
                .filter("true"::equalsIgnoreCase)
                .isPresent();
        if (notRun && !idMatches) {
            return new BackendOutcome.Lost("the response with Not-Run does not have the id of request " + sentId);
        }
        return notRun
                ? new BackendOutcome.NotRun(response.statusCode(), List.copyOf(headers), response.body(), startId)
                : new BackendOutcome.ResponseReceived(
                        response.statusCode(), List.copyOf(headers), response.body(), startId);
    }

    // Without a length or chunks, the body ends with the connection, so a complete body cannot be distinguished
    // from one that a crash of the server cut off.
    private static boolean hasDefinedEnd(HttpResponse<byte[]> response) {
        return response.body().length == 0 && "HEAD".equals(response.request().method())
                || response.statusCode() == 204
                || response.statusCode() == 304
                || response.headers().firstValue("Content-Length").isPresent()
                || response.headers().firstValue("Transfer-Encoding").isPresent();
    }

    private static BackendOutcome evaluateFailure(Throwable failure, SingleSendBody body) {
        Throwable cause = unwrap(failure);
        if (!body.preventSending()) {
            return new BackendOutcome.Lost(cause.toString());
        }
        BackendOutcome.NotSent.Cause reason = cause instanceof ConnectionsInUseException
                ? BackendOutcome.NotSent.Cause.CONNECTIONS_IN_USE
                : BackendOutcome.NotSent.Cause.CONNECT_FAILED;
        return new BackendOutcome.NotSent(reason, cause.toString());
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }

    private static Map<String, Object> grantDocument(GrantRequest grants) {
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("sender", grants.sender().value());
        document.put("senderToken", grants.senderToken().value());
        document.put("termMillis", grants.termMillis());
        grants.notAfterMillis().ifPresent(millis -> document.put("notAfterMillis", millis));
        List<Map<String, Object>> ranges = new ArrayList<>();
        for (GrantRequest.RangeGrant grant : grants.ranges()) {
            Map<String, Object> range = new LinkedHashMap<>();
            range.put("service", grant.service().value());
            range.put("first", Long.toHexString(grant.range().first()));
            range.put("last", Long.toHexString(grant.range().last()));
            range.put("token", grant.token());
            ranges.add(range);
        }
        document.put("ranges", ranges);
        return document;
    }

    private static GrantResponse decodeGrantResponse(HttpResponse<byte[]> response) {
        JsonNode body = parseJson(response.body()).orElse(null);
        if (body != null && response.statusCode() == 200 && body.has("startId")) {
            return new GrantResponse.Accepted(
                    body.path("startId").asText(), body.path("nowMillis").asLong());
        }
        if (body != null && "late".equals(body.path("reason").asText())) {
            return new GrantResponse.Failed(false, "the grant call reached the backend server after notAfterMillis");
        }
        if (body != null && response.statusCode() == 409 && body.has("senderToken")) {
            return new GrantResponse.Stale(
                    body.path("senderToken").asLong(),
                    body.path("sender").asText(),
                    body.path("startId").asText());
        }
        return new GrantResponse.Failed(
                true, "unexpected response to the grant call with status " + response.statusCode());
    }

    @Override
    public void close() {
        timeoutScheduler.shutdownNow();
        executor.shutdown();
    }

    /** Thrown when the connection limit of a backend server is reached. Immutable and thread-safe. */
    private static final class ConnectionsInUseException extends IOException {

        private static final long serialVersionUID = 1L;

        ConnectionsInUseException(BackendServerId server, int limit) {
            super("all " + limit + " connections to backend server " + server + " are in use");
        }
    }
}
