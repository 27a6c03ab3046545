package org.jackdawslip.internal.keyspace;

/** Why the owner of a segment certainly holds it no more, so that the segment may get another owner. */
public enum HoldEnd {
    /** The owner has confirmed the release, and no grant call can take effect after it. */
    RELEASED,
    /** The longest possible hold has passed since the last grant call. */
    EXPIRED,
    /**
     * A server with another id has the address of the owner. An address is given to another server only after its
     * server has ended, and grant calls name the id of the server that may accept them.
     */
    ADDRESS_TAKEN
}
