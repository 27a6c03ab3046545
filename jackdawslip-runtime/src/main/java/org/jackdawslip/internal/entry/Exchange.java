package org.jackdawslip.internal.entry;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.Outcome;
import org.jackdawslip.RequestId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.bundle.ServicePolicy.Execution;
import org.jackdawslip.internal.http.HttpHeader;
import org.jackdawslip.internal.routing.RouteRequest;

/**
 * One request inside an instance, from its arrival until its response.
 *
 * <p>Invariant: the status of the result is that of a final HTTP response. Queues identify a request by the identity
 * of its exchange. Not thread-safe; confined to the decision thread, except for {@link #result}, which may be used from
 * any thread.
 */
final class Exchange {

    /** Lower statuses of HTTP belong to interim responses. */
    private static final int MIN_FINAL_STATUS = 200;

    private static final int MAX_STATUS = 599;

    final ServiceName service;
    final String method;
    final String path;
    final List<HttpHeader> headers;
    final byte[] body;
    final String tenant;
    final Optional<String> key;
    final Optional<RequestId> requestId;
    final boolean urgent;
    final int hops;
    final boolean onlyIfFree;
    final long arrivedMillis;
    final long deadlineMillis;
    final CompletableFuture<Response> result = new CompletableFuture<>();

    Execution execution = Execution.IDEMPOTENT;
    OptionalLong keyHash = OptionalLong.empty();
    /**
     * Number of relays without a known outcome, which limits how often an idempotent request is relayed
     * again.
     */
    int lostRelays;
    /** Number of all relays, hedges included. */
    int relayCount;

    /** Number of all attempts that this instance sent to backend servers. */
    int attemptCount;
    /** Number of attempts that have not ended. */
    int attemptsInFlight;

    ErrorCode lastRefusal = ErrorCode.NO_OWNER;

    Exchange(Builder builder) {
        service = builder.service;
        method = builder.method;
        path = builder.path;
        headers = List.copyOf(builder.headers);
        body = builder.body;
        tenant = builder.tenant;
        key = builder.key;
        requestId = builder.requestId;
        urgent = builder.urgent;
        hops = builder.hops;
        onlyIfFree = builder.onlyIfFree;
        arrivedMillis = builder.arrivedMillis;
        deadlineMillis = builder.arrivedMillis + builder.timeoutMillis;
    }

    boolean atMostOnce() {
        return execution == Execution.AT_MOST_ONCE;
    }

    boolean isOpen() {
        return !result.isDone();
    }

    RouteRequest routeRequest() {
        return new RouteRequest(service, keyHash, hops, deadlineMillis);
    }

    /**
     * Completes the exchange with the response of a backend server. If its status is not one of a final HTTP response,
     * the exchange is completed with {@link ErrorCode#OUTCOME_UNKNOWN} instead.
     */
    void respond(int status, List<HttpHeader> responseHeaders, byte[] responseBody) {
        if (status < MIN_FINAL_STATUS || status > MAX_STATUS) {
            fail(ErrorCode.OUTCOME_UNKNOWN, "the response has the invalid status " + status);
            return;
        }
        result.complete(new Response(status, responseHeaders, responseBody, Optional.empty(), ""));
    }

    /**
     * Completes the exchange with an error. A request may have run if a relay was lost, so a code that rules
     * this out is then replaced by {@link ErrorCode#OUTCOME_UNKNOWN}.
     */
    void fail(ErrorCode code, String message) {
        ErrorCode reportedCode = lostRelays > 0 && code.outcome() == Outcome.NOT_RUN ? ErrorCode.OUTCOME_UNKNOWN : code;
        result.complete(
                new Response(reportedCode.httpStatus(), List.of(), new byte[0], Optional.of(reportedCode), message));
    }

    /**
     * The result of an exchange: the response of a backend server, or an error.
     *
     * @param status the HTTP status
     * @param headers the headers of a backend server's response, empty in case of an error
     * @param body the body of a backend server's response, not copied; empty in case of an error
     * @param error the error, if there is no response of a backend server
     * @param message describes the error; empty without one
     */
    record Response(int status, List<HttpHeader> headers, byte[] body, Optional<ErrorCode> error, String message) {}

    /** Builds an {@link Exchange}. Not thread-safe. */
    static final class Builder {
        private ServiceName service;
        private String method;
        private String path;
        private List<HttpHeader> headers = List.of();
        private byte[] body = new byte[0];
        private String tenant = "";
        private Optional<String> key = Optional.empty();
        private Optional<RequestId> requestId = Optional.empty();
        private boolean urgent;
        private int hops;
        private boolean onlyIfFree;
        private long arrivedMillis;
        private long timeoutMillis;

        Builder target(ServiceName serviceName, String httpMethod, String pathAndQuery) {
            service = serviceName;
            method = httpMethod;
            path = pathAndQuery;
            return this;
        }

        Builder content(List<HttpHeader> forwardedHeaders, byte[] content) {
            headers = forwardedHeaders;
            body = content;
            return this;
        }

        Builder tenant(String value) {
            tenant = value;
            return this;
        }

        Builder identity(Optional<String> keyText, Optional<RequestId> id) {
            key = keyText;
            requestId = id;
            return this;
        }

        Builder urgent(boolean value) {
            urgent = value;
            return this;
        }

        Builder hops(int value) {
            hops = value;
            return this;
        }

        Builder onlyIfFree(boolean value) {
            onlyIfFree = value;
            return this;
        }

        Builder time(long arrivalMillis, long timeout) {
            arrivedMillis = arrivalMillis;
            timeoutMillis = timeout;
            return this;
        }

        Exchange build() {
            return new Exchange(this);
        }
    }
}
