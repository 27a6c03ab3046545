package org.jackdawslip.internal.gateway;

import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.keyspace.KeyNotice;

/** Receives what peers send. Called on the event loop. */
interface PeerListener {

    /** A request for a key arrived at an instance. Called at the custodian only. */
    void keyUsed(ServiceName service, int slot);

    /** The custodian moves keys. */
    void noticed(KeyNotice notice);
}
