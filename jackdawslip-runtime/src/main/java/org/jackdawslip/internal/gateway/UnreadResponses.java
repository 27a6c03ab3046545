package org.jackdawslip.internal.gateway;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import org.jackdawslip.internal.limits.CallerMemory;
import org.jackdawslip.internal.limits.MemoryUse;
import org.jackdawslip.internal.limits.TransferProgress;

/**
 * The responses of one connection that wait for their turn, or were written and are not read by the caller yet.
 * Confined to the event loop.
 */
final class UnreadResponses {

    /** Lowest rate at which responses may be read, after a grace period: 8 KB a second. */
    private static final long MIN_BYTES_PER_MILLI = 8;

    private final CallerMemory.Holder holder;
    private long waitingBytes;
    private long writtenBytes;
    private long readBytes;
    private long reservedBytes;
    /** What the operating system has not accepted, or null if it has accepted everything. */
    private TransferProgress sending;

    UnreadResponses(CallerMemory.Holder holder) {
        this.holder = holder;
    }

    /** A part of a response waits for its turn. */
    void addWaiting(HttpObject part) {
        waitingBytes += contentBytes(part);
    }

    /** A part of a response that waited was given up. */
    void removeWaiting(HttpObject part) {
        waitingBytes -= contentBytes(part);
    }

    /** A part of a response that waited is written to the connection. */
    void recordWritten(HttpObject part) {
        removeWaiting(part);
        writtenBytes += contentBytes(part);
    }

    private static long contentBytes(HttpObject part) {
        return part instanceof HttpContent content ? content.content().readableBytes() : 0;
    }

    /** Returns the bytes of responses that wait for their turn. */
    long waitingBytes() {
        return waitingBytes;
    }

    /** Returns whether every response that was written is on its way. */
    boolean isEmpty() {
        return sending == null;
    }

    /** Returns the reserved memory, in bytes. */
    long reservedBytes() {
        return reservedBytes;
    }

    /** Returns for how long the caller has been reading slowly, or a negative number if nothing is unread. */
    long slowMillis(long now) {
        return sending == null ? CallerMemory.Client.NOT_DROPPABLE : sending.slowMillis(now);
    }

    /** Returns whether the caller reads too slowly. */
    boolean isOverdue(long graceMillis, long now) {
        return sending != null && sending.isOverdue(graceMillis, now);
    }

    /**
     * Adjusts the reserved memory to what is unread now.
     *
     * @return false if the memory of all unread responses exceeds its limit
     */
    boolean update(Channel channel, long now) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        long unsent = buffer == null ? 0 : buffer.totalPendingWriteBytes();
        long read = writtenBytes - unsent;
        if (unsent == 0) {
            sending = null;
        } else if (sending == null) {
            sending = new TransferProgress(MIN_BYTES_PER_MILLI, now);
        } else {
            sending.advance(read - readBytes, now);
        }
        readBytes = read;
        long added = waitingBytes + unsent - reservedBytes;
        reservedBytes += added;
        if (added < 0) {
            holder.release(MemoryUse.RESPONSE, -added);
        }
        return added <= 0 || holder.reserveResponse(added);
    }

    /** Releases the reserved memory, because the connection was closed. */
    void release() {
        holder.release(MemoryUse.RESPONSE, reservedBytes);
        reservedBytes = 0;
        waitingBytes = 0;
        sending = null;
    }
}
