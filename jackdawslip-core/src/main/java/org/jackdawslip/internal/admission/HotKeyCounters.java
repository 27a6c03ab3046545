package org.jackdawslip.internal.admission;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Finds the keys with the most work in a bounded number of counters (space-saving algorithm with decayed
 * counters).
 *
 * <p>Invariant: there are at most {@code capacity} counters of about 100 bytes each. The work of a counted
 * key is at most the weight of its counter, and at least the weight minus the error. Every key with more than
 * 1 / capacity of the total work has a counter. Not thread-safe; the caller serializes calls.
 */
final class HotKeyCounters {

    /** Counters with less weight are removed. */
    private static final double MIN_WEIGHT = 1e-9;

    private final int capacity;
    private final Map<Long, Counter> counters = new HashMap<>();

    HotKeyCounters(int capacity) {
        this.capacity = capacity;
    }

    private static final class Counter {
        private double weight;
        private double error;
    }

    /** Adds work to a key. If all counters are in use, the key replaces the one with the least weight. */
    void add(long hash, double work) {
        Counter counter = counters.get(hash);
        if (counter == null) {
            counter = new Counter();
            if (counters.size() >= capacity) {
                Map.Entry<Long, Counter> least = leastCounter();
                counters.remove(least.getKey());
                counter.weight = least.getValue().weight;
                counter.error = counter.weight;
            }
            counters.put(hash, counter);
        }
        counter.weight += work;
    }

    private Map.Entry<Long, Counter> leastCounter() {
        Map.Entry<Long, Counter> least = null;
        for (Map.Entry<Long, Counter> entry : counters.entrySet()) {
            if (least == null || entry.getValue().weight < least.getValue().weight) {
                least = entry;
            }
        }
        return least;
    }

    /** Multiplies all counters by the factor. */
    void decay(double factor) {
        for (Iterator<Counter> iterator = counters.values().iterator(); iterator.hasNext(); ) {
            Counter counter = iterator.next();
            counter.weight *= factor;
            counter.error *= factor;
            if (counter.weight < MIN_WEIGHT) {
                iterator.remove();
            }
        }
    }

    /** Returns a lower bound of the work of each counted key, by hash. */
    Map<Long, Double> lowerBounds() {
        Map<Long, Double> result = new HashMap<>();
        counters.forEach((hash, counter) -> result.put(hash, counter.weight - counter.error));
        return result;
    }
}
