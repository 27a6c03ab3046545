package org.jackdawslip.internal.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** An answer that the gateway gives itself instead of a backend server. Stateless and thread-safe. */
final class OwnAnswer {

    private static final double MILLIS_PER_SECOND = 1_000;

    private OwnAnswer() {}

    /**
     * Sends an answer.
     *
     * @param id the id of the request; empty if it has none
     * @param pauseMillis after which time a refused caller may come back
     */
    static void send(Reply reply, HeaderNames names, String id, int status, String text, long pauseMillis) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (!id.isEmpty()) {
            headers.set(names.requestId(), id);
        }
        if (status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()) {
            headers.set(
                    HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", pauseMillis / MILLIS_PER_SECOND));
        }
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
        reply.answer(status, headers, (text + "\n").getBytes(StandardCharsets.UTF_8));
    }
}
