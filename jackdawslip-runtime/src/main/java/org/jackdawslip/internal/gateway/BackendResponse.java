package org.jackdawslip.internal.gateway;

import java.util.Set;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;

/** What the head of a response of a backend server says about the response. Stateless and thread-safe. */
final class BackendResponse {

    /** Statuses of declined requests; only a header confirms that the server did not run the request. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private BackendResponse() {}

    /**
     * Returns the request id of a response to another request, a description of a response to a state probe, or null
     * if the response may belong to the request with the given id.
     */
    static String foreignId(HeaderNames names, HttpResponse response, String requestId) {
        String responseId = response.headers().get(names.requestId());
        if (responseId != null) {
            return responseId.equals(requestId) ? null : responseId;
        }
        // Only responses to state probes contain a server id and no request id.
        boolean stateReport = response.headers().contains(names.serverId()) && !isMisdirected(response);
        return stateReport ? "repeated response to a state probe" : null;
    }

    /** Returns whether the server states that it did not run the request. */
    static boolean reportsNotRun(HeaderNames names, HttpResponse response) {
        return response.headers().contains(names.notExecuted()) || isMisdirected(response);
    }

    /** Returns whether a caller reads the status as "not run", whatever the server did. */
    static boolean looksNotRun(HttpResponse response) {
        return NOT_RUN_STATUSES.contains(response.status().code());
    }

    /**
     * Returns whether the server failed to process the request. A status that a caller reads as "not run" is a failure
     * too, because the server has not stated that it did not run the request.
     */
    static boolean isServerFailure(HttpResponse response) {
        return response.status().code() >= 500 || looksNotRun(response);
    }

    private static boolean isMisdirected(HttpResponse response) {
        return response.status().code() == HttpResponseStatus.MISDIRECTED_REQUEST.code();
    }

    /** Returns whether the response is a success without the proof that a backend server produced it. */
    static boolean lacksSignature(HeaderNames names, HttpResponse response) {
        return response.status().codeClass() == HttpStatusClass.SUCCESS
                && !response.headers().contains(names.signature());
    }
}
