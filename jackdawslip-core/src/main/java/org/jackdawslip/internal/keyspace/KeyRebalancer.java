package org.jackdawslip.internal.keyspace;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.jackdawslip.BackendServerId;

/**
 * Plans moves of busy key slots from loaded owners to less loaded ones.
 *
 * <p>Stateless and thread-safe.
 */
public final class KeyRebalancer {

    /** An owner with more than this multiple of its fair load is relieved; counts of seconds vary by a fifth. */
    private static final double OVERLOADED = 1.4;
    /** A key moves to a faster owner only if the load relative to the speed falls to this part. */
    private static final double MIN_RELIEF = 0.8;
    /** Moves planned at once; a round follows every second or so. */
    private static final int MOVES_PER_ROUND = 6;
    /** Segments an owner may have on average before splits stop; each segment costs a renewal. */
    private static final int SEGMENTS_PER_OWNER = 24;

    private KeyRebalancer() {}

    /**
     * Plans one round.
     *
     * @param segments the segments that may move
     * @param capacities the owners that may receive slots, with their relative speed
     */
    public static List<KeyMove> plan(
            List<KeySegment> segments, Map<BackendServerId, Double> capacities, KeyLoads loads) {
        List<KeyMove> moves = new ArrayList<>();
        double total = loads.total();
        double capacity =
                capacities.values().stream().mapToDouble(Double::doubleValue).sum();
        if (capacities.size() < 2 || total <= 0 || capacity <= 0) {
            return moves;
        }
        List<KeySegment> movable = new ArrayList<>(segments);
        Map<BackendServerId, Double> owned = new HashMap<>();
        capacities.keySet().forEach(owner -> owned.put(owner, 0.0));
        for (KeySegment segment : movable) {
            owned.merge(segment.owner(), loads.load(segment.first(), segment.last()), Double::sum);
        }
        Map<BackendServerId, Double> relievable = new TreeMap<>(capacities);
        while (moves.size() < MOVES_PER_ROUND
                && !relievable.isEmpty()
                && movable.size() <= SEGMENTS_PER_OWNER * capacities.size()) {
            BackendServerId from = extreme(owned, relievable, true);
            if (owned.get(from) < OVERLOADED * total * capacities.get(from) / capacity) {
                break;
            }
            KeyMove move = relief(from, movable, owned, capacities, loads);
            if (move == null) {
                relievable.remove(from);
                continue;
            }
            double moved = loads.load(move.first(), move.last());
            owned.merge(from, -moved, Double::sum);
            owned.merge(move.target(), moved, Double::sum);
            cut(movable, move);
            moves.add(move);
        }
        return moves;
    }

    /** Returns the best move away from an owner, or null if none helps. */
    private static KeyMove relief(
            BackendServerId from,
            List<KeySegment> movable,
            Map<BackendServerId, Double> owned,
            Map<BackendServerId, Double> capacities,
            KeyLoads loads) {
        double perCapacity = loads.total()
                / capacities.values().stream().mapToDouble(Double::doubleValue).sum();
        BackendServerId to = extreme(owned, capacities, false);
        double wanted = Math.min(
                owned.get(from) - perCapacity * capacities.get(from), perCapacity * capacities.get(to) - owned.get(to));
        KeySegment piece = wanted <= 0 ? null : bestPiece(movable, from, wanted, loads);
        return piece != null
                ? new KeyMove(piece.first(), piece.last(), to)
                : hotBlockToFasterOwner(from, movable, owned, capacities, loads);
    }

    /** One key can be too busy for its owner. It cannot be divided, but a faster server serves more of its requests. */
    private static KeyMove hotBlockToFasterOwner(
            BackendServerId from,
            List<KeySegment> movable,
            Map<BackendServerId, Double> owned,
            Map<BackendServerId, Double> capacities,
            KeyLoads loads) {
        int block = busiestBlock(movable, from, loads);
        if (block < 0) {
            return null;
        }
        double load = blockLoad(loads, block);
        double best = MIN_RELIEF * owned.get(from) / capacities.get(from);
        BackendServerId fastest = null;
        for (Map.Entry<BackendServerId, Double> entry : capacities.entrySet()) {
            double after = (owned.get(entry.getKey()) + load) / entry.getValue();
            if (!entry.getKey().equals(from) && after < best) {
                best = after;
                fastest = entry.getKey();
            }
        }
        int first = block * KeyLoads.BLOCK;
        return fastest == null ? null : new KeyMove(first, first + KeyLoads.BLOCK - 1, fastest);
    }

