package org.jackdawslip.internal.limits;

/**
 * The limits of one instance on what its clients hold, derived from the resources of its host. Immutable and
 * thread-safe.
 *
 * @param callerConnections limit of the connections of callers
 * @param pipelinedRequests number of open requests of callers at which a connection may have only one; each open
 *     request may take a connection to a server
 * @param peerConnections limit of the connections of other instances
 * @param statusConnections limit of the connections to the readiness address, and of those to the metrics address
 * @param heapBytes heap for headers, ordinary bodies and unread responses of callers
 * @param largeBodyBytes memory outside the heap for large bodies of callers
 */
public record ClientLimits(
        int callerConnections,
        int pipelinedRequests,
        int peerConnections,
        int statusConnections,
        long heapBytes,
        long largeBodyBytes) {

    /** Descriptors of the program itself: files, libraries, listeners, the event loop. */
    private static final int RESERVED_DESCRIPTORS = 200;
    /** Fewer descriptors than this above the reserve are treated as this many. */
    private static final int MIN_DESCRIPTORS = 64;
    /**
     * Of the remaining descriptors, connections of callers have 5 in 16. Their open requests take as many for servers,
     * and a quarter of that more while requests are pipelined; with peers and status pages that leaves a tenth for the
     * store and retries.
     */
    private static final double CALLER_SHARE = 5.0 / 16;

    private static final int PIPELINED_DIVISOR = 4;

    private static final int PEER_DIVISOR = 8;
    private static final int STATUS_DIVISOR = 32;
    private static final int MAX_STATUS_CONNECTIONS = 64;
    /** The heap also holds buffered responses of servers (a quarter), the view of the store and new objects. */
    private static final int HEAP_DIVISOR = 4;
    /** Memory of the process beside the heap and large bodies: code, class data, threads, socket buffers. */
    private static final long PROCESS_BYTES = 100L * 1024 * 1024;
    /** Share of the memory of the host, for a process whose heap is far larger than that of the deployments. */
    private static final int MEMORY_DIVISOR = 8;
    /** Large bodies are accepted up to this sum on every host; earlier versions held bodies of this size. */
    private static final long MIN_LARGE_BODY_BYTES = 8L * 1024 * 1024;
    /** Direct memory that the JVM uses while it writes buffers of the heap to sockets. */
    private static final long DIRECT_RESERVE_BYTES = 16L * 1024 * 1024;

    /**
     * Derives the limits.
     *
     * @param fileDescriptors descriptors that the process may open
     * @param memoryBytes memory that the process may use
     * @param maxHeapBytes maximum size of the heap
     * @param maxDirectBytes limit of direct memory of the JVM
     */
    public static ClientLimits derive(int fileDescriptors, long memoryBytes, long maxHeapBytes, long maxDirectBytes) {
        int descriptors = Math.max(MIN_DESCRIPTORS, fileDescriptors - RESERVED_DESCRIPTORS);
        long outsideHeap = Math.min(memoryBytes - maxHeapBytes - PROCESS_BYTES, maxDirectBytes - DIRECT_RESERVE_BYTES);
        int callers = (int) (descriptors * CALLER_SHARE);
        return new ClientLimits(
                callers,
                callers / PIPELINED_DIVISOR,
                descriptors / PEER_DIVISOR,
                Math.min(MAX_STATUS_CONNECTIONS, descriptors / STATUS_DIVISOR),
                Math.min(maxHeapBytes / HEAP_DIVISOR, memoryBytes / MEMORY_DIVISOR),
                Math.max(MIN_LARGE_BODY_BYTES, outsideHeap));
    }
}
