package org.jackdawslip.internal.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;

/**
 * A complete request of a caller. Confined to the event loop.
 *
 * @param method the HTTP method
 * @param uri the path and query as received
 * @param headers all headers as received
 * @param body the body without transfer coding; valid until the request has a response or its caller left
 * @param receivedAt time when the request was complete, by the monotonic clock in milliseconds
 * @param bodyDiscarded whether the body was not kept because no route matched when the headers arrived; such a
 *     request must not be forwarded
 */
record CallerRequest(
        HttpMethod method, String uri, HttpHeaders headers, ByteBuf body, long receivedAt, boolean bodyDiscarded) {

    /** Headers that are not forwarded because they apply to one connection only (RFC 9110, section 7.6.1). */
    private static final Set<String> HOP_BY_HOP_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length");

    /** Returns the value of a header, without a fraction, or null if it is missing or not a number. */
    Long numericHeader(String header) {
        String text = headers.get(header);
        try {
            return text == null ? null : (long) Double.parseDouble(text.trim());
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /** Returns the bytes that a backend server holds for the request, without its headers, which are small. */
    long transitBytes() {
        return body.readableBytes();
    }

    /** Returns the URI without query and fragment. */
    String path() {
        return path(uri);
    }

    /** Returns a URI without query and fragment. */
    static String path(String uri) {
        int end = 0;
        while (end < uri.length() && uri.charAt(end) != '?' && uri.charAt(end) != '#') {
            end++;
        }
        return uri.substring(0, end);
    }

    /** Creates the request for a backend server, with the same method, URI, body and end-to-end headers. */
    FullHttpRequest toBackendRequest() {
        int length = body.readableBytes();
        ByteBuf content = length == 0 ? Unpooled.EMPTY_BUFFER : body.retainedDuplicate();
        FullHttpRequest forwarded = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri, content);
        copyEndToEndHeaders(headers, forwarded.headers());
        if (length > 0 || !(method.equals(HttpMethod.GET) || method.equals(HttpMethod.HEAD))) {
            forwarded.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, length);
        }
        return forwarded;
    }

    /** Copies all headers except hop-by-hop headers, which include those listed in the Connection header. */
    static void copyEndToEndHeaders(HttpHeaders from, HttpHeaders to) {
        List<String> connectionOptions = new ArrayList<>();
        for (String value : from.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                connectionOptions.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        from.forEach(header -> {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP_HEADERS.contains(name) && !connectionOptions.contains(name)) {
                to.add(header.getKey(), header.getValue());
            }
        });
    }
}
