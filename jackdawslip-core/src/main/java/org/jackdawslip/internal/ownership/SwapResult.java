package org.jackdawslip.internal.ownership;

/** The result of a compare-and-swap of a store record, as far as the caller can observe it. */
public enum SwapResult {
    /** The store applied the swap. */
    APPLIED,
    /** The record had changed before, and the store did not apply the swap. */
    CONFLICT,
    /** The call was sent and its response was lost, so the swap may have been applied. */
    UNKNOWN,
    /** The call was certainly not sent. */
    UNREACHABLE
}
