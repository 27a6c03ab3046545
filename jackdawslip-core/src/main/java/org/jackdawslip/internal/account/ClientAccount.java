package org.jackdawslip.internal.account;

import org.jackdawslip.AccountName;

/**
 * A client account as the configuration describes it, without its credentials. Immutable and thread-safe.
 *
 * @param name the name, which backend servers receive with each request of the account
 * @param priority the priority of the account's requests, which precedes the priority of a route; 0 is the most
 *     urgent
 * @param quota the limit on the requests of the account
 */
public record ClientAccount(AccountName name, int priority, Quota quota) {}
