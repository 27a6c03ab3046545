package org.jackdawslip.internal.balance;

/** Running mean of the time that answers of one route take. Not thread-safe. */
public final class LatencyEstimate {

    private static final double WEIGHT = 0.05;

    private double mean;
    private int samples;

    /** Starts with an assumption that the first samples replace. */
    public LatencyEstimate(double assumedMillis) {
        mean = assumedMillis;
    }

    /** Takes the time of one answer. */
    public void sample(double millis) {
        samples++;
        mean += Math.max(WEIGHT, 1.0 / (samples + 1)) * (millis - mean);
    }

    /** Returns the mean in milliseconds. */
    public double millis() {
        return mean;
    }
}
