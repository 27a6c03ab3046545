package org.jackdawslip.internal.quota;

/**
 * The decision on one request of a client account with a quota. Immutable and thread-safe.
 *
 * @param outcome whether the request may be sent
 * @param retryDelayMillis time after which a request is expected to be admitted, in milliseconds; 0 if admitted
 */
public record QuotaDecision(Outcome outcome, long retryDelayMillis) {

    /** The decision that the request may be sent. */
    public static final QuotaDecision ADMITTED = new QuotaDecision(Outcome.ADMITTED, 0);

    /** Whether a request may be sent. */
    public enum Outcome {
        /** The request is within the quota. */
        ADMITTED,
        /** The account has used its quota. */
        QUOTA_EXCEEDED,
        /** This instance cannot tell, because it does not reach the owner of the quota. */
        UNKNOWN
    }
}
