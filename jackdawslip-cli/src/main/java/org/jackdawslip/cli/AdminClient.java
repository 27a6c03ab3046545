package org.jackdawslip.cli;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.internal.settings.HostPort;

/**
 * HTTP client for the admin addresses of instances, which are called concurrently. Stateless and thread-safe.
 */
final class AdminClient {

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

    private AdminClient() {}

    /**
     * Sends the same request to all addresses and blocks until each one has responded or failed, at most
     * about two seconds.
     *
     * @param key value of the {@code Key} header, or null for none
     * @return one response for each address, in the order of the addresses
     * @throws JackdawslipException with {@link ErrorCode#INVALID_ARGUMENT} if an address is not valid
     */
    static List<Response> queryAll(List<String> addresses, String method, String path, String key) {
        List<HostPort> parsed =
                addresses.stream().map(AdminClient::parseAddress).toList();
        HttpClient client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CALL_TIMEOUT)
                .build();
        List<CompletableFuture<Response>> calls = parsed.stream()
                .map(address -> query(client, address, method, path, key))
                .toList();
        return calls.stream().map(CompletableFuture::join).toList();
    }

    private static HostPort parseAddress(String address) {
        return HostPort.parse(address)
                .orElseThrow(() -> new JackdawslipException(
                        ErrorCode.INVALID_ARGUMENT,
                        "admin address \"" + address + "\" is not an IP address and a port, such as 127.0.0.1:7002"));
    }

    private static CompletableFuture<Response> query(
            HttpClient client, HostPort address, String method, String path, String key) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(CALL_TIMEOUT)
                .method(method, HttpRequest.BodyPublishers.noBody());
        if (key != null) {
            request.header("Key", key);
        }
        // HttpRequest.timeout only covers the time until the response headers; orTimeout also covers the
        // body.
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofByteArray())
                .orTimeout(CALL_TIMEOUT.toMillis() + 100, TimeUnit.MILLISECONDS)
                .handle((response, failure) -> {
                    if (failure != null) {
                        return new Response(address.toString(), MissingNode.getInstance(), describeFailure(failure));
                    }
                    return toResponse(address, response);
                });
    }

    private static Response toResponse(HostPort address, HttpResponse<byte[]> response) {
        JsonNode body;
        try {
            body = Output.JSON.readTree(response.body());
        } catch (IOException e) {
            return new Response(
                    address.toString(),
                    MissingNode.getInstance(),
                    "response with status " + response.statusCode() + " is not JSON");
        }
        if (response.statusCode() >= 300) {
            return new Response(address.toString(), body, describeRefusal(body, response.statusCode()));
        }
        return new Response(address.toString(), body, "");
    }

    private static String describeRefusal(JsonNode body, int status) {
        return body.has("code")
                ? body.path("code").asText() + ": " + body.path("message").asText()
                : "responded with status " + status;
    }

    private static String describeFailure(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof ConnectException) {
            return "cannot be reached";
        }
        return cause instanceof HttpTimeoutException || cause instanceof TimeoutException
                ? "did not respond within " + CALL_TIMEOUT.toMillis() + " ms"
                : "connection failed: " + cause.getMessage();
    }

    /**
     * The result of a request to one instance.
     *
     * @param address the admin address
     * @param body the JSON body of a success or error response, a missing node if there is none
     * @param problem empty on success, otherwise the failure, with the error code if the instance refused the
     *     request
     */
    record Response(String address, JsonNode body, String problem) {

        boolean isSuccess() {
            return problem.isEmpty();
        }

        /** Returns the error code with which the instance refused the request, or empty. */
        Optional<ErrorCode> refusalCode() {
            String code = isSuccess() ? "" : body.path("code").asText();
            return Stream.of(ErrorCode.values())
                    .filter(known -> known.name().equals(code))
                    .findFirst();
        }
    }
}
