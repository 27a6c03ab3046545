package org.jackdawslip.internal.http;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.jackdawslip.FencingToken;
import org.jackdawslip.RequestId;

/**
 * One attempt of a request at a backend server. Immutable and thread-safe as long as the body is not
 * modified.
 *
 * @param attemptId the id, unique for each attempt; a cancellation refers to it
 * @param method the HTTP method
 * @param path the path and query as the caller encoded them, starting with a slash
 * @param headers the headers to forward
 * @param body the body, not copied
 * @param requestId the request id, if the caller sent one
 * @param remainingTime the time until the deadline, sent in {@code Request-Deadline}; the client also
 *     abandons the attempt after this time
 * @param fencingTokens the fencing tokens of the sender
 */
public record BackendAttempt(
        String attemptId,
        String method,
        String path,
        List<HttpHeader> headers,
        byte[] body,
        Optional<RequestId> requestId,
        Duration remainingTime,
        FencingTokens fencingTokens) {

    /** Copies the headers into an unmodifiable list. */
    public BackendAttempt {
        headers = List.copyOf(headers);
    }

    /**
     * The fencing tokens that a backend server checks.
     *
     * @param senderToken the token of the exclusive right to send to the backend server
     * @param rangeToken the token of the key range, for keyed services
     * @param keyHash the hash of the key, for keyed services
     */
    public record FencingTokens(FencingToken senderToken, OptionalLong rangeToken, OptionalLong keyHash) {}
}
