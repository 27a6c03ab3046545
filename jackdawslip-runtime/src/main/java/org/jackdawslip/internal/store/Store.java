package org.jackdawslip.internal.store;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.jackdawslip.InstanceId;

/**
 * The key-value store that holds configuration and the list of instances.
 *
 * <p>Implementations are thread-safe. The futures never complete exceptionally: every failure is a typed
 * result.
 *
 * <pre>{@code
 * store.compareAndSwap("jackdawslip/bundle", 0, value).thenAccept(result -> {
 *     if (result.kind() == WriteResult.Kind.OUTCOME_UNKNOWN) {
 *         // read the record and check whether it is the one that was written
 *     }
 * });
 * }</pre>
 */
public interface Store extends AutoCloseable {

    /** Reads a record. */
    CompletableFuture<ReadResult> read(String key);

    /**
     * Writes a record if the record was not changed since it was read.
     *
     * @param key the record
     * @param expectedIndex the index that the read returned, or 0 if the record must not exist
     * @param value at most one megabyte
     */
    CompletableFuture<WriteResult> compareAndSwap(String key, long expectedIndex, byte[] value);

    /**
     * Reads a record as soon as its index is above the given one or the wait ends. The record may be
     * unchanged.
     *
     * @param key the record
     * @param afterIndex the index of the last result, or 0 to return at once
     * @param maxWait how long the store delays the response if there is no change; parts of a millisecond are
     *     ignored
     */
    CompletableFuture<ReadResult> watch(String key, long afterIndex, Duration maxWait);

    /** Returns the list of instances, which may be out of date. */
    CompletableFuture<ListResult> listInstances();

    /** Adds or replaces the entry of an instance in the list. */
    CompletableFuture<WriteResult> register(ListedInstance instance);

    /** Removes the entry of an instance from the list. */
    CompletableFuture<WriteResult> deregister(InstanceId instance);

    /**
     * Closes the client. Pending reads complete as unavailable, pending writes with an unknown outcome, and
     * later calls as unavailable.
     */
    @Override
    void close();
}
