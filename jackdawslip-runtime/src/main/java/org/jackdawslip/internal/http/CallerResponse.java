package org.jackdawslip.internal.http;

import java.util.List;
import java.util.Optional;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.RequestId;

/**
 * The response to a caller or an operator. Immutable and thread-safe as long as the body is not modified.
 *
 * @param status the HTTP status
 * @param headers the headers; connection headers among them are not written
 * @param body the body, not copied
 */
public record CallerResponse(int status, List<HttpHeader> headers, byte[] body) {

    /** Copies the headers into an unmodifiable list. */
    public CallerResponse {
        headers = List.copyOf(headers);
    }

    /** Returns a response that reports an error as JSON with code, message, outcome and request id. */
    public static CallerResponse error(ErrorCode code, String message, Optional<RequestId> requestId) {
        return Json.errorResponse(
                code, message, requestId.map(RequestId::toString).orElse(""));
    }
}
