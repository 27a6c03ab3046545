package org.jackdawslip.internal.gateway;

import java.net.InetSocketAddress;
import java.util.List;

import org.jackdawslip.InstanceId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.keyspace.KeyMoveAnnouncement;
import org.jackdawslip.internal.quota.QuotaClaim;
import org.jackdawslip.internal.quota.QuotaReply;
import org.jackdawslip.internal.quota.QuotaRequest;

/** Receives messages of peers. Called on the event loop. */
interface PeerListener {

    /**
     * An instance received a request for a key. Called only at the instance with the role of key coordinator.
     */
    void keyUsed(ServiceName service, int slot);

    /** The key coordinator announced a key move. */
    void moveAnnounced(KeyMoveAnnouncement announcement);

    /**
     * Another instance asked for tokens of accounts, in one datagram.
     *
     * @param address where the reply is sent; the instance need not be listed
     */
    default void quotaRequested(InetSocketAddress address, List<QuotaRequest> requests) {}

    /** Another instance replied to requests for tokens, in one datagram. */
    default void quotaReplied(InstanceId replier, List<QuotaReply> replies) {}

    /**
     * Another instance stops and owns no quota any more.
     *
     * @param sentAtMillis time of day at which it sent the message, in milliseconds since the epoch
     */
    default void quotasReleased(InstanceId instance, long sentAtMillis) {}

    /**
     * A joining instance asks to be counted as a possible quota owner.
     *
     * @param address where the answer is sent
     */
    default void quotaClaimed(InstanceId claimant, InetSocketAddress address, QuotaClaim claim) {}

    /** Another instance answered a claim of this instance. */
    default void quotaClaimAnswered(InstanceId other, QuotaClaim claim) {}
}
