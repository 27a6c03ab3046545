package org.jackdawslip.internal.ownership;

import org.jackdawslip.InstanceId;
import org.jackdawslip.ServiceName;

/**
 * The actions that a {@link DomainMember} requests from its environment.
 *
 * <p>The member calls these methods while it handles an input, on the thread of that input. An implementation
 * starts the action and returns without blocking. It must not call the member from within these methods.
 */
public interface MemberEffects {

    /** Sends a heartbeat to a peer. The heartbeat may be lost. */
    void sendHeartbeat(InstanceId peer, Heartbeat heartbeat);

    /** Sends a reply to a heartbeat of a peer. The reply may be lost. */
    void sendHeartbeatReply(InstanceId peer, HeartbeatReply reply);

    /** Sends a table to a peer. The table may be lost. */
    void sendTable(InstanceId peer, AssignmentTable table);

    /** Reads the coordinator record of the own failure domain. */
    void readCoordinator();

    /**
     * Replaces the coordinator record if its index is still the expected one; 0 requires that there is no
     * record.
     */
    void swapCoordinator(CoordinatorRecord next, long expectedIndex);

    /** Reads the homes record of a service. */
    void readHomes(ServiceName service);

    /**
     * Replaces the homes record if its index is still the expected one; 0 requires that there is no record.
     */
    void swapHomes(HomesRecord next, long expectedIndex);

    /** Sends a grant call. The implementation must abort the call after {@link Timing#GRANT_CALL_MILLIS}. */
    void sendGrant(GrantCall call);

    /** Reports that the table in use changed, and with it owners, homes or rights to send. */
    void rightsChanged();
}
