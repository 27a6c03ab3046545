package org.jackdawslip.internal.gateway;

import org.jackdawslip.internal.limits.CallerMemory;
import org.jackdawslip.internal.limits.MemoryUse;

/**
 * Reserved memory of one request, which changes its use as the request proceeds. Buffers release their part when they
 * are freed, which may be after the connection of the caller was closed. Confined to the event loop.
 */
final class MemoryReservation {

    private final CallerMemory.Holder holder;
    private MemoryUse use;
    private long bytes;

    MemoryReservation(CallerMemory.Holder holder, MemoryUse use) {
        this.holder = holder;
        this.use = use;
    }

    /** Returns the reserved bytes. */
    long bytes() {
        return bytes;
    }

    /** Reserves further bytes; returns false, with nothing changed, if that is refused. */
    boolean tryAdd(long added, boolean ordinary) {
        if (!holder.tryReserve(use, added, ordinary)) {
            return false;
        }
        bytes += added;
        return true;
    }

    /** Changes the use of all reserved bytes. */
    void moveTo(MemoryUse newUse) {
        holder.move(use, newUse, bytes);
        use = newUse;
    }

    /** Releases some of the reserved bytes. */
    void release(long released) {
        bytes -= released;
        holder.release(use, released);
    }

    /** Releases all reserved bytes. */
    void releaseAll() {
        release(bytes);
    }
}
