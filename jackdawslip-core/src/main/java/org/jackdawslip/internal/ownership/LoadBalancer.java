package org.jackdawslip.internal.ownership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FencingToken;

/**
 * Chooses which ranges of one service are split, merged or moved, so that no backend server has much more
 * load than the mean. It only chooses; {@link RangeAssigner} makes each move safe.
 *
 * <p>Invariants: after a requested change the table has at most {@code homes + 4 * servers} ranges of the
 * service. At most {@code max(servers, homes / 8)} moves are requested per minute, after a burst of at most
 * the same number. A backend server takes part in at most one move per second. A split or merge keeps owner
 * and token. Not thread-safe; the caller serializes calls.
 */
public final class LoadBalancer {

    /**
     * A backend server with more load than this multiple of the mean for {@link #OVERLOAD_HOLD_MILLIS} is
     * overloaded.
     */
    static final double OVERLOAD_START_RATIO = 1.3;
    /**
     * An overloaded backend server stays overloaded until its load is below this multiple of the mean, so
     * that one move does not lead to another one soon after.
     */
    static final double OVERLOAD_END_RATIO = 1.15;

    /** How long the load of a backend server must be above the limit, so that short peaks cause no moves. */
    static final long OVERLOAD_HOLD_MILLIS = 3_000;
    /**
     * The least interval between two rounds of changes. A round publishes two tables, so moves share a round.
     */
    static final long ROUND_INTERVAL_MILLIS = 2_000;

    /** The least interval between two moves from or to one backend server. */
    static final long SERVER_INTERVAL_MILLIS = 1_000;
    /** The number of ranges per backend server that splits may add to the table. */
    static final int EXTRA_RANGES_PER_SERVER = 4;

    /** The number of homes ranges for each move that is allowed per minute. */
    private static final double RANGES_PER_MOVE_AND_MINUTE = 8;

    private static final double MINUTE_MILLIS = 60_000;
    /**
     * How long the expected load of a changed range replaces the reported one. A move takes about 1 s, the
     * next report comes up to 1 s later, and the load meter needs further time to adapt.
     */
    private static final long EXPECTATION_MILLIS = 5_000;
    /** A backend server with less load than a twentieth of a slot is never overloaded. */
    private static final double NEGLIGIBLE_SLOTS = 0.05;
    /**
     * The cost of a move as a share of the moved load. The gain of a move lasts about 30 s, because hot keys
     * change within minutes. The moved keys are not served for about 1 s, and a second of waiting for a moved
     * key counts three times as much as a second of load above the mean.
     */
    private static final double UNAVAILABILITY_COST = 3.0 / 30;
    /** The cost of rebuilding state at the new owner, as a share of the total load for a move of all keys. */
    private static final double STATE_COST = 0.2;
    /**
     * The least gain of a move as a share of the mean load; a lower gain does not justify two tables to all
     * members. With a share of 0.05, the owner of a dominating key keeps its other ranges, because the gain
     * of each of them is too low.
     */
    private static final double MIN_GAIN_SHARE = 0.01;

    /** The number of hot keys per range that are considered for a move of their own. */
    private static final int HOT_KEYS_PER_RANGE = 3;
    /** Neighbouring ranges that together have less load than this share of the mean are merged. */
    private static final double LOW_LOAD_SHARE = 0.5;

    private final Map<BackendServerId, Long> overloadedSince = new HashMap<>();
    private final Map<BackendServerId, Long> movedAt = new HashMap<>();
    private final Map<KeyRange, ExpectedLoad> expectedLoads = new HashMap<>();
    private double moveBudget;
    private long budgetRefilledAt = Long.MIN_VALUE;
    private long nextRoundAt;

    /** The expected load of a range that changed, used until reports reflect the change. */
    private record ExpectedLoad(double slots, long until, Optional<BackendServerId> movedTo) {}

