package org.jackdawslip.internal.keyspace;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.jackdawslip.BackendServerId;

/**
 * Plans moves of key slots from overloaded owners to less loaded ones.
 *
 * <p>Stateless and thread-safe.
 */
public final class KeyRebalancer {

    /**
     * Load above which slots of an owner are moved, as a multiple of its fair share. Counts over seconds vary
     * by 20 %.
     */
    private static final double OVERLOAD_FACTOR = 1.4;
    /** A hot block moves only to an owner whose relative load remains below this share of the old one. */
    private static final double MAX_RELATIVE_LOAD_AFTER_MOVE = 0.8;
    /** Moves per round; there is a round about every second. */
    private static final int MAX_MOVES_PER_ROUND = 6;
    /**
     * Average number of segments per owner above which segments are not split; each segment costs renewals.
     */
    private static final int MAX_SEGMENTS_PER_OWNER = 24;

    private KeyRebalancer() {}

    /**
     * Plans one round of moves.
     *
     * @param segments the segments that may move
     * @param capacities the owners that may receive slots, with their relative speed
     */
    public static List<KeyMove> plan(
            List<KeySegment> segments, Map<BackendServerId, Double> capacities, KeyLoads loads) {
        List<KeyMove> moves = new ArrayList<>();
        double totalLoad = loads.total();
        double totalCapacity =
                capacities.values().stream().mapToDouble(Double::doubleValue).sum();
        if (capacities.size() < 2 || totalLoad <= 0 || totalCapacity <= 0) {
            return moves;
        }
        List<KeySegment> movable = new ArrayList<>(segments);
        Map<BackendServerId, Double> loadByOwner = new HashMap<>();
        capacities.keySet().forEach(owner -> loadByOwner.put(owner, 0.0));
        for (KeySegment segment : movable) {
            loadByOwner.merge(segment.owner(), loads.load(segment.first(), segment.last()), Double::sum);
        }
        Map<BackendServerId, Double> sources = new TreeMap<>(capacities);
        while (moves.size() < MAX_MOVES_PER_ROUND
                && !sources.isEmpty()
                && movable.size() <= MAX_SEGMENTS_PER_OWNER * capacities.size()) {
            BackendServerId from = ownerWithExtremeLoad(loadByOwner, sources, true);
            if (loadByOwner.get(from) < OVERLOAD_FACTOR * totalLoad * capacities.get(from) / totalCapacity) {
                break;
            }
            KeyMove move = bestMove(from, movable, loadByOwner, capacities, loads);
            if (move == null) {
                sources.remove(from);
                continue;
            }
            double moved = loads.load(move.first(), move.last());
            loadByOwner.merge(from, -moved, Double::sum);
            loadByOwner.merge(move.target(), moved, Double::sum);
            removeMoved(movable, move);
            moves.add(move);
        }
        return moves;
    }

    /** Returns the best move of slots away from an owner, or null if no move reduces its overload. */
    private static KeyMove bestMove(
            BackendServerId from,
            List<KeySegment> movable,
            Map<BackendServerId, Double> loadByOwner,
            Map<BackendServerId, Double> capacities,
            KeyLoads loads) {
        double fairLoadPerCapacity = loads.total()
                / capacities.values().stream().mapToDouble(Double::doubleValue).sum();
        BackendServerId to = ownerWithExtremeLoad(loadByOwner, capacities, false);
        double desiredLoad = Math.min(
                loadByOwner.get(from) - fairLoadPerCapacity * capacities.get(from),
                fairLoadPerCapacity * capacities.get(to) - loadByOwner.get(to));
        KeySegment subsegment = desiredLoad <= 0 ? null : bestSubsegment(movable, from, desiredLoad, loads);
        return subsegment != null
                ? new KeyMove(subsegment.first(), subsegment.last(), to)
                : hottestBlockToFasterOwner(from, movable, loadByOwner, capacities, loads);
    }

    /**
     * Returns a move of the hottest block to a faster owner, or null. The load of one key cannot be divided,
     * but a faster owner serves more of its requests.
     */
    private static KeyMove hottestBlockToFasterOwner(
            BackendServerId from,
            List<KeySegment> movable,
            Map<BackendServerId, Double> loadByOwner,
            Map<BackendServerId, Double> capacities,
            KeyLoads loads) {
        int block = hottestBlock(movable, from, loads);
        if (block < 0) {
            return null;
        }
        double load = blockLoad(loads, block);
        double lowestRelativeLoad = MAX_RELATIVE_LOAD_AFTER_MOVE * loadByOwner.get(from) / capacities.get(from);
        BackendServerId target = null;
        for (Map.Entry<BackendServerId, Double> entry : capacities.entrySet()) {
            double relativeLoadAfter = (loadByOwner.get(entry.getKey()) + load) / entry.getValue();
            if (!entry.getKey().equals(from) && relativeLoadAfter < lowestRelativeLoad) {
                lowestRelativeLoad = relativeLoadAfter;
                target = entry.getKey();
            }
        }
        int first = block * KeyLoads.SLOTS_PER_BLOCK;
        return target == null ? null : new KeyMove(first, first + KeyLoads.SLOTS_PER_BLOCK - 1, target);
    }

