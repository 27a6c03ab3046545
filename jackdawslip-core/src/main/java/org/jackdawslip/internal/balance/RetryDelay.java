package org.jackdawslip.internal.balance;

import java.util.Random;

/**
 * Chooses the delay after which a refused caller should retry.
 *
 * <p>Callers honour a delay of up to a third of the time that they have left and retry once or twice. A caller that was
 * refused because of a queue returns when the queue has become shorter by as much as it was too long; longer delays and
 * random ones make more responses late and serve no more callers. If the time until a server can take the request is
 * unknown, as after a loss of power, all callers were refused at about the same time, so their return is spread over
 * the second half of the longest delay. Stateless apart from the source of random numbers. Not thread-safe.
 */
public final class RetryDelay {

    /** Excess time of a request for which the time until a server can take it is unknown. */
    public static final double UNKNOWN_EXCESS_MILLIS = Double.MAX_VALUE;

    /** Shortest delay, in milliseconds; about the service time of one request. */
    private static final long MIN_DELAY_MILLIS = 80;
    /** Longest delay as a share of the remaining time; callers honour up to a third of it. */
    private static final double MAX_DELAY_SHARE = 0.3;
    /** Shortest delay for an unknown time as a share of the longest one. Earlier, servers are rarely back. */
    private static final double MIN_UNKNOWN_DELAY_SHARE = 0.5;

    private final Random random;

    /** Creates a rule that uses the given random numbers. */
    public RetryDelay(Random random) {
        this.random = random;
    }

    /**
     * Returns the delay in milliseconds.
     *
     * @param excessMillis by how much the expected response time exceeds the admission limit, in milliseconds, or
     *     {@link #UNKNOWN_EXCESS_MILLIS}
     * @param remainingMillis remaining time until the timeout of the caller, in milliseconds
     */
    public long millis(double excessMillis, long remainingMillis) {
        double longest = Math.max(MIN_DELAY_MILLIS, MAX_DELAY_SHARE * remainingMillis);
        double wanted = excessMillis == UNKNOWN_EXCESS_MILLIS
                ? longest * (MIN_UNKNOWN_DELAY_SHARE + (1 - MIN_UNKNOWN_DELAY_SHARE) * random.nextDouble())
                : Math.min(longest, excessMillis);
        return Math.round(Math.max(MIN_DELAY_MILLIS, wanted));
    }
}
