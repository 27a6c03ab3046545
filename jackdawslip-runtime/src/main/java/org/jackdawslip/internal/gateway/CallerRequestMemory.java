package org.jackdawslip.internal.gateway;

import org.jackdawslip.internal.limits.CallerMemory;
import org.jackdawslip.internal.limits.MemoryUse;

/**
 * The memory of one request: its head, and its body in the heap or outside. The parts of the body are released with
 * their buffers. Confined to the event loop.
 */
final class CallerRequestMemory {

    private final MemoryReservation head;
    private final MemoryReservation heapBody;
    private final MemoryReservation largeBody;

    /** Creates the reservations of a request that is being received; nothing is reserved yet. */
    CallerRequestMemory(CallerMemory.Holder heap, CallerMemory.Holder largeBodies) {
        head = new MemoryReservation(heap, MemoryUse.BODY);
        heapBody = new MemoryReservation(heap, MemoryUse.BODY);
        largeBody = new MemoryReservation(largeBodies, MemoryUse.BODY);
    }

    /** Reserves the memory of the head; returns false if it is refused. */
    boolean tryReserveHead(long bytes, boolean ordinary) {
        return head.tryAdd(bytes, ordinary);
    }

    MemoryReservation heapBody() {
        return heapBody;
    }

    MemoryReservation largeBody() {
        return largeBody;
    }

    /** Changes the use of all parts. */
    void moveTo(MemoryUse use) {
        head.moveTo(use);
        heapBody.moveTo(use);
        largeBody.moveTo(use);
    }

    /** Releases the memory of the head. Has no effect if it was released already. */
    void releaseHead() {
        head.releaseAll();
    }
}
