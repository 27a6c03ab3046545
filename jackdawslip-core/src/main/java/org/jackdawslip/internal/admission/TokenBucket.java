package org.jackdawslip.internal.admission;

/**
 * Limits additional attempts (retries or hedges) to a share of the requests, with a bounded burst. Each
 * request adds a fraction of a token, each additional attempt takes one token. Not thread-safe.
 */
final class TokenBucket {

    private final double tokensPerRequest;
    private final double capacity;
    private double tokens;

    TokenBucket(double share, double capacity, double initial) {
        this.tokensPerRequest = share;
        this.capacity = capacity;
        this.tokens = initial;
    }

    void countRequest() {
        tokens = Math.min(capacity, tokens + tokensPerRequest);
    }

    boolean hasToken() {
        // The tolerance covers rounding: the sum of 20 times 0.05 is slightly below 1.
        return tokens >= 1 - 1e-9;
    }

    /** Takes a token if there is one and returns whether there was. */
    boolean tryTake() {
        if (!hasToken()) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