    /**
     * One range of the assignment table.
     *
     * @param range the hashes of the range
     * @param home the range of the homes record that contains {@code range}
     * @param owner the owner; empty while the range is moving
     * @param token the range token of the owner, or of the last owner while the range is moving
     */
    public record TableRange(KeyRange range, KeyRange home, Optional<BackendServerId> owner, FencingToken token) {

        boolean isOwnedBy(BackendServerId server) {
            return owner.equals(Optional.of(server));
        }

        TableRange withRange(KeyRange other) {
            return new TableRange(other, home, owner, token);
        }
    }

    /** One change of the assignment table. Changes are applied in order. */
    public sealed interface Change {
        /** Replaces a range by parts with the same owner and token. */
        record Split(KeyRange range, List<KeyRange> parts) implements Change {}

        /** Replaces neighbouring ranges with the same owner and token by one range. */
        record Merge(List<KeyRange> parts, KeyRange merged) implements Change {}

        /** Releases neighbouring ranges and assigns them to a backend server as one range. */
        record Move(List<KeyRange> parts, KeyRange merged, BackendServerId to) implements Change {}
    }

    /** A possible move of a range, which is the whole of a table range or a part of it. */
    private record Candidate(TableRange tableRange, KeyRange range, double slots, double score) {}

    /**
     * Returns the changes that reduce overload now.
     *
     * @param now the monotonic time in milliseconds, which must not decrease
     * @param tableRanges all ranges of the service in the assignment table
     * @param loads the newest load report of each backend server
     * @param targets the backend servers that may get ranges
     * @return the changes in the order in which the caller must apply them
     */
    public List<Change> decide(
            long now,
            Collection<TableRange> tableRanges,
            Map<BackendServerId, ServerLoad> loads,
            Set<BackendServerId> targets) {
        expectedLoads.values().removeIf(entry -> now >= entry.until());
        Map<KeyRange, Double> expectedSlots = new HashMap<>();
        expectedLoads.forEach((range, entry) -> expectedSlots.put(range, entry.slots()));
        LoadEstimate estimate = new LoadEstimate(tableRanges, loads, targets, expectedSlots);
        for (TableRange tableRange : tableRanges) {
            ExpectedLoad moving = expectedLoads.get(tableRange.range());
            if (tableRange.owner().isEmpty() && moving != null) {
                moving.movedTo().ifPresent(server -> estimate.addMoving(server, moving.slots()));
            }
        }
        int homeRanges =
                (int) tableRanges.stream().map(TableRange::home).distinct().count();
        refillBudget(now, Math.max(estimate.servers().size(), homeRanges / RANGES_PER_MOVE_AND_MINUTE));
        updateOverloads(now, estimate);
        if (now < nextRoundAt) {
            return List.of();
        }
        List<Change> changes = new ArrayList<>();
        mergeLowLoadNeighbours(now, estimate, changes);
        int maxRanges =
                homeRanges + EXTRA_RANGES_PER_SERVER * estimate.servers().size();
        isolateDominatingKeys(now, estimate, maxRanges, changes);
        moveFromOverloaded(now, estimate, targets, maxRanges, changes);
        if (estimate.size() - homeRanges > (maxRanges - homeRanges) / 2) {
            mergeByMove(now, estimate, targets, changes);
        }
        if (!changes.isEmpty()) {
            nextRoundAt = now + ROUND_INTERVAL_MILLIS;
        }
        return changes;
    }

    /** Discards all observations. To be called after a time without decisions. */
    public void reset() {
        overloadedSince.clear();
        expectedLoads.clear();
    }

    private void refillBudget(long now, double perMinute) {
        moveBudget = budgetRefilledAt == Long.MIN_VALUE
                ? perMinute
                : Math.min(perMinute, moveBudget + perMinute * (now - budgetRefilledAt) / MINUTE_MILLIS);
        budgetRefilledAt = now;
    }