    /** Returns the busiest block of the owner that lies inside one segment, or -1 if there is none. */
    private static int busiestBlock(List<KeySegment> segments, BackendServerId owner, KeyLoads loads) {
        int busiest = -1;
        double most = 0;
        for (KeySegment segment : segments) {
            if (!segment.owner().equals(owner)) {
                continue;
            }
            int firstWhole = (segment.first() + KeyLoads.BLOCK - 1) / KeyLoads.BLOCK;
            for (int block = firstWhole; (block + 1) * KeyLoads.BLOCK - 1 <= segment.last(); block++) {
                double load = blockLoad(loads, block);
                if (load > most) {
                    most = load;
                    busiest = block;
                }
            }
        }
        return busiest;
    }

    private static BackendServerId extreme(
            Map<BackendServerId, Double> owned, Map<BackendServerId, Double> capacities, boolean highest) {
        BackendServerId best = null;
        double bestRelative = 0;
        for (Map.Entry<BackendServerId, Double> entry : capacities.entrySet()) {
            double relative = owned.get(entry.getKey()) / entry.getValue();
            if (best == null || (highest ? relative > bestRelative : relative < bestRelative)) {
                best = entry.getKey();
                bestRelative = relative;
            }
        }
        return best;
    }

    /** Finds the piece of a segment of the owner whose load comes closest to the wanted one without passing it much. */
    private static KeySegment bestPiece(
            List<KeySegment> segments, BackendServerId owner, double wanted, KeyLoads loads) {
        KeySegment best = null;
        double bestLoad = 0;
        for (KeySegment segment : segments) {
            if (!segment.owner().equals(owner)) {
                continue;
            }
            KeySegment piece = prefix(segment, wanted, loads);
            double load = piece == null ? 0 : loads.load(piece.first(), piece.last());
            if (load > bestLoad) {
                best = piece;
                bestLoad = load;
            }
        }
        return bestLoad < wanted * 0.1 ? null : best;
    }

    /** Returns the busiest run of blocks of the segment with at most the wanted load, or null. */
    private static KeySegment prefix(KeySegment segment, double wanted, KeyLoads loads) {
        double limit = wanted * 1.1;
        int firstBlock = segment.first() / KeyLoads.BLOCK;
        int lastBlock = segment.last() / KeyLoads.BLOCK;
        int start = firstBlock;
        double sum = 0;
        double bestSum = 0;
        int bestStart = -1;
        int bestEnd = -1;
        for (int end = firstBlock; end <= lastBlock; end++) {
            sum += blockLoad(loads, end);
            while (sum > limit && start <= end) {
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
        int first = Math.max(segment.first(), bestStart * KeyLoads.BLOCK);
        int last = Math.min(segment.last(), bestEnd * KeyLoads.BLOCK + KeyLoads.BLOCK - 1);
        return segment.part(first, last);
    }

    private static double blockLoad(KeyLoads loads, int block) {
        return loads.load(block * KeyLoads.BLOCK, block * KeyLoads.BLOCK + KeyLoads.BLOCK - 1);
    }

    private static void cut(List<KeySegment> segments, KeyMove piece) {
        for (int i = 0; i < segments.size(); i++) {
            KeySegment segment = segments.get(i);
            if (segment.first() <= piece.first() && piece.last() <= segment.last()) {
                segments.remove(i);
                if (segment.first() < piece.first()) {
                    segments.add(segment.part(segment.first(), piece.first() - 1));
                }
                if (piece.last() < segment.last()) {
                    segments.add(segment.part(piece.last() + 1, segment.last()));
                }
                return;
            }
        }
    }
}
