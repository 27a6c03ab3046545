package org.jackdawslip.internal.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.internal.ownership.KeyLoad;
import org.jackdawslip.internal.ownership.KeyRange;
import org.jackdawslip.internal.ownership.RangeLoad;

/**
 * Measures the load of each key range of one service at its sender: the average number of occupied slots,
 * exponentially decayed.
 *
 * <p>Memory is about 120 bytes for each owned range and 3 KB for the hot keys. Not thread-safe; the caller
 * serializes calls. Times are monotonic milliseconds and must not decrease.
 */
public final class RangeLoadMeter {

    /**
     * The time constant of the decay: long enough to average out noise, short enough to follow changing hot
     * keys.
     */
    static final double DECAY_TIME_CONSTANT_SECONDS = 5;
    /**
     * The number of hot key counters: eight times the keys that a report lists, so that the error of a
     * counter stays below the work of the listed keys.
     */
    static final int HOT_KEY_COUNTERS = 32;

    /**
     * Decay of all counters at each request would cost too much CPU time; this interval adds an error of 2 %.
     */
    private static final long HOT_KEY_DECAY_INTERVAL_MILLIS = 100;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double MICROS_PER_SECOND = 1_000_000;

    private final Map<BackendServerId, Map<KeyRange, RangeCounter>> servers = new HashMap<>();
    private final TreeMap<Long, RangeCounter> countersByFirstHash = new TreeMap<>(Long::compareUnsigned);
    private final HotKeyCounters hotKeys = new HotKeyCounters(HOT_KEY_COUNTERS);
    private long hotKeysDecayedAtMillis = Long.MIN_VALUE;
    private long hotKeysSinceMillis = Long.MIN_VALUE;

    private static final class RangeCounter {
        private final KeyRange range;
        private final long assignedAtMillis;
        private double work;
        private long decayedAtMillis;

        private RangeCounter(KeyRange range, long now) {
            this.range = range;
            this.assignedAtMillis = now;
            this.decayedAtMillis = now;
        }

        private void decay(long now) {
            work *= decayFactor(now - decayedAtMillis);
            decayedAtMillis = now;
        }
    }

    private static double decayFactor(long millis) {
        return Math.exp(-millis / (MILLIS_PER_SECOND * DECAY_TIME_CONSTANT_SECONDS));
    }

    /**
     * Sets the key ranges of a backend server. A range that was assigned before keeps its load; a new one has
     * none.
     */
    public void assignRanges(BackendServerId server, Collection<KeyRange> ranges, long now) {
        Map<KeyRange, RangeCounter> previous = servers.getOrDefault(server, Map.of());
        if (previous.size() == ranges.size() && previous.keySet().containsAll(ranges)) {
            return;
        }
        Map<KeyRange, RangeCounter> counters = new HashMap<>();
        for (KeyRange range : ranges) {
            RangeCounter existing = previous.get(range);
            counters.put(range, existing == null ? new RangeCounter(range, now) : existing);
        }
        servers.put(server, counters);
        rebuildIndex();
    }

    /** Removes a backend server and its ranges. */
    public void removeServer(BackendServerId server) {
        if (servers.remove(server) != null) {
            rebuildIndex();
        }
    }

    private void rebuildIndex() {
        countersByFirstHash.clear();
        servers.values().forEach(counters -> counters.values()
                .forEach(counter -> countersByFirstHash.put(counter.range.first(), counter)));
    }

    /**
     * Adds the slot time of one request. Requests outside of the assigned ranges are ignored.
     *
     * @param hash the hash of the key
     * @param slotMicros the time for which the request occupied a slot, in microseconds
     * @param now the monotonic time in milliseconds
     */
    public void addSlotTime(long hash, long slotMicros, long now) {
        Map.Entry<Long, RangeCounter> entry = countersByFirstHash.floorEntry(hash);
        if (entry == null || !entry.getValue().range.contains(hash)) {
            return;
        }
        double work = slotMicros / MICROS_PER_SECOND;
        RangeCounter counter = entry.getValue();
        counter.decay(now);
        counter.work += work;
        if (hotKeysSinceMillis == Long.MIN_VALUE) {
            hotKeysSinceMillis = now;
            hotKeysDecayedAtMillis = now;
        }
        if (now - hotKeysDecayedAtMillis >= HOT_KEY_DECAY_INTERVAL_MILLIS) {
            decayHotKeys(now);
        }
        hotKeys.add(hash, work);
    }

    private void decayHotKeys(long now) {
        hotKeys.decay(decayFactor(now - hotKeysDecayedAtMillis));
        hotKeysDecayedAtMillis = now;
    }

    /** Returns the load of each range of a backend server with its hot keys, in descending order of load. */
    public List<RangeLoad> loads(BackendServerId server, long now) {
        Map<KeyRange, RangeCounter> counters = servers.getOrDefault(server, Map.of());
        Map<KeyRange, List<KeyLoad>> hotKeysByRange = new HashMap<>();
        decayHotKeys(now);
        hotKeys.lowerBounds().forEach((hash, work) -> {
            Map.Entry<Long, RangeCounter> entry = countersByFirstHash.floorEntry(hash);
            if (entry != null && entry.getValue().range.contains(hash) && work > 0) {
                double rate = Math.min(rate(work, now - hotKeysSinceMillis), rate(entry.getValue(), now));
                hotKeysByRange
                        .computeIfAbsent(entry.getValue().range, unused -> new ArrayList<>())
                        .add(new KeyLoad(hash, rate));
            }
        });
        List<RangeLoad> result = new ArrayList<>();
        for (RangeCounter counter : counters.values()) {
            List<KeyLoad> rangeHotKeys = new ArrayList<>(hotKeysByRange.getOrDefault(counter.range, List.of()));
            rangeHotKeys.sort(Comparator.comparingDouble(KeyLoad::slots).reversed());
            result.add(new RangeLoad(counter.range, rate(counter, now), rangeHotKeys));
        }
        result.sort(Comparator.comparingDouble(RangeLoad::slots).reversed().thenComparing(RangeLoad::range));
        return result;
    }

    private static double rate(RangeCounter counter, long now) {
        counter.decay(now);
        return rate(counter.work, now - counter.assignedAtMillis);
    }

    /**
     * Converts decayed work to a rate. The divisor is the work that a constant rate of 1 accumulates in the
     * given time, so that the load of a recently assigned range is not underestimated.
     */
    private static double rate(double work, long ageMillis) {
        return ageMillis <= 0 ? 0 : work / (DECAY_TIME_CONSTANT_SECONDS * (1 - decayFactor(ageMillis)));
    }
}
