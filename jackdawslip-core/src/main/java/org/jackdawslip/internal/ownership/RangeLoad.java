package org.jackdawslip.internal.ownership;

import java.util.List;

/**
 * The load of one range. Immutable and thread-safe.
 *
 * @param range the range
 * @param slots the average number of occupied slots, that is, slot seconds per second
 * @param keys the hot keys of the range, in descending order of load
 */
public record RangeLoad(KeyRange range, double slots, List<KeyLoad> keys) {

    /** Makes a defensive copy. */
    public RangeLoad {
        keys = List.copyOf(keys);
    }
}
