package org.jackdawslip.internal.gateway;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.jackdawslip.internal.balance.LoadReport;

/**
 * Probes the state of one backend server through its health check: the id of the server at the address, the
 * remaining warm-up time and the load. Confined to the event loop.
 */
final class StateProbe {

    private static final int STATUS_HEALTHY = 200;
    private static final int STATUS_MISDIRECTED = 421;
    private static final int STATUS_RATE_LIMITED = 429;
    /** The server is draining or failing, unless a header confirms that it did not execute the probe. */
    private static final int STATUS_UNHEALTHY = 503;

    private static final int STATUS_OVERLOADED = STATUS_UNHEALTHY;

    private final RequestComponents components;
    private final BackendDirectory.Target target;
    private final String healthCheckPath;

    StateProbe(RequestComponents components, BackendDirectory.Target target, String healthPath) {
        this.components = components;
        this.target = target;
        this.healthCheckPath = healthPath;
    }

    /** Creates the request of the probe. */
    FullHttpRequest request() {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, healthCheckPath);
        request.headers()
                .set(HttpHeaderNames.HOST, target.backend().address())
                .set(
                        components.adapter().headers().expectedServer(),
                        target.backend().id().value());
        return request;
    }

    /** Returns whether the response is one to a state probe; other responses contain a request id. */
    boolean matches(FullHttpResponse response) {
        return !response.headers().contains(components.adapter().headers().requestId());
    }

    /**
     * Evaluates a response and records the state that it reports.
     *
     * @param probeSentAt time when the probe was sent, by the monotonic clock in milliseconds
     * @return the reason why the request may not be sent to the server, or null if it may
     */
    ExchangeFailure evaluate(FullHttpResponse response, long probeSentAt) {
        HeaderNames names = components.adapter().headers();
        HttpHeaders headers = response.headers();
        int status = response.status().code();
        long now = components.clock().millis();
        if (headers.contains(names.notExecuted()) && (status == STATUS_OVERLOADED || status == STATUS_RATE_LIMITED)) {
            // Without its load, a server that refuses at once would appear to be idle.
            recordLoadReport(headers, probeSentAt, now);
            return ExchangeFailure.SERVER_FULL;
        }
        String reportedId = headers.get(names.serverId());
        if (status == STATUS_MISDIRECTED
                || headers.contains(names.notExecuted())
                || reportedId != null
                        && !reportedId.equals(target.backend().id().value())) {
            return ExchangeFailure.OTHER_SERVER;
        }
        // An unhealthy server reports its warm-up time too and may still serve requests. The response must
        // contain the server id, because another server may respond at the address.
        long remainingMillis = parseRemainingMillis(headers.get(names.warmupRemainingMillis()));
        if (status != STATUS_HEALTHY && status != STATUS_UNHEALTHY || reportedId == null || remainingMillis < 0) {
            return ExchangeFailure.NO_STATEMENT;
        }
        LoadReport load = recordLoadReport(headers, probeSentAt, now);
        // A server that reports its load responds to probes immediately, so the report is as old as the probe
        // at most. Other servers queue the probe until a slot is free, so their report is as new as the
        // response.
        components.directory().recordStateReport(target, remainingMillis, load == null ? now : probeSentAt);
        return null;
    }

    private LoadReport recordLoadReport(HttpHeaders headers, long probeSentAt, long now) {
        LoadReport load = components.adapter().decodeLoadReport(headers);
        if (load != null) {
            target.tracker.recordLoadReport(load, now, now - probeSentAt);
        }
        return load;
    }

    /** Returns the time in milliseconds, 0 if the header is missing, or -1 if it is not a number. */
    private static long parseRemainingMillis(String text) {
        try {
            return text == null ? 0 : (long) Math.max(0, Math.min(Integer.MAX_VALUE, Double.parseDouble(text.trim())));
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
