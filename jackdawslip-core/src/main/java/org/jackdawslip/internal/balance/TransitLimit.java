package org.jackdawslip.internal.balance;

import java.util.function.IntSupplier;

/**
 * Limits the bytes in transit to one server: the requests that it holds, and the rest of the responses that it has not
 * been able to send. A server crashes if they exceed its memory.
 *
 * <p>The limit is a sum over all instances, each of which uses its share without messages. An instance may always have
 * one request at a server, so that large requests are served however many instances there are. The sum is therefore
 * exceeded if many instances have a request that is larger than their share at the same server; the number of requests
 * in the queue of the server limits it then. Not thread-safe.
 */
public final class TransitLimit {

    /**
     * Default for all instances together. A server holds about 15 requests of up to 100 KB, so ordinary requests do not
     * reach the share of one of 100 instances.
     */
    public static final long DEFAULT_BYTES = 160L * 1024 * 1024;

    private final long limitBytes;
    private final IntSupplier instances;

    /**
     * Creates a limit.
     *
     * @param limitBytes bytes in transit to one server for all instances together
     * @param instances returns the number of live instances, at least 1
     */
    public TransitLimit(long limitBytes, IntSupplier instances) {
        this.limitBytes = limitBytes;
        this.instances = instances;
    }

    /** Returns the bytes that this instance may have in transit to one server with more than one request. */
    public long shareBytes() {
        return limitBytes / Math.max(1, instances.getAsInt());
    }

    /** Returns whether a request of the given size may be sent to the server now. */
    public boolean admits(BackendTracker server, long bytes) {
        return server.bytesInTransit() == 0 || bytes <= shareBytes() - server.bytesInTransit();
    }
}
