package org.jackdawslip.internal.keyspace;

/** What became of a grant. */
public enum GrantResult {
    /** The server owns the segment. */
    ACCEPTED,
    /** The server has seen a higher token. */
    STALE_TOKEN,
    /** There was no answer; the server may own the segment. */
    UNKNOWN,
    /** It was no longer due when it could be sent. */
    NOT_SENT
}
