package org.jackdawslip.internal.balance;

/** What happens to a request for which a connection to its backend server is free. */
public enum SendStep {
    /** The request is sent. */
    SEND,
    /** The server is asked for its state, and its answer decides. */
    ASK,
    /** The request is not sent to this server. */
    WITHDRAW
}
