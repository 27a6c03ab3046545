package org.jackdawslip.internal.balance;

/**
 * Load that a backend server reports in a response. Immutable and thread-safe.
 *
 * @param running requests that the server is processing
 * @param waiting requests in the queue of the server
 * @param slots requests that the server can process concurrently
 * @param slowdownPercent current duration of work on the host of the server as a percentage of the usual
 *     duration; 300 is three times as long
 */
public record LoadReport(int running, int waiting, int slots, int slowdownPercent) {}
