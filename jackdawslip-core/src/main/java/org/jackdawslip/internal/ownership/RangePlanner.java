package org.jackdawslip.internal.ownership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.jackdawslip.BackendServerId;

/**
 * Places ranges on backend servers by rendezvous hashing with bounded load. Equal inputs give equal results,
 * and when a backend server is added or removed, only ranges from or to that server move. Stateless and
 * thread-safe.
 */
final class RangePlanner {

    /**
     * The most ranges of a backend server as a multiple of the mean; 1.25 is the usual bound of this method.
     */
    private static final double MAX_LOAD_RATIO = 1.25;

    private RangePlanner() {}

    /** Returns the backend server for one more range, given the number of ranges of each backend server. */
    static Optional<BackendServerId> place(KeyRange range, Map<BackendServerId, Integer> rangeCounts, int totalRanges) {
        int maxRanges = (int) Math.ceil(MAX_LOAD_RATIO * totalRanges / Math.max(1, rangeCounts.size()));
        return rangeCounts.entrySet().stream()
                .filter(entry -> entry.getValue() < maxRanges)
                .map(Map.Entry::getKey)
                .max(Comparator.<BackendServerId>comparingLong(server -> score(range, server))
                        .thenComparing(Comparator.naturalOrder()));
    }

    /**
     * Returns one move to a backend server that has too few ranges, such as one that returned. Backend
     * servers with sufficient load get no further ranges, however few they have.
     */
    static Optional<Move> refill(
            Map<KeyRange, BackendServerId> owners,
            Map<BackendServerId, Integer> rangeCounts,
            Set<BackendServerId> sufficientlyLoaded,
            int totalRanges) {
        if (rangeCounts.size() < 2 || sufficientlyLoaded.containsAll(rangeCounts.keySet())) {
            return Optional.empty();
        }
        Comparator<BackendServerId> byRangeCount =
                Comparator.<BackendServerId>comparingInt(rangeCounts::get).thenComparing(Comparator.naturalOrder());
        BackendServerId target = rangeCounts.keySet().stream()
                .filter(server -> !sufficientlyLoaded.contains(server))
                .min(byRangeCount)
                .orElseThrow();
        BackendServerId source = rangeCounts.keySet().stream().max(byRangeCount).orElseThrow();
        int minRanges = (int) Math.floor(totalRanges / MAX_LOAD_RATIO / rangeCounts.size());
        if (rangeCounts.get(target) >= minRanges || rangeCounts.get(source) - rangeCounts.get(target) < 2) {
            return Optional.empty();
        }
        return owners.entrySet().stream()
                .filter(entry -> entry.getValue().equals(source))
                .map(Map.Entry::getKey)
                .max(Comparator.<KeyRange>comparingLong(range -> score(range, target))
                        .thenComparing(Comparator.naturalOrder()))
                .map(range -> new Move(range, target));
    }

    /** Returns the candidate with the highest rendezvous score for a name. */
    static <T extends Comparable<T>> Optional<T> preferred(String name, Collection<T> candidates) {
        return List.copyOf(candidates).stream()
                .max(Comparator.<T>comparingLong(candidate -> KeyHash.of(name + '/' + candidate))
                        .thenComparing(Comparator.naturalOrder()));
    }

    private static long score(KeyRange range, BackendServerId server) {
        return KeyHash.of(range.first() + "/" + server.value());
    }

    /** A move of a range to a backend server. */
    record Move(KeyRange range, BackendServerId to) {}
}
