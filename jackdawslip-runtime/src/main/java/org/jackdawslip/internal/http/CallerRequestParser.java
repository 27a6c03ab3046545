package org.jackdawslip.internal.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.RequestId;
import org.jackdawslip.ServiceName;

/**
 * Validates and decodes the path, headers and body of caller requests. Immutable and thread-safe.
 *
 * <p>The messages of the exceptions thrown here are part of the response to the caller.
 */
final class CallerRequestParser {

    private static final int MAX_TENANT_CHARACTERS = 256;
    /**
     * Limited because a request that is relayed to another instance must fit into one frame with its path.
     */
    private static final int MAX_PATH_CHARACTERS = 8_192;

    private static final int MAX_TIMEOUT_MILLIS = 60_000;
    /**
     * Headers that are not forwarded. Those from {@code sender} on carry the rights of a sender to backend
     * servers; the value of a caller would override them.
     */
    private static final Set<String> ROUTER_HEADERS = Set.of(
            "tenant",
            "key",
            "request-id",
            "priority",
            "request-timeout",
            "sender",
            "fencing-token",
            "range-token",
            "key-hash",
            "attempt-id",
            "request-deadline");

    private final int bodyLimitBytes;
    private final int keyLimitBytes;

    CallerRequestParser(int bodyLimit, int keyLimit) {
        this.bodyLimitBytes = bodyLimit;
        this.keyLimitBytes = keyLimit;
    }

    CallerRequest parse(HttpExchange exchange) throws IOException {
        if (exchange.getRequestMethod().equals("CONNECT")) {
            throw invalidRequest("method CONNECT is not supported");
        }
        Headers headers = exchange.getRequestHeaders();
        String path = exchange.getRequestURI().getRawPath();
        int end = path == null ? -1 : path.indexOf('/', 1);
        if (path == null || !path.startsWith("/") || end < 0) {
            throw invalidRequest("path \"" + path + "\" is not /{service}/{path}");
        }
        String query = exchange.getRequestURI().getRawQuery();
        checkPath(path, query);
        ServiceName service = parseService(path.substring(1, end));
        Optional<String> key = singleValue(headers, "Key");
        key.ifPresent(this::checkKey);
        String tenant = singleValue(headers, "Tenant").orElse("");
        if (tenant.length() > MAX_TENANT_CHARACTERS) {
            throw invalidRequest(
                    "header Tenant has " + tenant.length() + " characters, the limit is " + MAX_TENANT_CHARACTERS);
        }
        Optional<RequestId> requestId = singleValue(headers, "Request-Id").map(RequestId::parse);
        boolean urgent = parseUrgent(singleValue(headers, "Priority").orElse("normal"));
        Optional<Duration> timeout = singleValue(headers, "Request-Timeout").map(CallerRequestParser::parseTimeout);
        CallerRequest.Content content = new CallerRequest.Content(forwardedHeaders(headers), readBody(exchange));
        return new CallerRequest(
                service,
                exchange.getRequestMethod(),
                query == null ? path.substring(end) : path.substring(end) + "?" + query,
                tenant,
                key,
                requestId,
                urgent,
                timeout,
                content);
    }

    private static ServiceName parseService(String text) {
        try {
            return new ServiceName(text);
        } catch (JackdawslipException e) {
            throw new JackdawslipException(ErrorCode.UNKNOWN_SERVICE, e.getMessage(), e);
        }
    }

    // With a second Key or Request-Id, two hops could use different values for the same request.
    private static Optional<String> singleValue(Headers headers, String name) {
        List<String> values = headers.get(name);
        if (values == null || values.isEmpty()) {
            return Optional.empty();
        }
        if (values.size() > 1) {
            throw invalidRequest("header " + name + " occurs " + values.size() + " times");
        }
        requireAscii(name, values.get(0));
        return Optional.of(values.get(0));
    }

    private static void checkPath(String path, String query) {
        int length = path.length() + (query == null ? 0 : query.length() + 1);
        if (length > MAX_PATH_CHARACTERS) {
            throw invalidRequest("path and query have " + length + " characters, the limit is " + MAX_PATH_CHARACTERS);
        }
        if (!isAscii(path) || query != null && !isAscii(query)) {
            throw invalidRequest("path or query has characters outside ASCII; encode them with %");
        }
    }

    // The JDK HTTP client replaces other characters with a question mark, which would make different keys
    // equal.
    private static void requireAscii(String name, String value) {
        if (!isAscii(value)) {
            throw invalidRequest("header " + name + " has characters outside printable ASCII; encode them");
        }
    }

    private static boolean isAscii(String text) {
        return text.chars().allMatch(c -> c >= ' ' && c <= '~' || c == '\t');
    }

    private void checkKey(String key) {
        int length = key.getBytes(StandardCharsets.UTF_8).length;
        if (length > keyLimitBytes) {
            throw new JackdawslipException(
                    ErrorCode.KEY_TOO_LARGE, "key has " + length + " bytes, the limit is " + keyLimitBytes);
        }
        if (length == 0) {
            throw invalidRequest("header Key is empty");
        }
    }

    private static boolean parseUrgent(String priority) {
        return switch (priority.toLowerCase(Locale.ROOT)) {
            case "urgent" -> true;
            case "normal" -> false;
            default -> throw invalidRequest("header Priority is \"" + priority + "\", allowed are urgent and normal");
        };
    }

    private static Duration parseTimeout(String text) {
        try {
            int millis = Integer.parseInt(text);
            if (millis >= 1 && millis <= MAX_TIMEOUT_MILLIS) {
                return Duration.ofMillis(millis);
            }
        } catch (NumberFormatException e) {
            // Reported below, together with numbers out of range.
        }
        throw invalidRequest(
                "header Request-Timeout is \"" + text + "\", allowed are 1 to " + MAX_TIMEOUT_MILLIS + " milliseconds");
    }

    private static List<HttpHeader> forwardedHeaders(Headers headers) {
        List<HttpHeader> result = new ArrayList<>();
        for (Map.Entry<String, List<String>> entry : headers.entrySet()) {
            String name = entry.getKey();
            if (!ConnectionHeaders.contains(name) && !ROUTER_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
                for (String value : entry.getValue()) {
                    requireAscii(name, value);
                    result.add(new HttpHeader(name, value));
                }
            }
        }
        return result;
    }

    private byte[] readBody(HttpExchange exchange) throws IOException {
        String declared = exchange.getRequestHeaders().getFirst("Content-Length");
        if (declared != null && declared.length() < 19 && Long.parseLong(declared) > bodyLimitBytes) {
            closeAfterResponse(exchange);
            throw bodyTooLarge(declared + " bytes");
        }
        byte[] body = exchange.getRequestBody().readNBytes(bodyLimitBytes + 1);
        if (body.length > bodyLimitBytes) {
            closeAfterResponse(exchange);
            throw bodyTooLarge("more than " + bodyLimitBytes + " bytes");
        }
        return body;
    }

    /**
     * The JDK server closes a connection with an unread body, so a caller that reused it would lose its next
     * request.
     */
    private static void closeAfterResponse(HttpExchange exchange) {
        exchange.getResponseHeaders().set("Connection", "close");
    }

    private JackdawslipException bodyTooLarge(String size) {
        return new JackdawslipException(
                ErrorCode.BODY_TOO_LARGE, "body has " + size + ", the limit is " + bodyLimitBytes + " bytes");
    }

    private static JackdawslipException invalidRequest(String message) {
        return new JackdawslipException(ErrorCode.INVALID_REQUEST, message);
    }
}
