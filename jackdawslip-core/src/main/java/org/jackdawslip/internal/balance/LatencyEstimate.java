package org.jackdawslip.internal.balance;

/** Exponentially weighted mean of the response times of one route. Not thread-safe. */
public final class LatencyEstimate {

    private static final double MIN_SAMPLE_WEIGHT = 0.05;

    private double meanMillis;
    private int samples;

    /** Creates an estimate with an assumed mean in milliseconds that the first samples replace quickly. */
    public LatencyEstimate(double assumedMillis) {
        meanMillis = assumedMillis;
    }

    /** Adds the response time of one request, in milliseconds. */
    public void addSample(double millis) {
        samples++;
        meanMillis += Math.max(MIN_SAMPLE_WEIGHT, 1.0 / (samples + 1)) * (millis - meanMillis);
    }

    /** Returns the mean in milliseconds. */
    public double meanMillis() {
        return meanMillis;
    }
}
