package org.jackdawslip.internal.routing;

import java.util.List;
import java.util.Optional;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.ServiceName;

/**
 * The owners of keys, the senders of backend servers and the failure domains, as one instance observes them.
 * A read-only view that may be out of date.
 */
public interface RoutingTable {

    /** Returns the home domain of a hash, which is the failure domain that holds it, if it is known. */
    Optional<FailureDomainId> homeDomain(ServiceName service, long keyHash);

    /** Returns the backend server in this instance's failure domain that owns the hash, if there is one. */
    Optional<BackendServerId> owner(ServiceName service, long keyHash);

    /** Returns the sender of a backend server in this instance's failure domain, if it is known. */
    Optional<InstanceId> sender(BackendServerId server);

    /**
     * Returns the summaries of the senders of a pool in this instance's failure domain, this instance
     * included.
     */
    List<SenderView> senders(ServiceName service);

    /** Returns whether the failure domain accepts new requests. */
    boolean isInService(FailureDomainId domain);

    /** Returns the other failure domains that have backend servers of the service, nearest first. */
    List<FailureDomainId> otherDomains(ServiceName service);

    /** Returns the live instances of another failure domain that accept relayed requests. */
    List<InstanceId> entryInstances(FailureDomainId domain);

    /**
     * The summary that a sender reports about its backend servers of one service.
     *
     * @param instance the sender
     * @param slots the sum of the current slot limits of its usable backend servers; 0 if none is usable
     * @param freeSlots the number of free slots
     * @param queueLength the number of waiting requests
     */
    record SenderView(InstanceId instance, int slots, int freeSlots, int queueLength) {}
}
