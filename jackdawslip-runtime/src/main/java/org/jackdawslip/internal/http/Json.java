package org.jackdawslip.internal.http;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.tinylog.Logger;

/** Encodes JSON responses. Stateless and thread-safe. */
final class Json {

    static final ObjectMapper MAPPER = new ObjectMapper();
    static final HttpHeader CONTENT_TYPE = new HttpHeader("Content-Type", "application/json");

    private Json() {}

    static byte[] toBytes(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new JackdawslipException(
                    ErrorCode.INTERNAL, "cannot write " + value.getClass().getSimpleName() + " as JSON", e);
        }
    }

    static CallerResponse errorResponse(ErrorCode code, String message, String requestId) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("code", code.name());
        fields.put("message", message);
        fields.put("outcome", code.outcome().text());
        fields.put("requestId", requestId);
        return new CallerResponse(code.httpStatus(), List.of(CONTENT_TYPE), toBytes(fields));
    }

    static ErrorCode errorCode(Throwable failure) {
        return unwrap(failure) instanceof JackdawslipException exception ? exception.code() : ErrorCode.INTERNAL;
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }

    static CallerResponse errorResponse(Throwable failure, String requestId) {
        Throwable cause = unwrap(failure);
        if (cause instanceof JackdawslipException exception) {
            return errorResponse(exception.code(), String.valueOf(exception.getMessage()), requestId);
        }
        Logger.error(cause, "request {} failed", requestId);
        return errorResponse(ErrorCode.INTERNAL, "unexpected fault: " + cause, requestId);
    }
}
