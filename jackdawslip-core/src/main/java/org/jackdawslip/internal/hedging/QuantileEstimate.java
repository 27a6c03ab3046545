package org.jackdawslip.internal.hedging;

/**
 * Estimates quantiles of the recent response times of one class of requests.
 *
 * <p>The times are counted in buckets of an eighth of a power of two, so an estimate is off by at most an eighth.
 * Adding a time changes one bucket. Once {@link #MAX_WEIGHT} is reached, all weights are halved, so newer times
 * prevail. Nothing is allocated after construction; an estimate takes about 700 bytes. Not thread-safe.
 */
public final class QuantileEstimate {

    /** Sum of the weights at which they are halved. Above the 95th percentile remain 6 to 12 samples. */
    private static final float MAX_WEIGHT = 256;

    private static final int BUCKETS_PER_OCTAVE = 8;
    private static final int MANTISSA_BITS = 52;
    /** Bits of the mantissa below those that select the bucket within an octave. */
    private static final int IGNORED_BITS = MANTISSA_BITS - 3;
    /** Shorter times are counted as this one, 2 to the power of -4 milliseconds. */
    private static final double MIN_MILLIS = 0.0625;
    /** Longer times are counted as this one, about two minutes. */
    private static final double MAX_MILLIS = 131_071;

    private static final long FIRST_BUCKET = Double.doubleToRawLongBits(MIN_MILLIS) >> IGNORED_BITS;
    private static final int BUCKET_COUNT = bucketOf(MAX_MILLIS) + 1;

    private final float[] weights = new float[BUCKET_COUNT];
    private float totalWeight;
    private int samples;

    /** Adds a response time in milliseconds. */
    public void add(double millis) {
        if (totalWeight >= MAX_WEIGHT) {
            halveWeights();
        }
        weights[bucketOf(millis)]++;
        totalWeight++;
        samples = Math.min(Integer.MAX_VALUE - 1, samples) + 1;
    }

    /** Returns how many times were added since construction. */
    public int samples() {
        return samples;
    }

    /**
     * Returns a quantile in milliseconds, interpolated within its bucket; 0 without samples.
     *
     * @param share the quantile, from 0 to 1
     */
    public double quantile(double share) {
        double above = (1 - share) * totalWeight;
        for (int bucket = BUCKET_COUNT - 1; bucket >= 0; bucket--) {
            if (weights[bucket] > 0 && above <= weights[bucket]) {
                double lower = lowerBound(bucket);
                return lower + (lowerBound(bucket + 1) - lower) * (1 - above / weights[bucket]);
            }
            above -= weights[bucket];
        }
        return 0;
    }

    private void halveWeights() {
        totalWeight = 0;
        for (int bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            weights[bucket] /= 2;
            totalWeight += weights[bucket];
        }
    }

    /** Returns the bucket by the exponent and the first three bits of the mantissa, without a logarithm. */
    private static int bucketOf(double millis) {
        double bounded = Math.max(MIN_MILLIS, Math.min(MAX_MILLIS, millis));
        return (int) ((Double.doubleToRawLongBits(bounded) >> IGNORED_BITS) - FIRST_BUCKET);
    }

    private static double lowerBound(int bucket) {
        return MIN_MILLIS
                * (1L << (bucket / BUCKETS_PER_OCTAVE))
                * (1 + (bucket % BUCKETS_PER_OCTAVE) / (double) BUCKETS_PER_OCTAVE);
    }
}
