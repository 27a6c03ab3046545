package org.jackdawslip.internal.ownership;

import java.util.List;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FencingToken;

/**
 * A call that renews all grants of one backend server; the backend server drops ranges that the call does not
 * list. Immutable and thread-safe.
 *
 * @param backendServer the backend server
 * @param senderToken the token of the sender
 * @param grants the ranges that the backend server owns
 * @param termMillis how long the grants are valid, counted by the backend server from receipt
 * @param tableVersion the version of the table from which the list was derived
 * @param sentAtMillis the sending time by the monotonic clock of the sender
 */
public record GrantCall(
        BackendServerId backendServer,
        FencingToken senderToken,
        List<RangeGrant> grants,
        long termMillis,
        TableVersion tableVersion,
        long sentAtMillis) {

    /** Makes defensive copies. */
    public GrantCall {
        grants = List.copyOf(grants);
    }
}
