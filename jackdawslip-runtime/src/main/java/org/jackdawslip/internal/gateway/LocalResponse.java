package org.jackdawslip.internal.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Writes responses that the gateway produces itself, without a backend server. Stateless and thread-safe. */
final class LocalResponse {

    private static final double MILLIS_PER_SECOND = 1_000;

    private LocalResponse() {}

    /**
     * Sends a plain text response.
     *
     * @param requestId the id of the request; empty if it has none
     * @param retryAfterMillis delay before the caller may retry; sent with status 429 and 503 only
     */
    static void send(
            ResponseWriter reply, HeaderNames names, String requestId, int status, String text, long retryAfterMillis) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (!requestId.isEmpty()) {
            headers.set(names.requestId(), requestId);
        }
        if (status == HttpResponseStatus.UNAUTHORIZED.code()) {
            headers.set(HttpHeaderNames.WWW_AUTHENTICATE, names.credentialScheme());
        }
        if (status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                || status == HttpResponseStatus.TOO_MANY_REQUESTS.code()) {
            headers.set(
                    HttpHeaderNames.RETRY_AFTER,
                    String.format(Locale.ROOT, "%.3f", retryAfterMillis / MILLIS_PER_SECOND));
        }
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
        reply.write(status, headers, (text + "\n").getBytes(StandardCharsets.UTF_8));
    }
}
