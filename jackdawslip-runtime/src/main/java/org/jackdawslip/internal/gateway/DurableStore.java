package org.jackdawslip.internal.gateway;

import java.util.List;
import java.util.function.Consumer;

/**
 * The platform's store as the gateway uses it. Every call ends with exactly one result, on the event loop.
 *
 * <p>Confined to the event loop.
 */
public interface DurableStore extends StoreReader {

    /** How a call ended. */
    enum Status {
        /** The call was carried out. */
        DONE,
        /** A condition of the call does not hold, or what it names does not exist. Nothing was done. */
        CONFLICT,
        /** The store's history does not reach back far enough. */
        HISTORY_GONE,
        /** The store refused the call because of load or a fault. Nothing was done. */
        REFUSED,
        /** There was no valid answer. The call may have been carried out, or may be later. */
        UNKNOWN
    }

    /**
     * One record, or the removal of one. Immutable and thread-safe.
     *
     * @param key the key
     * @param value the bytes, or null if the record was removed
     * @param revision the revision of the last change
     */
    record Item(String key, byte[] value, long revision) {}

    /**
     * The result of a call. Immutable and thread-safe.
     *
     * @param status how it ended
     * @param items the records that were read, or the changes
     * @param revision the store's revision, or the revision of a write
     * @param lease the lease that was made, else 0
     * @param leaseMillis the term of the lease, else 0
     */
    record Result(Status status, List<Item> items, long revision, long lease, long leaseMillis) {
        /** Returns a result without content. */
        public static Result of(Status status) {
            return new Result(status, List.of(), 0, 0, 0);
        }
    }

    /**
     * A change under conditions, all or nothing. Immutable and thread-safe.
     *
     * @param conditions records with the revision that they must have; revision 0 demands that there is no such record
     * @param writes records to write; their revisions are ignored
     * @param lease the lease of the written records, or 0
     */
    record Change(List<Item> conditions, List<Item> writes, long lease) {}

    /** Carries out a change. */
    void change(Change change, Consumer<Result> whenDone);

    /** Makes a lease. */
    void lease(long termMillis, Consumer<Result> whenDone);

    /** Renews a lease. {@link Status#CONFLICT} means that it has ended. */
    void renew(long lease, Consumer<Result> whenDone);

    /** Ends a lease and removes its records. */
    void endLease(long lease, Consumer<Result> whenDone);
}