    /** Updates the times since which backend servers are overloaded. */
    private void updateOverloads(long now, LoadEstimate estimate) {
        double mean = estimate.mean();
        overloadedSince.keySet().retainAll(estimate.servers().keySet());
        estimate.servers().forEach((server, load) -> {
            Long since = overloadedSince.get(server);
            if (load > OVERLOAD_START_RATIO * mean && load > NEGLIGIBLE_SLOTS) {
                overloadedSince.putIfAbsent(server, now);
            } else if (since != null && (load < OVERLOAD_END_RATIO * mean || now - since < OVERLOAD_HOLD_MILLIS)) {
                overloadedSince.remove(server);
            }
        });
    }

    /**
     * Splits off each key with more load than the mean, so that all other ranges can move away from its
     * owner.
     */
    private void isolateDominatingKeys(long now, LoadEstimate estimate, int maxRanges, List<Change> changes) {
        for (TableRange tableRange : List.copyOf(estimate.tableRanges())) {
            List<KeyLoad> keys = estimate.hotKeys(tableRange.range());
            if (tableRange.owner().filter(owner -> isOverloaded(now, owner)).isEmpty()
                    || keys.isEmpty()
                    || keys.get(0).slots() <= estimate.mean()
                    || tableRange.range().first() == tableRange.range().last()) {
                continue;
            }
            long hash = keys.get(0).hash();
            List<KeyRange> pieces = splitAround(tableRange.range(), new KeyRange(hash, hash));
            if (estimate.size() + pieces.size() - 1 <= maxRanges) {
                split(now, estimate, tableRange, pieces, changes);
            }
        }
    }

    private void split(
            long now, LoadEstimate estimate, TableRange tableRange, List<KeyRange> pieces, List<Change> changes) {
        changes.add(new Change.Split(tableRange.range(), pieces));
        estimate.replace(
                tableRange.range(), pieces.stream().map(tableRange::withRange).toList());
        pieces.forEach(piece -> setExpectation(now, piece, estimate.slots(piece), Optional.empty()));
    }

    private boolean isOverloaded(long now, BackendServerId server) {
        Long since = overloadedSince.get(server);
        return since != null && now - since >= OVERLOAD_HOLD_MILLIS;
    }

    private boolean mayMove(long now, BackendServerId server) {
        return now - movedAt.getOrDefault(server, now - SERVER_INTERVAL_MILLIS) >= SERVER_INTERVAL_MILLIS;
    }

