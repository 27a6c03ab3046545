package org.jackdawslip.internal.store;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.JackdawslipException;

/**
 * A client of the HTTP key-value API of Consul.
 *
 * <p>Thread-safe. A call completes within one second; a watch completes within its wait, the jitter of up to
 * a sixteenth of the wait that Consul adds, and one second.
 *
 * <pre>{@code
 * Store store = new ConsulStore("127.0.0.1", 8500);
 * }</pre>
 */
public final class ConsulStore implements Store {

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final int WATCH_JITTER_DIVISOR = 16;
    private static final String SERVICE_NAME = "jackdawslip";
    private static final String DOMAIN_KEY = "failureDomain";
    private static final String LEAVING_KEY = "leaving";
    private static final ObjectMapper JSON = new ObjectMapper();

    private final String baseUri;
    private final HttpClient client;
    private final Set<CompletableFuture<?>> pending = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    /**
     * Creates a client, which connects on the first call.
     *
     * @param host the IP address of the store
     * @param port the HTTP port of the store
     */
    public ConsulStore(String host, int port) {
        baseUri = "http://" + (host.contains(":") ? "[" + host + "]" : host) + ":" + port;
        client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CALL_TIMEOUT)
                .build();
    }

    @Override
    public CompletableFuture<ReadResult> read(String key) {
        return get("/v1/kv/" + key, CALL_TIMEOUT);
    }

    @Override
    public CompletableFuture<ReadResult> watch(String key, long afterIndex, Duration maxWait) {
        String path = "/v1/kv/" + key + "?index=" + afterIndex + "&wait=" + maxWait.toMillis() + "ms";
        return get(path, maxWait.plus(maxWait.dividedBy(WATCH_JITTER_DIVISOR)).plus(CALL_TIMEOUT));
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSwap(String key, long expectedIndex, byte[] value) {
        return put("/v1/kv/" + key + "?cas=" + expectedIndex, HttpRequest.BodyPublishers.ofByteArray(value));
    }

    @Override
    public CompletableFuture<ListResult> listInstances() {
        return send(
                        HttpRequest.newBuilder(uri("/v1/health/service/" + SERVICE_NAME))
                                .GET(),
                        CALL_TIMEOUT)
                .handle((response, failure) -> {
                    if (failure != null) {
                        return new ListResult.Unavailable(describe(failure));
                    }
                    if (response.statusCode() != 200) {
                        return new ListResult.Unavailable(describe(response));
                    }
                    try {
                        return parseList(response.body());
                    } catch (IOException e) {
                        return new ListResult.Unavailable("invalid response of the store: " + e.getMessage());
                    }
                });
    }

    @Override
    public CompletableFuture<WriteResult> register(ListedInstance instance) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("Name", SERVICE_NAME);
        body.put("ID", instance.instance().value());
        body.put("Address", instance.host());
        body.put("Port", instance.port());
        body.put(
                "Meta",
                Map.of(
                        DOMAIN_KEY,
                        instance.failureDomain().value(),
                        LEAVING_KEY,
                        Boolean.toString(instance.leaving())));
        try {
            return put(
                    "/v1/agent/service/register", HttpRequest.BodyPublishers.ofByteArray(JSON.writeValueAsBytes(body)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public CompletableFuture<WriteResult> deregister(InstanceId instance) {
        return put("/v1/agent/service/deregister/" + instance.value(), HttpRequest.BodyPublishers.noBody());
    }

    @Override
    public void close() {
        closed = true;
        pending.forEach(call -> call.completeExceptionally(new IOException("the store client is closed")));
    }

    private CompletableFuture<ReadResult> get(String path, Duration timeout) {
        return send(HttpRequest.newBuilder(uri(path)).GET(), timeout).handle((response, failure) -> {
            if (failure != null) {
                return new ReadResult.Unavailable(describe(failure));
            }
            try {
                return parseRecord(response);
            } catch (IOException | IllegalArgumentException e) {
                return new ReadResult.Unavailable("invalid response of the store: " + e.getMessage());
            }
        });
    }

    private CompletableFuture<WriteResult> put(String path, HttpRequest.BodyPublisher body) {
        return send(HttpRequest.newBuilder(uri(path)).PUT(body), CALL_TIMEOUT).handle((response, failure) -> {
            if (failure != null) {
                WriteResult.Kind kind =
                        notSent(failure) ? WriteResult.Kind.UNAVAILABLE : WriteResult.Kind.OUTCOME_UNKNOWN;
                return new WriteResult(kind, describe(failure));
            }
            String text = new String(response.body(), StandardCharsets.UTF_8).strip();
            if (response.statusCode() == 200 && !text.equals("false")) {
                return new WriteResult(WriteResult.Kind.APPLIED, "");
            }
            if (response.statusCode() == 200) {
                return new WriteResult(WriteResult.Kind.CONFLICT, "");
            }
            // A write may have taken effect before a server error (5xx), but not before a client error (4xx).
            WriteResult.Kind kind =
                    response.statusCode() >= 500 ? WriteResult.Kind.OUTCOME_UNKNOWN : WriteResult.Kind.UNAVAILABLE;
            return new WriteResult(kind, describe(response));
        });
    }

    private CompletableFuture<HttpResponse<byte[]>> send(HttpRequest.Builder request, Duration timeout) {
        if (closed) {
            // notSent() recognizes a ConnectException as a call that was not sent.
            return CompletableFuture.failedFuture(new ConnectException("the store client is closed"));
        }
        // The timeout of the HTTP client covers only the response headers; orTimeout also covers the body.
        CompletableFuture<HttpResponse<byte[]>> call =
                client.sendAsync(request.timeout(timeout).build(), HttpResponse.BodyHandlers.ofByteArray());
        CompletableFuture<HttpResponse<byte[]>> result =
                call.copy().orTimeout(timeout.toMillis() + 100, TimeUnit.MILLISECONDS);
        pending.add(result);
        result.whenComplete((response, failure) -> {
            pending.remove(result);
            call.cancel(true);
        });
        if (closed) {
            result.completeExceptionally(new IOException("the store client is closed"));
        }
        return result;
    }

    private URI uri(String path) {
        return URI.create(baseUri + path);
    }

    private static ReadResult parseRecord(HttpResponse<byte[]> response) throws IOException {
        if (response.statusCode() == 404) {
            long index = response.headers().firstValueAsLong("X-Consul-Index").orElse(1);
            return new ReadResult.Absent(index);
        }
        if (response.statusCode() != 200) {
            return new ReadResult.Unavailable(describe(response));
        }
        JsonNode entry = JSON.readTree(response.body()).path(0);
        if (!entry.path("ModifyIndex").isIntegralNumber()) {
            return new ReadResult.Unavailable("invalid response of the store: no ModifyIndex");
        }
        byte[] value = entry.path("Value").isTextual() ? entry.get("Value").binaryValue() : new byte[0];
        return new ReadResult.Found(value, entry.get("ModifyIndex").asLong());
    }

    private static ListResult parseList(byte[] body) throws IOException {
        List<ListedInstance> instances = new ArrayList<>();
        for (JsonNode entry : JSON.readTree(body)) {
            JsonNode service = entry.path("Service");
            try {
                instances.add(new ListedInstance(
                        new InstanceId(service.path("ID").asText()),
                        new FailureDomainId(
                                service.path("Meta").path(DOMAIN_KEY).asText()),
                        service.path("Address").asText(),
                        service.path("Port").asInt(),
                        service.path("Meta").path(LEAVING_KEY).asBoolean()));
            } catch (JackdawslipException e) {
                // An invalid entry of another process must not hide the valid entries.
                continue;
            }
        }
        return new ListResult.Listed(instances);
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }

    private static boolean notSent(Throwable failure) {
        Throwable cause = unwrap(failure);
        return cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException;
    }

    private String describe(Throwable failure) {
        Throwable cause = unwrap(failure);
        if (cause instanceof HttpConnectTimeoutException || cause instanceof ConnectException) {
            return "store at " + baseUri + " cannot be reached";
        }
        if (cause instanceof HttpTimeoutException || cause instanceof TimeoutException) {
            return "store at " + baseUri + " did not respond in time";
        }
        return "connection to the store at " + baseUri + " failed: " + cause.getMessage();
    }

    private static String describe(HttpResponse<byte[]> response) {
        return "store responded with status " + response.statusCode();
    }
}
