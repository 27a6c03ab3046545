package org.jackdawslip.internal.limits;

/**
 * How memory for clients is divided. Immutable and thread-safe.
 *
 * @param limitBytes limit of all reservations
 * @param ordinaryReserveBytes part of the limit that only ordinary requests may use
 * @param connectionBytes limit of one connection
 * @param addressBytes limit of one remote address; ordinary requests may exceed it
 * @param useBytes limit of one {@link MemoryUse}; ordinary requests may exceed it
 */
public record MemoryShares(
        long limitBytes, long ordinaryReserveBytes, long connectionBytes, long addressBytes, long useBytes) {

    /** Checks the shares. */
    public MemoryShares {
        if (limitBytes < 0
                || ordinaryReserveBytes < 0
                || ordinaryReserveBytes > limitBytes
                || connectionBytes < 0
                || addressBytes < 0
                || useBytes < 0) {
            throw new IllegalArgumentException("invalid shares of " + limitBytes + " bytes");
        }
    }

    /**
     * Returns the shares of memory for headers, ordinary bodies and unread responses: a quarter is reserved for
     * ordinary requests, a connection has an eighth, and an address or a use three quarters of the remainder.
     */
    public static MemoryShares ofHeap(long limitBytes) {
        long reserve = limitBytes / 4;
        long share = (limitBytes - reserve) * 3 / 4;
        return new MemoryShares(limitBytes, reserve, limitBytes / 8, share, share);
    }

    /** Returns the shares of memory for large bodies. One body may take all of it, because it is of legal size. */
    public static MemoryShares ofLargeBodies(long limitBytes) {
        return new MemoryShares(limitBytes, 0, limitBytes, limitBytes, limitBytes);
    }
}
