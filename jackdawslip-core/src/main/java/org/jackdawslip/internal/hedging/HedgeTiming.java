package org.jackdawslip.internal.hedging;

/**
 * Decides after which time a request of one class (one route and service) is hedged.
 *
 * <p>The delay is a quantile of the response times of the class, so only the slowest requests are hedged, whatever
 * the distribution. If the quantile is later than a second attempt could still be on time, the delay ends at that
 * time. If hedges rarely respond first, the delay grows, up to a multiple of the expected response time. Not
 * thread-safe.
 */
public final class HedgeTiming {

    /** The share of the requests that respond before they are hedged. */
    static final double DELAY_QUANTILE = 0.95;
    /** With fewer samples, at most one lies above the quantile. */
    static final int MIN_SAMPLES = 40;
    /**
     * Lower limit of the delay as a share of the target latency. A response within the target has its full value,
     * so an earlier hedge would cost work without benefit.
     */
    static final double MIN_DELAY_SHARE = 0.25;
    /** Delay as a multiple of the expected response time, while there are too few samples. */
    private static final double FALLBACK_DELAY_FACTOR = 2.5;
    /** Lower limit of the delay as a share of the target latency, while there are too few samples. */
    private static final double FALLBACK_MIN_DELAY_SHARE = 0.45;

    /** Factor by which a hedge that did not respond first increases the delay. */
    private static final double LOSS_STRETCH = 1.05;
    /** Factor by which a hedge that responded first shortens the delay; one in three balances two that did not. */
    private static final double WIN_STRETCH = 1 / (LOSS_STRETCH * LOSS_STRETCH);
    /** Upper limit of the stretch, so that the delay falls soon when hedges begin to respond first. */
    private static final double MAX_STRETCH = 3;

    private final QuantileEstimate responseTimes = new QuantileEstimate();
    private double stretch = 1;

    /**
     * Adds the time from the first attempt of a request to its response, in milliseconds. For a request whose hedge
     * responded first this is less than the first attempt would have taken, but at least its hedge delay, so the
     * quantile does not fall.
     */
    public void recordResponseTime(double millis) {
        responseTimes.add(millis);
    }

    /** Records whether the hedge of a request responded before the first attempt. */
    public void recordHedge(boolean won) {
        stretch = Math.max(1, Math.min(MAX_STRETCH, stretch * (won ? WIN_STRETCH : LOSS_STRETCH)));
    }

    /**
     * Returns the time from now after which a request that is sent now is hedged, in milliseconds.
     *
     * @param expectedMillis expected time of the attempt that is sent now
     * @param usualMillis usual response time of the class, assumed for the hedge
     * @param targetMillis target latency of the route
     * @param targetRemainingMillis time from now until the target latency is exceeded
     * @param remainingMillis time from now until the deadline of the request
     */
    public double delayMillis(
            double expectedMillis,
            double usualMillis,
            double targetMillis,
            double targetRemainingMillis,
            double remainingMillis) {
        double fallback = Math.max(FALLBACK_DELAY_FACTOR * expectedMillis, FALLBACK_MIN_DELAY_SHARE * targetMillis);
        if (responseTimes.samples() < MIN_SAMPLES) {
            return fallback;
        }
        double earliest = MIN_DELAY_SHARE * targetMillis;
        double latest = targetRemainingMillis - usualMillis;
        if (latest < earliest) {
            // The hedge cannot be on time. It can still save the value that a late response has.
            latest = remainingMillis - usualMillis;
        }
        double delay = Math.max(earliest, Math.min(responseTimes.quantile(DELAY_QUANTILE), latest));
        return Math.max(delay, Math.min(stretch * delay, fallback));
    }
}
