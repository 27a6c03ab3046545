package org.jackdawslip.internal.balance;

/**
 * What a backend server says about its load in an answer. Immutable and thread-safe.
 *
 * @param running requests that it works on
 * @param waiting requests in its queue
 * @param slots requests that it can work on at the same time
 * @param pacePercent how long work takes on its machine at the moment; 100 is usual, 300 three times as long
 */
public record LoadReport(int running, int waiting, int slots, int pacePercent) {}
