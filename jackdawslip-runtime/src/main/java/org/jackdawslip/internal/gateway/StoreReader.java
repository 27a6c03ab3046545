package org.jackdawslip.internal.gateway;

import java.util.function.Consumer;

/**
 * The calls with which an instance follows the platform's store. They change nothing there, so they may be made more
 * than once and through another instance. An answer shows the store as of the start of its call or later.
 *
 * <p>Every call ends with exactly one result, on the event loop. Confined to the event loop.
 */
public interface StoreReader {

    /**
     * Reads all records below a prefix, page by page. The revision is the one before the first page.
     *
     * @param timeoutMillis time for each page, after which the result is {@link DurableStore.Status#UNKNOWN}
     */
    void readAll(String prefix, long timeoutMillis, Consumer<DurableStore.Result> whenDone);

    /**
     * Waits for changes below a prefix after a revision.
     *
     * @param waitMillis time after which the store answers without changes
     * @param timeoutMillis time after which the result is {@link DurableStore.Status#UNKNOWN}
     */
    void watch(
            String prefix,
            long afterRevision,
            long waitMillis,
            long timeoutMillis,
            Consumer<DurableStore.Result> whenDone);
}
