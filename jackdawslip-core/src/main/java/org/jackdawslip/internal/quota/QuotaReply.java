package org.jackdawslip.internal.quota;

import org.jackdawslip.internal.account.Quota;

/**
 * The reply of an instance that was asked for tokens. Immutable and thread-safe.
 *
 * @param number the number of the request
 * @param owner whether the replying instance is the quota owner of the account
 * @param granted the number of tokens granted
 * @param retryMillis time in milliseconds until the tokens that were needed and not granted are available; 0 if all
 *     were granted. Without an owner, the time until there may be one
 * @param configVersion the version of the configuration on which the reply is based; 0 without an owner
 * @param quota the limit on which the reply is based
 */
public record QuotaReply(long number, boolean owner, int granted, long retryMillis, long configVersion, Quota quota) {

    /** Returns the reply of an instance that is not the quota owner. */
    static QuotaReply notOwner(long number, long retryMillis) {
        return new QuotaReply(number, false, 0, retryMillis, 0, Quota.UNLIMITED);
    }
}
