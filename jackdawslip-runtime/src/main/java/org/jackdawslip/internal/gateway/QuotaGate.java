package org.jackdawslip.internal.gateway;

import java.util.function.Consumer;

import org.jackdawslip.internal.account.ClientAccount;
import org.jackdawslip.internal.quota.QuotaDecision;

/** Decides whether a request is within the quota of its client account. Confined to the event loop. */
interface QuotaGate {

    /** The gate of a deployment without quotas. */
    QuotaGate NONE = (account, whenDecided) -> whenDecided.accept(QuotaDecision.ADMITTED);

    /**
     * Decides on one request of an account.
     *
     * @param whenDecided receives the decision exactly once, possibly before this method returns
     */
    void admit(ClientAccount account, Consumer<QuotaDecision> whenDecided);
}
