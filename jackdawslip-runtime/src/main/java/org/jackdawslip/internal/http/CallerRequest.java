package org.jackdawslip.internal.http;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.jackdawslip.RequestId;
import org.jackdawslip.ServiceName;

/**
 * A request of a caller with validated headers.
 *
 * <p>Immutable and thread-safe as long as the body is not modified.
 *
 * @param service the first segment of the path
 * @param method the HTTP method
 * @param path the rest of the path with the query, starting with a slash, as the caller encoded it
 * @param tenant the tenant, or an empty string
 * @param key the key, at most 1 KiB in UTF-8 unless the server has another limit
 * @param requestId the request id
 * @param urgent whether the request has urgent priority
 * @param timeout the time for which the caller waits for the response
 * @param content the other headers and the body
 */
public record CallerRequest(
        ServiceName service,
        String method,
        String path,
        String tenant,
        Optional<String> key,
        Optional<RequestId> requestId,
        boolean urgent,
        Optional<Duration> timeout,
        Content content) {

    /**
     * The headers that are forwarded, and the body.
     *
     * @param headers the headers, without connection headers and without those that the router reads or sets
     *     itself
     * @param body the body, not copied
     */
    public record Content(List<HttpHeader> headers, byte[] body) {

        /** Copies the headers into an unmodifiable list. */
        public Content {
            headers = List.copyOf(headers);
        }
    }
}
