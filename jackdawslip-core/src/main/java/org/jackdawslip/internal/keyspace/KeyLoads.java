package org.jackdawslip.internal.keyspace;

/**
 * Exponentially decaying request load of the blocks of adjacent key slots of one service.
 *
 * <p>Not thread-safe.
 */
public final class KeyLoads {

    /** Key slots in one block: the resolution at which load is counted and segments are split. */
    public static final int SLOTS_PER_BLOCK = 4;

    public static final int BLOCK_COUNT = KeySegment.SLOTS / SLOTS_PER_BLOCK;
    /** Half-life of the load, in milliseconds; hot keys change within seconds. */
    private static final double HALF_LIFE_MILLIS = 4_000;

    private final double[] loads = new double[BLOCK_COUNT];
    private long decayedAt = Long.MIN_VALUE;

    /** Adds load to the block of a slot. */
    public void add(int slot, double load, long now) {
        decay(now);
        loads[slot / SLOTS_PER_BLOCK] += load;
    }

    /**
     * Returns the decayed load of the slots from the first to the last.
     *
     * @param first the first slot, the first one of a block
     * @param last the last slot, inclusive, the last one of a block
     */
    public double load(int first, int last) {
        double sum = 0;
        for (int block = first / SLOTS_PER_BLOCK; block <= last / SLOTS_PER_BLOCK; block++) {
            sum += loads[block];
        }
        return sum;
    }

    /** Returns the decayed load of all slots. */
    public double total() {
        return load(0, KeySegment.SLOTS - 1);
    }

    private void decay(long now) {
        if (decayedAt == Long.MIN_VALUE) {
            decayedAt = now;
        }
        // Decays at most every 200 ms, because each decay updates all blocks.
        if (now - decayedAt >= 200) {
            double factor = Math.pow(0.5, (now - decayedAt) / HALF_LIFE_MILLIS);
            for (int i = 0; i < loads.length; i++) {
                loads[i] *= factor;
            }
            decayedAt = now;
        }
    }
}
