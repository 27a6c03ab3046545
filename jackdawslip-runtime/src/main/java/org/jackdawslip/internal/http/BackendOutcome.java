package org.jackdawslip.internal.http;

import java.util.List;
import java.util.Optional;

/**
 * What is known about an attempt after its end. Implementations are immutable; bodies must not be modified.
 */
public sealed interface BackendOutcome {

    /**
     * A complete response to this request arrived.
     *
     * @param status the HTTP status
     * @param headers the headers, without connection headers
     * @param body the body, not copied
     * @param startId the {@code Server-Start-Id}; a new value shows that the server has started again and is
     *     cold
     */
    record ResponseReceived(int status, List<HttpHeader> headers, byte[] body, Optional<String> startId)
            implements BackendOutcome {}

    /**
     * The backend server responded that it did not run the request.
     *
     * @param status the HTTP status
     * @param headers the headers; those of a response to a stale token name the current sender
     * @param body the body, not copied
     * @param startId the {@code Server-Start-Id}
     */
    record NotRun(int status, List<HttpHeader> headers, byte[] body, Optional<String> startId)
            implements BackendOutcome {}

    /**
     * No byte of the request was written, so it did not run.
     *
     * @param cause the cause
     * @param message the details
     */
    record NotSent(Cause cause, String message) implements BackendOutcome {

        /** The cause for which an attempt was not sent. */
        public enum Cause {
            /** Connecting to the backend server failed, so the server may have restarted. */
            CONNECT_FAILED,
            /** All connections to the backend server are in use. */
            CONNECTIONS_IN_USE,
            /** The deadline has passed. */
            DEADLINE,
            /** A header, the method or the path cannot be sent over HTTP/1.1. */
            INVALID
        }
    }

    /**
     * The request may have run, and its response is missing, incomplete, too large or belongs to another
     * request.
     *
     * @param message the details
     */
    record Lost(String message) implements BackendOutcome {}
}
