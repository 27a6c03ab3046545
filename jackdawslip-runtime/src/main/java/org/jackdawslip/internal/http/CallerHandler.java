package org.jackdawslip.internal.http;

import java.util.concurrent.CompletableFuture;

/**
 * Handles the requests of callers. Implementations must be thread-safe: requests arrive on several threads at
 * the same time.
 */
@FunctionalInterface
public interface CallerHandler {

    /**
     * Starts to handle a request.
     *
     * @return the response; a {@code JackdawslipException} becomes an error response with its code
     */
    CompletableFuture<CallerResponse> handle(CallerRequest request);
}
