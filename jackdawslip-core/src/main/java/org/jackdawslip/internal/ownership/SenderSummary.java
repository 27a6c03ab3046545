package org.jackdawslip.internal.ownership;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FencingToken;

/**
 * The state that the sender of a backend server reports to the other instances. Immutable and thread-safe.
 *
 * @param backendServer the backend server
 * @param senderToken the token under which the server accepted the sender
 * @param freeSlots the number of requests that the backend server can accept now
 * @param queueLength the number of requests that wait at the sender
 * @param accepting whether new requests may be relayed to the sender
 * @param unreachable whether the sender cannot renew the grants
 * @param millisSinceLastRenewal the time since the sender last sent a grant call that lists ranges
 * @param grantedVersion the table version of the last grant call that the backend server accepted
 */
public record SenderSummary(
        BackendServerId backendServer,
        FencingToken senderToken,
        int freeSlots,
        int queueLength,
        boolean accepting,
        boolean unreachable,
        long millisSinceLastRenewal,
        TableVersion grantedVersion) {}
