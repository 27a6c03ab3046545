package org.jackdawslip.internal.gateway;

/**
 * Limits the memory of the response bodies that are buffered at the same time. A server may send bytes without end;
 * its responses must not use the memory that the requests of other callers need.
 *
 * <p>Invariant: the reserved bytes never exceed the limit. Confined to the event loop.
 */
final class ResponseMemory {

    private final long limitBytes;
    private long reservedBytes;

    /** Creates a limit without reservations. */
    ResponseMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Reserves the bytes; returns false, and reserves nothing, if the limit would be exceeded. */
    boolean tryReserve(long bytes) {
        if (bytes > limitBytes - reservedBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Returns reserved bytes. */
    void release(long bytes) {
        reservedBytes -= bytes;
    }

    /** Returns the number of bytes that are reserved. */
    long reservedBytes() {
        return reservedBytes;
    }
}
