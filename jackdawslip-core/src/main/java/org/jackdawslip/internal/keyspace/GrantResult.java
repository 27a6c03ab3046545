package org.jackdawslip.internal.keyspace;

/** Result of a grant call. */
public enum GrantResult {
    /** The server owns the segment. */
    ACCEPTED,
    /** The server rejected the grant because it has accepted a higher fencing token. */
    STALE_TOKEN,
    /** There was no response, so the server may own the segment. */
    UNKNOWN,
    /** The call was not sent, because the grant was no longer due when its turn came. */
    NOT_SENT
}
