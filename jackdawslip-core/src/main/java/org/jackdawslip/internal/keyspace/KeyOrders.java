package org.jackdawslip.internal.keyspace;

import org.jackdawslip.internal.balance.Backend;

/**
 * Carries out what a {@link KeyCustodian} decides. Each call is answered later by the method of the custodian that its
 * documentation names, on the same thread.
 */
public interface KeyOrders {

    /**
     * Grants or renews a segment; answered by {@link KeyCustodian#granted}.
     *
     * @param handover the state that the previous owner handed over, or null
     */
    void grant(Backend server, KeySegment segment, String handover);

    /** Takes a segment back from its owner; answered by {@link KeyCustodian#released}. */
    void release(Backend server, KeySegment segment);

    /** Announces that a segment is being released, or that its new owner has it. No answer. */
    void announce(KeySegment segment, boolean granted);

    /** Makes a table durable; answered by {@link KeyCustodian#saved}. */
    void save(KeyTable table);
}
