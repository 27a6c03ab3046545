package org.jackdawslip.internal.quota;

/**
 * The request of a joining instance that another one counts it as a possible quota owner. The answer has the same
 * content. Immutable and thread-safe.
 *
 * @param number identifies the claim at the instance that sent it
 * @param commit whether the other instance gives up the accounts for which the joining one precedes it; otherwise it
 *     only answers if it has seen the listing
 */
public record QuotaClaim(long number, boolean commit) {}
