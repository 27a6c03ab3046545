package org.jackdawslip.internal.http;

import java.util.concurrent.CompletableFuture;

/**
 * Handles the requests of operators below one path. Implementations must be thread-safe: requests arrive on
 * several threads at the same time.
 */
@FunctionalInterface
public interface AdminHandler {

    /**
     * Starts to handle a request.
     *
     * @param method the HTTP method
     * @param path the path after the registered prefix, decoded, without the query
     * @param key the {@code Key} header, or null
     * @return an object that is written as JSON with status 200; a {@code JackdawslipException} becomes an
     *     error response
     */
    CompletableFuture<?> handle(String method, String path, String key);
}