    /** Moves ranges from overloaded backend servers to the ones with the least load. */
    private void moveFromOverloaded(
            long now, LoadEstimate estimate, Set<BackendServerId> targets, int maxRanges, List<Change> changes) {
        List<BackendServerId> byDescendingLoad = estimate.servers().entrySet().stream()
                .sorted(Map.Entry.<BackendServerId, Double>comparingByValue()
                        .reversed()
                        .thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .toList();
        for (BackendServerId from : byDescendingLoad) {
            if (!isOverloaded(now, from) || !mayMove(now, from) || moveBudget < 1) {
                continue;
            }
            Optional<BackendServerId> to = targets.stream()
                    .filter(server -> !server.equals(from) && mayMove(now, server))
                    .min(Comparator.<BackendServerId>comparingDouble(
                                    server -> estimate.servers().get(server))
                            .thenComparing(Comparator.naturalOrder()));
            to.flatMap(server -> bestMove(now, estimate, from, server, maxRanges))
                    .ifPresent(candidate -> move(now, estimate, candidate, to.get(), changes));
        }
    }

    /**
     * Returns the move between two backend servers with the highest gain after its cost, if the gain is
     * sufficient.
     */
    private Optional<Candidate> bestMove(
            long now, LoadEstimate estimate, BackendServerId from, BackendServerId to, int maxRanges) {
        double gap = estimate.servers().get(from) - estimate.servers().get(to);
        double totalWidth = estimate.tableRanges().stream()
                .mapToDouble(tableRange -> LoadEstimate.width(tableRange.range()))
                .sum();
        Candidate best = null;
        for (TableRange tableRange : estimate.tableRanges()) {
            ExpectedLoad recent = expectedLoads.get(tableRange.range());
            if (!tableRange.isOwnedBy(from)
                    || recent != null && recent.movedTo().isPresent()) {
                continue;
            }
            for (KeyRange range : candidateRanges(
                    tableRange.range(), estimate.hotKeys(tableRange.range()), maxRanges - estimate.size())) {
                double slots = estimate.slots(tableRange.range(), range);
                // The decrease of the higher of the two loads.
                double gain = Math.min(slots, gap - slots);
                double cost = UNAVAILABILITY_COST * slots
                        + STATE_COST * estimate.total() * LoadEstimate.width(range) / totalWidth;
                double score = gain - cost;
                if (score > MIN_GAIN_SHARE * estimate.mean() && (best == null || score > best.score())) {
                    best = new Candidate(tableRange, range, slots, score);
                }
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the parts of a range that are candidates for a move: the whole range, its hottest keys, the
     * parts before and after the hottest key, and the halves.
     *
     * @param maxExtraRanges the number of ranges that a split may add to the table
     */
    private static Set<KeyRange> candidateRanges(KeyRange range, List<KeyLoad> keys, int maxExtraRanges) {
        Set<KeyRange> candidates = new LinkedHashSet<>();
        candidates.add(range);
        if (range.first() == range.last()) {
            return candidates;
        }
        for (KeyLoad key : keys.subList(0, Math.min(HOT_KEYS_PER_RANGE, keys.size()))) {
            candidates.add(new KeyRange(key.hash(), key.hash()));
        }
        if (!keys.isEmpty()) {
            long hash = keys.get(0).hash();
            if (hash != range.first()) {
                candidates.add(new KeyRange(range.first(), hash - 1));
            }
            if (hash != range.last()) {
                candidates.add(new KeyRange(hash + 1, range.last()));
            }
        }
        long middle = range.first() + (range.last() - range.first() >>> 1);
        candidates.add(new KeyRange(range.first(), middle));
        candidates.add(new KeyRange(middle + 1, range.last()));
        candidates.removeIf(candidate -> splitAround(range, candidate).size() - 1 > maxExtraRanges);
        return candidates;
    }

    /**
     * Splits a range into a piece of it and the ranges before and after that piece, unless they are empty.
     */
    private static List<KeyRange> splitAround(KeyRange range, KeyRange piece) {
        List<KeyRange> pieces = new ArrayList<>();
        if (piece.first() != range.first()) {
            pieces.add(new KeyRange(range.first(), piece.first() - 1));
        }
        pieces.add(piece);
        if (piece.last() != range.last()) {
            pieces.add(new KeyRange(piece.last() + 1, range.last()));
        }
        return pieces;
    }

    private void move(long now, LoadEstimate estimate, Candidate candidate, BackendServerId to, List<Change> changes) {
        TableRange tableRange = candidate.tableRange();
        BackendServerId from = tableRange.owner().orElseThrow();
        List<KeyRange> pieces = splitAround(tableRange.range(), candidate.range());
        if (pieces.size() > 1) {
            split(now, estimate, tableRange, pieces, changes);
        }
        changes.add(new Change.Move(List.of(candidate.range()), candidate.range(), to));
        setExpectation(now, candidate.range(), candidate.slots(), Optional.of(to));
        estimate.move(candidate.slots(), from, to);
        recordMove(now, Set.of(from, to));
    }

    /** Sets the expected load of a range after a change. */
    private void setExpectation(long now, KeyRange range, double slots, Optional<BackendServerId> movedTo) {
        expectedLoads.put(range, new ExpectedLoad(slots, now + EXPECTATION_MILLIS, movedTo));
    }

    private void recordMove(long now, Set<BackendServerId> servers) {
        servers.forEach(server -> movedAt.put(server, now));
        moveBudget--;
    }

    /** Merges neighbouring ranges with little load and the same owner and token. */
    private void mergeLowLoadNeighbours(long now, LoadEstimate estimate, List<Change> changes) {
        TableRange left = null;
        for (TableRange right : List.copyOf(estimate.tableRanges())) {
            if (left != null
                    && left.home().equals(right.home())
                    && left.owner().isPresent()
                    && left.owner().equals(right.owner())
                    && left.token().equals(right.token())
                    && !recentlyChanged(left)
                    && !recentlyChanged(right)
                    && estimate.slots(left.range()) + estimate.slots(right.range())
                            < LOW_LOAD_SHARE * estimate.mean()) {
                TableRange merged = left.withRange(
                        new KeyRange(left.range().first(), right.range().last()));
                changes.add(new Change.Merge(List.of(left.range(), right.range()), merged.range()));
                estimate.merge(List.of(left, right), merged);
                setExpectation(now, merged.range(), estimate.slots(merged.range()), Optional.empty());
                left = null;
            } else {
                left = right;
            }
        }
    }

    private boolean recentlyChanged(TableRange tableRange) {
        return expectedLoads.containsKey(tableRange.range());
    }

    /**
     * Merges neighbouring ranges with little load and different owners or tokens. This needs a move, because
     * a range has one token, so it is done only when half of the additional ranges are used, and at most once
     * per round.
     */
    private void mergeByMove(long now, LoadEstimate estimate, Set<BackendServerId> targets, List<Change> changes) {
        List<TableRange> all = List.copyOf(estimate.tableRanges());
        List<TableRange> best = null;
        double lowestPerMerge = LOW_LOAD_SHARE * estimate.mean();
        for (int first = 0; first + 1 < all.size(); first++) {
            for (int last = first + 1; last < Math.min(all.size(), first + 3); last++) {
                List<TableRange> neighbours = all.subList(first, last + 1);
                double slots = neighbours.stream()
                        .mapToDouble(tableRange -> estimate.slots(tableRange.range()))
                        .sum();
                // One move of three ranges is better than one of two.
                double slotsPerMerge = slots / (neighbours.size() - 1);
                if (slots < LOW_LOAD_SHARE * estimate.mean()
                        && slotsPerMerge < lowestPerMerge
                        && canMergeByMove(now, neighbours, targets)) {
                    best = neighbours;
                    lowestPerMerge = slotsPerMerge;
                }
            }
        }
        if (best == null || moveBudget < 1) {
            return;
        }
        BackendServerId to = widest(best).owner().orElseThrow();
        KeyRange merged = new KeyRange(
                best.get(0).range().first(), best.get(best.size() - 1).range().last());
        changes.add(new Change.Move(best.stream().map(TableRange::range).toList(), merged, to));
        double totalSlots = best.stream()
                .mapToDouble(tableRange -> estimate.slots(tableRange.range()))
                .sum();
        setExpectation(now, merged, totalSlots, Optional.of(to));
        Set<BackendServerId> servers = new HashSet<>(Set.of(to));
        best.forEach(tableRange -> servers.add(tableRange.owner().orElseThrow()));
        recordMove(now, servers);
    }

    private boolean canMergeByMove(long now, List<TableRange> neighbours, Set<BackendServerId> targets) {
        return neighbours.stream()
                        .allMatch(tableRange ->
                                tableRange.home().equals(neighbours.get(0).home())
                                        && tableRange.owner().isPresent()
                                        && mayMove(now, tableRange.owner().get())
                                        && !recentlyChanged(tableRange))
                && targets.contains(widest(neighbours).owner().orElseThrow());
    }

    private static TableRange widest(List<TableRange> neighbours) {
        return neighbours.stream()
                .max(Comparator.comparingDouble(tableRange -> LoadEstimate.width(tableRange.range())))
                .orElseThrow();
    }
}
