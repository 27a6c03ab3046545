package org.jackdawslip.internal.store;

/** The result of a read of a record. Immutable and thread-safe if the value is not changed. */
public sealed interface ReadResult {

    /**
     * The record exists.
     *
     * @param value the content of the record
     * @param index changes with each write of the record, at least 1
     */
    record Found(byte[] value, long index) implements ReadResult {}

    /**
     * The record does not exist.
     *
     * @param index the index after which a watch reports the creation of the record
     */
    record Absent(long index) implements ReadResult {}

    /**
     * The store did not respond, or responded with an error.
     *
     * @param reason a description of the failure
     */
    record Unavailable(String reason) implements ReadResult {}
}
