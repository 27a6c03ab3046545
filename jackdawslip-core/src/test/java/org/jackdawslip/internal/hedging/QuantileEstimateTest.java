package org.jackdawslip.internal.hedging;

import java.util.Arrays;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against hedge delays that do not follow the response times. */
class QuantileEstimateTest {

    private static final int SAMPLES = 256;

    /** The error of a bucket is at most an eighth, whatever the magnitude of the times. */
    @ParameterizedTest
    @ValueSource(doubles = {0.5, 10, 120, 3_000})
    void estimateIsWithinABucketOfTheExactQuantile(double mean) {
        for (long seed = 1; seed <= 20; seed++) {
            Random random = new Random(seed);
            QuantileEstimate estimate = new QuantileEstimate();
            double[] times = new double[SAMPLES];
            for (int i = 0; i < SAMPLES; i++) {
                times[i] = mean * Math.exp(0.6 * random.nextGaussian());
                estimate.add(times[i]);
            }
            Arrays.sort(times);
            for (double share : new double[] {0.5, 0.9, 0.95}) {
                double lower = times[(int) (share * SAMPLES) - 1];
                double upper = times[(int) (share * SAMPLES) + 1];
                double quantile = estimate.quantile(share);
                assertTrue(
                        quantile >= lower / 1.125 && quantile <= upper * 1.125,
                        "seed " + seed + ", quantile " + share + ": " + quantile + " is not near " + lower);
            }
        }
    }

    /** After a change of the response times, the old ones must not set the delay for long. */
    @Test
    void newTimesPrevail() {
        QuantileEstimate estimate = new QuantileEstimate();
        for (int i = 0; i < 10_000; i++) {
            estimate.add(400);
        }
        for (int i = 0; i < 1_500; i++) {
            estimate.add(50);
        }
        assertEquals(50, estimate.quantile(0.95), 50 / 8.0);
    }

    /** Times outside of the range must not end in an exception on the event loop. */
    @Test
    void extremeTimesAreBounded() {
        QuantileEstimate estimate = new QuantileEstimate();
        assertEquals(0, estimate.quantile(0.95));
        estimate.add(0);
        estimate.add(-5);
        assertTrue(estimate.quantile(0.95) < 0.1);
        estimate.add(1e12);
        assertEquals(131_072, estimate.quantile(1), 1);
    }
}
