package org.jackdawslip.internal.keyspace;

/** How a backend server answered a grant. */
public enum GrantResult {
    /** The server owns the segment. */
    ACCEPTED,
    /** The server has seen a higher token. */
    STALE_TOKEN,
    /** There was no answer; the server may own the segment. */
    UNKNOWN
}
