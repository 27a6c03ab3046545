package org.jackdawslip.internal.keyspace;

import org.jackdawslip.internal.balance.Backend;

/**
 * Executes the decisions of a {@link KeyCoordinator}. Each action completes later, on the same
 * thread, by a call of the method of the {@link KeyCoordinator} that its documentation names.
 */
public interface KeyCoordinatorActions {

    /**
     * Sends a call that grants or renews a segment. Completes with {@link KeyCoordinator#onGrantResult}.
     *
     * @param handover the state that the previous owner returned with its release, or null
     * @param fencing whether the acceptance shows that the server rejects earlier grant calls without a response
     */
    void grant(Backend server, KeySegment segment, String handover, boolean fencing);

    /** Sends a release call to the owner. Completes with {@link KeyCoordinator#onReleaseResult}. */
    void release(Backend server, KeySegment segment);

    /**
     * Announces a move to other instances, without a completion call.
     *
     * @param granted true if the new owner has received the segment, false if its owner is releasing it
     */
    void announce(KeySegment segment, boolean granted);

    /** Records that a segment has no owner any more, without a completion call. */
    void holdEnded(KeySegment segment, HoldEnd end);

    /** Writes a table to the store. Completes with {@link KeyCoordinator#onTableSaved} once it is durable. */
    void save(KeyTable table);
}
