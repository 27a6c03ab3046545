package org.jackdawslip.internal.balance;

/** Decision on a request that has a free connection to its chosen backend server. */
public enum SendDecision {
    /** Send the request. */
    SEND,
    /** Send a state probe on the connection first and decide by the state report. */
    PROBE,
    /** Do not send the request to this server. */
    WITHDRAW
}
