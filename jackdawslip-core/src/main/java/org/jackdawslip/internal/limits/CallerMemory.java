package org.jackdawslip.internal.limits;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Account of the memory that clients occupy. Memory is reserved before bytes are kept. If a reservation does not
 * fit, the client that is slowest is dropped first; a client whose request was passed on to a server is never
 * dropped for what that request occupies.
 *
 * <p>Invariant: {@link Holder#tryReserve} never raises the sum of all reservations above the limit. Not
 * thread-safe.
 */
public final class CallerMemory {

    /**
     * A client that is slow for less time is not dropped in favour of a request that is not ordinary: it may only
     * have lost a packet.
     */
    private static final long MIN_SLOW_MILLIS = 1_000;

    /** A client that can be dropped to make room. */
    public interface Client {

        /** The value of {@link #slowMillis} of a client that must not be dropped. */
        long NOT_DROPPABLE = -1;

        /**
         * Returns for how long the client has been slow, in milliseconds, or {@link #NOT_DROPPABLE} if its
         * request was passed on, or if it occupies nothing that can be released.
         */
        long slowMillis();

        /** Releases what the client occupies, and refuses its request or closes its connection. */
        void drop();
    }

    private final MemoryShares shares;
    private final Set<Holder> holders = new LinkedHashSet<>();
    private final Map<Object, Long> bytesByAddress = new HashMap<>();
    private final long[] bytesByUse = new long[MemoryUse.values().length];
    private long reservedBytes;
    private long peakBytes;
    private long refusals;
    private long drops;

    /** Creates an account without reservations. */
    public CallerMemory(MemoryShares shares) {
        this.shares = shares;
    }

    /** Returns the limit of all reservations, in bytes. */
    public long limitBytes() {
        return shares.limitBytes();
    }

    /** Returns all reservations, in bytes. */
    public long reservedBytes() {
        return reservedBytes;
    }

    /** Returns the largest sum of all reservations so far, in bytes. */
    public long peakBytes() {
        return peakBytes;
    }

    /** Returns the reservations for one use, in bytes. */
    public long reservedBytes(MemoryUse use) {
        return bytesByUse[use.ordinal()];
    }

    /** Returns how many reservations were refused. */
    public long refusals() {
        return refusals;
    }

    /** Returns how many clients were dropped to make room. */
    public long drops() {
        return drops;
    }

    /**
     * Returns an account of one connection, without reservations.
     *
     * @param address the remote address; connections with equal addresses share a limit
     */
    public Holder open(Object address, Client client) {
        return new Holder(address, client);
    }

    private boolean fits(Holder holder, MemoryUse use, long bytes, boolean ordinary) {
        if (ordinary) {
            return bytes <= shares.limitBytes() - reservedBytes;
        }
        return bytes <= shares.limitBytes() - shares.ordinaryReserveBytes() - reservedBytes
                && bytes <= shares.useBytes() - reservedBytes(use)
                && bytes <= shares.addressBytes() - addressBytes(holder);
    }

    private long addressBytes(Holder holder) {
        return bytesByAddress.getOrDefault(holder.address, 0L);
    }

    /** Drops the slowest client other than the given one. Returns whether there was one. */
    private boolean dropSlowest(Holder requester, long minSlowMillis) {
        Holder slowest = null;
        long slowestMillis = minSlowMillis - 1;
        boolean slowestOverShare = false;
        for (Holder holder : holders) {
            long millis = holder == requester ? Client.NOT_DROPPABLE : holder.client.slowMillis();
            if (millis < minSlowMillis || millis == Client.NOT_DROPPABLE) {
                continue;
            }
            // Addresses that hold more than their share are relieved first.
            boolean overShare = addressBytes(holder) > shares.addressBytes();
            if (slowest == null
                    || overShare && !slowestOverShare
                    || overShare == slowestOverShare && millis > slowestMillis) {
                slowest = holder;
                slowestMillis = millis;
                slowestOverShare = overShare;
            }
        }
        if (slowest == null) {
            return false;
        }
        long before = slowest.heldBytes;
        slowest.client.drop();
        drops++;
        // A client that released nothing would be chosen again without end.
        return slowest.heldBytes < before;
    }

    /** Drops clients until the reservations are within the limit, or none can be dropped. */
    private boolean trim(Holder requester) {
        while (reservedBytes > shares.limitBytes() || reservedBytes(MemoryUse.RESPONSE) > shares.useBytes()) {
            if (!dropSlowest(requester, 0)) {
                return false;
            }
        }
        return true;
    }

    /** The reservations of one connection. Not thread-safe. */
    public final class Holder {
        private final Object address;
        private final Client client;
        private final long[] heldByUse = new long[MemoryUse.values().length];
        private long heldBytes;

        private Holder(Object address, Client client) {
            this.address = address;
            this.client = client;
        }

        /** Returns the reservations of this connection, in bytes. */
        public long heldBytes() {
            return heldBytes;
        }

        /** Returns the reservations of this connection for one use, in bytes. */
        public long heldBytes(MemoryUse use) {
            return heldByUse[use.ordinal()];
        }

        /**
         * Reserves bytes, after slower clients were dropped if necessary.
         *
         * @param ordinary whether the request is as small as that of an ordinary client, so that it may use the
         *     reserve
         * @return false, with nothing reserved, if the bytes exceed a share and no slower client can be dropped
         */
        public boolean tryReserve(MemoryUse use, long bytes, boolean ordinary) {
            if (bytes > shares.connectionBytes() - heldBytes) {
                refusals++;
                return false;
            }
            long minSlowMillis = ordinary ? Math.max(0, client.slowMillis()) : MIN_SLOW_MILLIS;
            while (!fits(this, use, bytes, ordinary)) {
                if (!dropSlowest(this, minSlowMillis)) {
                    refusals++;
                    return false;
                }
            }
            add(use, bytes);
            return true;
        }

        /**
         * Reserves bytes of a response, which exists already. Clients that do not read are dropped if the limit
         * is exceeded.
         *
         * @return whether the reservations are within the limit
         */
        public boolean reserveResponse(long bytes) {
            add(MemoryUse.RESPONSE, bytes);
            return trim(this);
        }

        /** Moves reserved bytes to another use. */
        public void move(MemoryUse from, MemoryUse to, long bytes) {
            heldByUse[from.ordinal()] -= bytes;
            heldByUse[to.ordinal()] += bytes;
            bytesByUse[from.ordinal()] -= bytes;
            bytesByUse[to.ordinal()] += bytes;
        }

        /** Releases reserved bytes. */
        public void release(MemoryUse use, long bytes) {
            add(use, -bytes);
        }

        private void add(MemoryUse use, long bytes) {
            if (bytes == 0) {
                return;
            }
            heldByUse[use.ordinal()] += bytes;
            bytesByUse[use.ordinal()] += bytes;
            heldBytes += bytes;
            reservedBytes += bytes;
            peakBytes = Math.max(peakBytes, reservedBytes);
            bytesByAddress.merge(address, bytes, (held, added) -> held + added == 0 ? null : held + added);
            if (heldBytes == 0) {
                holders.remove(this);
            } else {
                holders.add(this);
            }
        }
    }
}
