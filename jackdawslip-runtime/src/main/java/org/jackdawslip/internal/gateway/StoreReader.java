package org.jackdawslip.internal.gateway;

import java.util.function.Consumer;

/**
 * The read calls with which an instance follows the platform's store. They change nothing there, so they may
 * be repeated and may go through another instance. A result shows the state of the store at the start of its
 * call or later.
 *
 * <p>Every call ends with exactly one result, on the event loop. Confined to the event loop.
 */
public interface StoreReader {

    /**
     * Reads all records below a prefix, page by page. The revision of the result is the one before the first
     * page was read, so a watch after this revision returns all changes that a page may lack.
     *
     * @param timeoutMillis timeout for each page, after which the result is
     *     {@link DurableStore.Status#UNKNOWN}
     */
    void readAll(String prefix, long timeoutMillis, Consumer<DurableStore.Result> whenDone);

    /**
     * Waits for changes below a prefix after a revision.
     *
     * @param waitMillis time after which the store responds if there are no changes
     * @param timeoutMillis time after which the result is {@link DurableStore.Status#UNKNOWN}
     */
    void watch(
            String prefix,
            long afterRevision,
            long waitMillis,
            long timeoutMillis,
            Consumer<DurableStore.Result> whenDone);
}
