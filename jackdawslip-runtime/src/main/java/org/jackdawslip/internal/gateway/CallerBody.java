package org.jackdawslip.internal.gateway;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.buffer.UnpooledDirectByteBuf;
import io.netty.buffer.UnpooledHeapByteBuf;

/**
 * The body of one request while it is received. An ordinary body is held in the heap; a larger one in chunks outside
 * the heap, because the heap could not hold it. Received bytes are copied, so that a small piece does not retain the
 * buffer into which it was read.
 *
 * <p>Invariant: memory is reserved before it is allocated, and released when the buffer is freed. Confined to the
 * event loop.
 */
final class CallerBody {

    /** Largest body in the heap. Ordinary bodies have up to about 100 KB. */
    static final int MAX_HEAP_BYTES = 128 * 1024;
    /** Size of the chunks of larger bodies. */
    static final int CHUNK_BYTES = 128 * 1024;

    private static final int MIN_CAPACITY_BYTES = 256;

    private final MemoryReservation heap;
    private final MemoryReservation large;
    private final boolean ordinary;
    /** The whole body while it is in the heap. */
    private ByteBuf small = Unpooled.EMPTY_BUFFER;
    /** The chunks of a larger body; all but the last are full. */
    private final List<ByteBuf> chunks = new ArrayList<>();

    private long length;

    /**
     * Creates an empty body.
     *
     * @param ordinary whether memory that is reserved for ordinary requests may be used
     */
    CallerBody(MemoryReservation heap, MemoryReservation large, boolean ordinary) {
        this.heap = heap;
        this.large = large;
        this.ordinary = ordinary;
    }

    /** Returns the number of bytes that were received. */
    long length() {
        return length;
    }

    /**
     * Copies further bytes.
     *
     * @param expectedLength length of the whole body if it is known, otherwise 0; only the memory that the received
     *     bytes need is reserved
     * @return false if the memory was refused; the body is then incomplete
     */
    boolean append(ByteBuf bytes, long expectedLength) {
        int added = bytes.readableBytes();
        if (chunks.isEmpty() && length + added <= MAX_HEAP_BYTES) {
            if (!ensureCapacity((int) length + added, expectedLength)) {
                return false;
            }
            small.writeBytes(bytes, bytes.readerIndex(), added);
            length += added;
            return true;
        }
        if (chunks.isEmpty() && !moveToChunks()) {
            return false;
        }
        return appendToChunks(bytes);
    }

    private boolean ensureCapacity(int needed, long expectedLength) {
        if (needed <= small.capacity()) {
            return true;
        }
        int capacity = needed;
        if (needed != expectedLength) {
            int grown = Math.min(MAX_HEAP_BYTES, Math.max(MIN_CAPACITY_BYTES, 2 * needed));
            capacity = (int) Math.min(grown, expectedLength > needed ? expectedLength : grown);
        }
        if (!heap.tryAdd(capacity, ordinary)) {
            return false;
        }
        ByteBuf larger = new HeapBuffer(heap, capacity);
        larger.writeBytes(small);
        small.release();
        small = larger;
        return true;
    }

    private boolean moveToChunks() {
        ByteBuf received = small;
        small = Unpooled.EMPTY_BUFFER;
        length = 0;
        boolean moved = appendToChunks(received);
        received.release();
        return moved;
    }

    private boolean appendToChunks(ByteBuf bytes) {
        int from = bytes.readerIndex();
        int remaining = bytes.readableBytes();
        while (remaining > 0) {
            ByteBuf last = chunks.isEmpty() ? Unpooled.EMPTY_BUFFER : chunks.get(chunks.size() - 1);
            int room = last.capacity() - last.writerIndex();
            if (room == 0) {
                if (!large.tryAdd(CHUNK_BYTES, false)) {
                    return false;
                }
                last = new DirectBuffer(large, CHUNK_BYTES);
                chunks.add(last);
                room = CHUNK_BYTES;
            }
            int copied = Math.min(room, remaining);
            last.writeBytes(bytes, from, copied);
            from += copied;
            remaining -= copied;
            length += copied;
        }
        return true;
    }

    /** Returns the body; its reference belongs to the caller of this method. */
    ByteBuf take() {
        if (chunks.isEmpty()) {
            ByteBuf whole = small;
            small = Unpooled.EMPTY_BUFFER;
            return whole;
        }
        CompositeByteBuf whole = new CompositeByteBuf(UnpooledByteBufAllocator.DEFAULT, true, chunks.size());
        whole.addComponents(true, chunks);
        chunks.clear();
        return whole;
    }

    /** Frees what was received. */
    void release() {
        take().release();
    }

    /** A buffer in the heap that releases its reservation when it is freed. Confined to the event loop. */
    private static final class HeapBuffer extends UnpooledHeapByteBuf {
        private final MemoryReservation reservation;
        private final int reserved;

        HeapBuffer(MemoryReservation reservation, int capacity) {
            super(UnpooledByteBufAllocator.DEFAULT, capacity, capacity);
            this.reservation = reservation;
            this.reserved = capacity;
        }

        @Override
        protected void deallocate() {
            super.deallocate();
            reservation.release(reserved);
        }
    }

    /** A buffer outside the heap that releases its reservation when it is freed. Confined to the event loop. */
    private static final class DirectBuffer extends UnpooledDirectByteBuf {
        private final MemoryReservation reservation;
        private final int reserved;

        DirectBuffer(MemoryReservation reservation, int capacity) {
            super(UnpooledByteBufAllocator.DEFAULT, capacity, capacity);
            this.reservation = reservation;
            this.reserved = capacity;
        }

        @Override
        protected void deallocate() {
            super.deallocate();
            reservation.release(reserved);
        }
    }
}
