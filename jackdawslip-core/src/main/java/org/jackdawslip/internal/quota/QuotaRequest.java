package org.jackdawslip.internal.quota;

import org.jackdawslip.AccountName;
import org.jackdawslip.internal.account.Quota;

/**
 * A request of an instance to the quota owner for tokens of one account. Immutable and thread-safe.
 *
 * @param number identifies the request at the instance that sent it; a restarted instance uses other numbers
 * @param account the account
 * @param configVersion the version of the configuration at the instance that sent the request
 * @param quota the limit of the account in that version
 * @param needed the number of requests that wait for a token
 * @param extra the number of tokens that the instance can use soon
 */
public record QuotaRequest(long number, AccountName account, long configVersion, Quota quota, int needed, int extra) {}
