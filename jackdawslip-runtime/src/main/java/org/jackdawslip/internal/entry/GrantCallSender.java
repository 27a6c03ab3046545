package org.jackdawslip.internal.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.internal.bundle.BackendServer;
import org.jackdawslip.internal.http.GrantRequest;
import org.jackdawslip.internal.http.GrantResponse;
import org.jackdawslip.internal.metrics.RouterMetrics;
import org.jackdawslip.internal.ownership.GrantCall;
import org.jackdawslip.internal.ownership.Timing;

/**
 * Sends grant calls so that a call that arrives late has no effect.
 *
 * <p>A call can wait in the socket buffer of a frozen backend server and be read after the range has moved,
 * and closing the connection does not withdraw the call. Each call with ranges therefore contains an expiry
 * time in terms of the server's own clock, after which the server refuses the call. The expiry time is
 * derived from an earlier response: the server's clock had reached at least {@code serverMillis} when that
 * response arrived, so it passes the expiry time no later than {@link Timing#GRANT_CALL_MILLIS} after the
 * call. Not thread-safe; confined to the decision thread.
 */
final class GrantCallSender {

    private static final Duration TIMEOUT = Duration.ofMillis(Timing.GRANT_CALL_MILLIS);

    private final InstanceContext context;
    private final Map<BackendServerId, ServerClock> serverClocks = new HashMap<>();

    GrantCallSender(InstanceContext context) {
        this.context = context;
    }

    /** Sends a grant call. The future completes on another thread. */
    CompletableFuture<GrantResponse> send(BackendServer server, GrantCall call) {
        long now = context.nowMillis();
        ServerClock clock = serverClocks.get(server.id());
        if (clock == null && !call.grants().isEmpty()) {
            // The response to a call without ranges contains the server's clock; the next renewal sends the
            // ranges.
            return sendRequest(server, call, OptionalLong.empty(), List.of());
        }
        List<GrantRequest.RangeGrant> ranges = new ArrayList<>();
        call.grants()
                .forEach(grant -> ranges.add(new GrantRequest.RangeGrant(
                        server.service(), grant.range(), grant.token().value())));
        OptionalLong notAfter = clock == null ? OptionalLong.empty() : OptionalLong.of(clock.notAfterMillis(now));
        return sendRequest(server, call, notAfter, ranges);
    }

    private CompletableFuture<GrantResponse> sendRequest(
            BackendServer server, GrantCall call, OptionalLong notAfter, List<GrantRequest.RangeGrant> ranges) {
        GrantRequest request =
                new GrantRequest(context.self(), call.senderToken(), call.termMillis(), notAfter, ranges);
        context.metrics().count(RouterMetrics.Event.GRANT);
        return context.backendClient().grant(server, request, TIMEOUT);
    }

    /**
     * Records the clock of a backend server from its response to a grant call, or discards it after a
     * failure.
     */
    void recordAnswer(BackendServerId server, GrantResponse response) {
        if (response instanceof GrantResponse.Accepted accepted) {
            serverClocks.put(server, new ServerClock(accepted.serverMillis(), context.nowMillis()));
        } else {
            // The server may have restarted with another clock, for which an old reading could permit a late
            // call.
            serverClocks.remove(server);
        }
    }

    private record ServerClock(long serverMillis, long receivedAtMillis) {
        long notAfterMillis(long now) {
            return serverMillis + (now - receivedAtMillis) + Timing.GRANT_CALL_MILLIS;
        }
    }
}