    /** Returns the hottest block of the owner that lies inside one segment, or -1 if there is none. */
    private static int hottestBlock(List<KeySegment> segments, BackendServerId owner, KeyLoads loads) {
        int hottest = -1;
        double highestLoad = 0;
        for (KeySegment segment : segments) {
            if (!segment.owner().equals(owner)) {
                continue;
            }
            int firstWhole = (segment.first() + KeyLoads.SLOTS_PER_BLOCK - 1) / KeyLoads.SLOTS_PER_BLOCK;
            for (int block = firstWhole; (block + 1) * KeyLoads.SLOTS_PER_BLOCK - 1 <= segment.last(); block++) {
                double load = blockLoad(loads, block);
                if (load > highestLoad) {
                    highestLoad = load;
                    hottest = block;
                }
            }
        }
        return hottest;
    }

    /** Returns the owner with the highest or the lowest load relative to its capacity. */
    private static BackendServerId ownerWithExtremeLoad(
            Map<BackendServerId, Double> loadByOwner, Map<BackendServerId, Double> capacities, boolean highest) {
        BackendServerId best = null;
        double bestRelativeLoad = 0;
        for (Map.Entry<BackendServerId, Double> entry : capacities.entrySet()) {
            double relativeLoad = loadByOwner.get(entry.getKey()) / entry.getValue();
            if (best == null || (highest ? relativeLoad > bestRelativeLoad : relativeLoad < bestRelativeLoad)) {
                best = entry.getKey();
                bestRelativeLoad = relativeLoad;
            }
        }
        return best;
    }

    /** Returns the hottest part of a segment of the owner with up to 1.1 times the desired load, or null. */
    private static KeySegment bestSubsegment(
            List<KeySegment> segments, BackendServerId owner, double desiredLoad, KeyLoads loads) {
        KeySegment best = null;
        double bestLoad = 0;
        for (KeySegment segment : segments) {
            if (!segment.owner().equals(owner)) {
                continue;
            }
            KeySegment subsegment = hottestRun(segment, desiredLoad, loads);
            double load = subsegment == null ? 0 : loads.load(subsegment.first(), subsegment.last());
            if (load > bestLoad) {
                best = subsegment;
                bestLoad = load;
            }
        }
        return bestLoad < desiredLoad * 0.1 ? null : best;
    }

    /** Returns the hottest run of blocks of the segment with up to 1.1 times the desired load, or null. */
    private static KeySegment hottestRun(KeySegment segment, double desiredLoad, KeyLoads loads) {
        double maxLoad = desiredLoad * 1.1;
        int firstBlock = segment.first() / KeyLoads.SLOTS_PER_BLOCK;
        int lastBlock = segment.last() / KeyLoads.SLOTS_PER_BLOCK;
        int start = firstBlock;
        double sum = 0;
        double bestSum = 0;
        int bestStart = -1;
        int bestEnd = -1;
        for (int end = firstBlock; end <= lastBlock; end++) {
            sum += blockLoad(loads, end);
            while (sum > maxLoad && start <= end) {
                sum -= blockLoad(loads, start);
                start++;
            }
            if (sum > bestSum * 1.0001) {
                bestSum = sum;
                bestStart = start;
                bestEnd = end;
            }
        }
        if (bestStart < 0) {
            return null;
        }
        int first = Math.max(segment.first(), bestStart * KeyLoads.SLOTS_PER_BLOCK);
        int last = Math.min(segment.last(), bestEnd * KeyLoads.SLOTS_PER_BLOCK + KeyLoads.SLOTS_PER_BLOCK - 1);
        return segment.subsegment(first, last);
    }

    private static double blockLoad(KeyLoads loads, int block) {
        return loads.load(
                block * KeyLoads.SLOTS_PER_BLOCK, block * KeyLoads.SLOTS_PER_BLOCK + KeyLoads.SLOTS_PER_BLOCK - 1);
    }

    /** Replaces the segment that contains the moved slots by its remaining parts. */
    private static void removeMoved(List<KeySegment> segments, KeyMove move) {
        for (int i = 0; i < segments.size(); i++) {
            KeySegment segment = segments.get(i);
            if (segment.first() <= move.first() && move.last() <= segment.last()) {
                segments.remove(i);
                if (segment.first() < move.first()) {
                    segments.add(segment.subsegment(segment.first(), move.first() - 1));
                }
                if (move.last() < segment.last()) {
                    segments.add(segment.subsegment(move.last() + 1, segment.last()));
                }
                return;
            }
        }
    }
}
