package org.jackdawslip.internal.keyspace;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.jackdawslip.FencingToken;
import org.jackdawslip.internal.durable.StoreEra;

/**
 * The owners of all key slots of one service. Immutable and thread-safe.
 *
 * <p>Invariants: segments are ordered and do not overlap; the token of each segment is lower than the next
 * token. Slots without a segment have no owner.
 */
public final class KeyTable {

    private final List<KeySegment> segments;
    private final FencingToken nextToken;
    private final StoreEra era;

    /** Creates a table from segments in any order, for a store that states no era. */
    public KeyTable(List<KeySegment> segments, FencingToken nextToken) {
        this(segments, nextToken, StoreEra.NONE);
    }

    /**
     * Creates a table from segments in any order.
     *
     * @param era the era of the store in which the table is written
     */
    public KeyTable(List<KeySegment> segments, FencingToken nextToken, StoreEra era) {
        List<KeySegment> sorted = new ArrayList<>(segments);
        sorted.sort(Comparator.comparingInt(KeySegment::first));
        this.segments = List.copyOf(sorted);
        this.nextToken = nextToken;
        this.era = era;
    }

    /** Returns a table without owners. */
    public static KeyTable empty() {
        return new KeyTable(List.of(), new FencingToken(1));
    }

    /** Returns the segments in ascending order of their slots. */
    public List<KeySegment> segments() {
        return segments;
    }

    /** Returns the fencing token for the next grants to new owners. */
    public FencingToken nextToken() {
        return nextToken;
    }

    /** Returns the era of the store in which the table was written, {@link StoreEra#NONE} if it states none. */
    public StoreEra era() {
        return era;
    }

    /** Returns the segment that contains the slot, or null if the slot has no owner. */
    public KeySegment find(int slot) {
        int low = 0;
        int high = segments.size() - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            KeySegment segment = segments.get(middle);
            if (slot < segment.first()) {
                high = middle - 1;
            } else if (slot > segment.last()) {
                low = middle + 1;
            } else {
                return segment;
            }
        }
        return null;
    }
}
