package org.jackdawslip.internal.gateway;

import org.jackdawslip.internal.limits.CallerMemory;
import org.jackdawslip.internal.limits.MemoryUse;
import org.jackdawslip.internal.limits.TransferProgress;

/**
 * The request that one connection is receiving: its progress, and the memory of a head that is not complete.
 * Confined to the event loop.
 */
final class RequestReceipt {

    /** Lowest rate at which a body may arrive, after a grace period: 32 KB a second. */
    private static final long MIN_BODY_BYTES_PER_MILLI = 32;

    private final CallerMemory.Holder holder;
    /** The head or body that is being received, or null. */
    private TransferProgress progress;

    private boolean inHead;
    private long headBytes;

    RequestReceipt(CallerMemory.Holder holder) {
        this.holder = holder;
    }

    /** Returns whether a part of a request was received and the rest is awaited. */
    boolean isOpen() {
        return progress != null;
    }

    /** Returns whether memory is reserved for a head that is not complete. */
    boolean holdsHead() {
        return headBytes > 0;
    }

    /** Records received bytes, which start a head if nothing is being received. */
    void onBytes(int bytes, long now) {
        startHead(now);
        progress.advance(bytes, now);
    }

    /** Starts a head if nothing is being received. */
    void startHead(long now) {
        if (progress == null) {
            progress = new TransferProgress(MIN_BODY_BYTES_PER_MILLI, now);
            inHead = true;
        }
    }

    /** The head is complete; its body follows. */
    void startBody(long now) {
        progress = new TransferProgress(MIN_BODY_BYTES_PER_MILLI, now);
        inHead = false;
        tryReserveHead(0, true);
    }

    /** Nothing is being received any more. */
    void end() {
        progress = null;
    }

    /** Starts the time limits again, because the caller could not send. */
    void restart(long now) {
        if (progress != null) {
            progress = new TransferProgress(MIN_BODY_BYTES_PER_MILLI, now);
        }
    }

    /** Changes the memory of a head that is not complete; returns false if it is refused. */
    boolean tryReserveHead(long bytes, boolean ordinary) {
        long added = bytes - headBytes;
        if (added > 0 && !holder.tryReserve(MemoryUse.HEADERS, added, ordinary)) {
            return false;
        }
        if (added < 0) {
            holder.release(MemoryUse.HEADERS, -added);
        }
        headBytes = bytes;
        return true;
    }

    /** Returns for how long the caller has been sending slowly, or a negative number if nothing is received. */
    long slowMillis(long now) {
        return progress == null ? CallerMemory.Client.NOT_DROPPABLE : progress.slowMillis(now);
    }

    /** Returns whether the head takes too long. */
    boolean isHeadOverdue(long limitMillis, long now) {
        return progress != null && inHead && now - progress.startedAt() > limitMillis;
    }

    /** Returns whether the body takes too long. */
    boolean isBodyOverdue(long graceMillis, long now) {
        return progress != null && !inHead && progress.isOverdue(graceMillis, now);
    }
}
