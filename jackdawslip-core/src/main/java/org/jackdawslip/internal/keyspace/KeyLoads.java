package org.jackdawslip.internal.keyspace;

/**
 * Decaying counts of the work on blocks of neighbouring key slots of one service.
 *
 * <p>Not thread-safe.
 */
public final class KeyLoads {

    /** Slots in one block: the resolution at which load is known and segments are cut. */
    public static final int BLOCK = 4;
    /** Number of blocks. */
    public static final int BLOCKS = KeySegment.SLOTS / BLOCK;
    /** Time in which a count falls to half, in milliseconds; hot keys change within seconds. */
    private static final double HALF_LIFE_MILLIS = 4_000;

    private final double[] loads = new double[BLOCKS];
    private long decayedAt = Long.MIN_VALUE;

    /** Adds work to the block of a slot. */
    public void add(int slot, double work, long now) {
        decay(now);
        loads[slot / BLOCK] += work;
    }

    /** Returns the decayed work on the slots from the first to the last, both inclusive and on block boundaries. */
    public double load(int first, int last) {
        double sum = 0;
        for (int block = first / BLOCK; block <= last / BLOCK; block++) {
            sum += loads[block];
        }
        return sum;
    }

    /** Returns the decayed work on all slots. */
    public double total() {
        return load(0, KeySegment.SLOTS - 1);
    }

    private void decay(long now) {
        if (decayedAt == Long.MIN_VALUE) {
            decayedAt = now;
        }
        // Steps of 200 ms keep the cost low: the blocks are touched at most five times a second.
        if (now - decayedAt >= 200) {
            double factor = Math.pow(0.5, (now - decayedAt) / HALF_LIFE_MILLIS);
            for (int i = 0; i < loads.length; i++) {
                loads[i] *= factor;
            }
            decayedAt = now;
        }
    }
}
