package org.jackdawslip.internal.admission;

import java.util.Arrays;

/** A sliding window of the last latencies that computes quantiles. Not thread-safe. */
final class LatencyWindow {

    private final long[] micros;
    private long addedCount;
    private long[] sorted = new long[0];
    private long addedCountAtSort;
    private final int additionsBetweenSorts;

    /**
     * Creates an empty window.
     *
     * @param size the number of latencies in the window
     * @param additionsBetweenSorts the number of additions after which the latencies are sorted again
     */
    LatencyWindow(int size, int additionsBetweenSorts) {
        this.micros = new long[size];
        this.additionsBetweenSorts = additionsBetweenSorts;
    }

    void add(long latencyMicros) {
        micros[(int) (addedCount % micros.length)] = latencyMicros;
        addedCount++;
    }

    int size() {
        return (int) Math.min(addedCount, micros.length);
    }

    void clear() {
        addedCount = 0;
        addedCountAtSort = 0;
        sorted = new long[0];
    }

    /**
     * Returns a quantile of the latencies, in microseconds. The window must not be empty.
     *
     * @param share the quantile, from 0 to 1
     */
    long quantile(double share) {
        if (sorted.length == 0 || addedCount - addedCountAtSort >= additionsBetweenSorts) {
            sorted = Arrays.copyOf(micros, size());
            Arrays.sort(sorted);
            addedCountAtSort = addedCount;
        }
        return sorted[(int) Math.min(sorted.length - 1L, (long) (share * sorted.length))];
    }
}
