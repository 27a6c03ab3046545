package org.jackdawslip.internal.http;

import java.util.Locale;
import java.util.Set;

/**
 * Headers that apply to a single connection or that the HTTP library sets; not forwarded. Stateless,
 * thread-safe.
 */
final class ConnectionHeaders {

    private static final Set<String> NAMES = Set.of(
            "connection",
            "content-length",
            "date",
            "expect",
            "host",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private ConnectionHeaders() {}

    static boolean contains(String name) {
        return NAMES.contains(name.toLowerCase(Locale.ROOT));
    }
}
