package org.jackdawslip.internal.gateway;

import java.util.ArrayList;
import java.util.List;

/**
 * The connections on which one request was sent.
 *
 * <p>Invariant: no connection appears twice. A request is not sent again on any of them, because a late copy of its
 * earlier response, which bears the same request id, would count as the response to the repeated request. Confined to
 * the event loop.
 */
final class SentConnections {

    private final List<HttpConnection> connections = new ArrayList<>(1);

    void add(HttpConnection connection) {
        connections.add(connection);
    }

    boolean contains(HttpConnection connection) {
        return connections.contains(connection);
    }
}
