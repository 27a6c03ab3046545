package org.jackdawslip.internal.gateway;

/**
 * Kinds of ownership calls. A server may send a late copy of the response to an earlier call, and some servers do not
 * repeat the ids of ownership calls. A call whose response may end a hold is therefore made on a new connection.
 * Immutable and thread-safe.
 */
enum OwnershipCallKind {
    /** Grants or renews keys; the hold is assumed to last its longest possible time, whatever the response. */
    GRANT(600, false),
    /** Grants a higher token, so that the server rejects grants that are still in transit. */
    FENCING_GRANT(600, true),
    /** Releases keys; the server responds only when its work on them has ended. */
    RELEASE(3_000, true);

    private final long timeoutMillis;
    private final boolean onNewConnection;

    OwnershipCallKind(long timeoutMillis, boolean onNewConnection) {
        this.timeoutMillis = timeoutMillis;
        this.onNewConnection = onNewConnection;
    }

    /** Returns the time limit of a call in milliseconds. */
    long timeoutMillis() {
        return timeoutMillis;
    }

    /** Returns whether a call must be made on a new connection. */
    boolean onNewConnection() {
        return onNewConnection;
    }
}
