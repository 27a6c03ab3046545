package org.jackdawslip.internal.store;

/**
 * The result of a write. Immutable and thread-safe.
 *
 * @param kind whether the write took effect
 * @param reason a description of the failure; empty if there is none
 */
public record WriteResult(Kind kind, String reason) {

    /** Whether a write took effect. */
    public enum Kind {
        /** The write took effect. */
        APPLIED,
        /** Another process changed the record; the write had no effect. */
        CONFLICT,
        /** The call was sent, but there was no valid response. The write may have taken effect. */
        OUTCOME_UNKNOWN,
        /** The call was not sent, or the store rejected it as invalid. The write had no effect. */
        UNAVAILABLE
    }
}
