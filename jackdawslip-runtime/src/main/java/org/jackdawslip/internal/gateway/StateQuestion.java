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
 * Asks one backend server for its state by its health check, and takes what it states: which server it is, for how long
 * it is cold, and its load. Confined to the event loop.
 */
final class StateQuestion {

    private static final int STATUS_WELL = 200;
    private static final int STATUS_MISDIRECTED = 421;
    private static final int STATUS_LIMITED = 429;
    /** Without the statement that the question was refused, the server says that it leaves or fails. */
    private static final int STATUS_ILL = 503;

    private static final int STATUS_FULL = STATUS_ILL;

    private final Services services;
    private final BackendDirectory.Target target;
    private final String healthPath;

    StateQuestion(Services services, BackendDirectory.Target target, String healthPath) {
        this.services = services;
        this.target = target;
        this.healthPath = healthPath;
    }

    FullHttpRequest request() {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, healthPath);
        request.headers()
                .set(HttpHeaderNames.HOST, target.backend().address())
                .set(
                        services.adapter().headers().expectedServer(),
                        target.backend().id().value());
        return request;
    }

    /** Returns whether the answer is one to the question; answers to requests of callers bear their id. */
    boolean answeredBy(FullHttpResponse answer) {
        return !answer.headers().contains(services.adapter().headers().requestId());
    }

    /**
     * Takes an answer.
     *
     * @param askedAt when the question was sent
     * @return why nothing may be sent to the server, or null
     */
    ExchangeFailure take(FullHttpResponse answer, long askedAt) {
        HeaderNames names = services.adapter().headers();
        HttpHeaders headers = answer.headers();
        int status = answer.status().code();
        if (headers.contains(names.notExecuted()) && (status == STATUS_FULL || status == STATUS_LIMITED)) {
            return ExchangeFailure.SERVER_FULL;
        }
        String answering = headers.get(names.serverId());
        if (status == STATUS_MISDIRECTED
                || headers.contains(names.notExecuted())
                || answering != null && !answering.equals(target.backend().id().value())) {
            return ExchangeFailure.OTHER_SERVER;
        }
        // A server that says that it is ill tells its warm-up as well, and may serve. Others may answer in its place.
        long remainingMillis = remainingMillis(headers.get(names.warmupRemainingMillis()));
        if (status != STATUS_WELL && status != STATUS_ILL || answering == null || remainingMillis < 0) {
            return ExchangeFailure.NO_STATEMENT;
        }
        long now = services.clock().millis();
        LoadReport load = services.adapter().load(headers);
        if (load != null) {
            target.tracker.report(load, now, now - askedAt);
        }
        // A server that tells its load answers at once. Another one answers when it has a free slot.
        services.directory().stated(target, remainingMillis, load == null ? now : askedAt);
        return null;
    }

    /** Returns the remaining time, 0 if there is none, or -1 if it cannot be read. */
    private static long remainingMillis(String text) {
        try {
            return text == null ? 0 : (long) Math.max(0, Math.min(Integer.MAX_VALUE, Double.parseDouble(text.trim())));
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
