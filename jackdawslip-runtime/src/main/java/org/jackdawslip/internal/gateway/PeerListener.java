package org.jackdawslip.internal.gateway;

import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.keyspace.KeyNotice;

/** Hears what peers say. Called on the event loop. */
interface PeerListener {

    /** A request for a key arrived somewhere. Only the custodian hears this. */
    void keyUsed(ServiceName service, int slot);

    /** The custodian moves keys. */
    void noticed(KeyNotice notice);
}
