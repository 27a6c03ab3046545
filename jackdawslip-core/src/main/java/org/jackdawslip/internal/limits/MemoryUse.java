package org.jackdawslip.internal.limits;

/** For what a client occupies memory of an instance. */
public enum MemoryUse {
    /** The connection itself. */
    CONNECTION,
    /** The header fields of a request that is being received. */
    HEADERS,
    /** The body of a request that is being received. */
    BODY,
    /** A complete request that was not passed on yet. */
    WAITING,
    /** A request that was passed on, so that a server may be processing it. */
    FORWARDED,
    /** A response that the client has not read yet. */
    RESPONSE
}
