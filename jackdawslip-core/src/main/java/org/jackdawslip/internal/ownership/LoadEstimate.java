package org.jackdawslip.internal.ownership;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.jackdawslip.BackendServerId;

/**
 * The estimated load of the ranges and backend servers of one service, in occupied slots. It comes from load
 * reports and, for ranges that changed recently, from the expected effect of the change. Not thread-safe;
 * used for one decision.
 */
final class LoadEstimate {

    private final TreeMap<KeyRange, LoadBalancer.TableRange> tableRanges = new TreeMap<>();
    private final Map<KeyRange, Double> slots = new HashMap<>();
    private final Map<KeyRange, List<KeyLoad>> hotKeys = new HashMap<>();
    private final TreeMap<BackendServerId, Double> servers = new TreeMap<>();

    LoadEstimate(
            Collection<LoadBalancer.TableRange> currentRanges,
            Map<BackendServerId, ServerLoad> reports,
            Collection<BackendServerId> targets,
            Map<KeyRange, Double> expectedSlots) {
        targets.forEach(server -> servers.put(server, 0.0));
        currentRanges.forEach(tableRange -> tableRanges.put(tableRange.range(), tableRange));
        Map<BackendServerId, Integer> unlistedRanges = new HashMap<>();
        Map<BackendServerId, Double> unlistedSlots = new HashMap<>();
        reports.forEach((server, load) -> unlistedSlots.put(
                server,
                load.slots()
                        - load.ranges().stream().mapToDouble(RangeLoad::slots).sum()));
        for (ServerLoad load : reports.values()) {
            for (RangeLoad range : load.ranges()) {
                LoadBalancer.TableRange tableRange = tableRanges.get(range.range());
                if (tableRange != null && tableRange.isOwnedBy(load.backendServer())) {
                    slots.put(range.range(), range.slots());
                    hotKeys.put(range.range(), range.keys());
                }
            }
        }
        for (LoadBalancer.TableRange tableRange : currentRanges) {
            if (!slots.containsKey(tableRange.range())) {
                tableRange.owner().ifPresent(owner -> unlistedRanges.merge(owner, 1, Integer::sum));
            }
        }
        for (LoadBalancer.TableRange tableRange : currentRanges) {
            tableRange.owner().ifPresent(owner -> {
                double reported = slots.containsKey(tableRange.range())
                        ? slots.get(tableRange.range())
                        : Math.max(0, unlistedSlots.getOrDefault(owner, 0.0)) / unlistedRanges.get(owner);
                double estimate = expectedSlots.getOrDefault(tableRange.range(), reported);
                slots.put(tableRange.range(), estimate);
                servers.merge(owner, estimate, Double::sum);
            });
        }
    }

    Collection<LoadBalancer.TableRange> tableRanges() {
        return tableRanges.values();
    }

    int size() {
        return tableRanges.size();
    }

    double slots(KeyRange range) {
        return slots.getOrDefault(range, 0.0);
    }

    List<KeyLoad> hotKeys(KeyRange range) {
        return hotKeys.getOrDefault(range, List.of());
    }

    Map<BackendServerId, Double> servers() {
        return servers;
    }

    double total() {
        return servers.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    double mean() {
        return servers.isEmpty() ? 0 : total() / servers.size();
    }

    /**
     * Returns the load of a part of a range: its hot keys, and its share by width of the load of the other
     * keys.
     */
    double slots(KeyRange range, KeyRange part) {
        double hotKeySlots = 0;
        double hotKeySlotsInPart = 0;
        for (KeyLoad key : hotKeys(range)) {
            hotKeySlots += key.slots();
            hotKeySlotsInPart += part.contains(key.hash()) ? key.slots() : 0;
        }
        double otherSlots = Math.max(0, slots(range) - hotKeySlots);
        return Math.min(slots(range), hotKeySlotsInPart + otherSlots * width(part) / width(range));
    }

    /** Returns the number of hashes in a range; a double, because the whole hash space exceeds a long. */
    static double width(KeyRange range) {
        long difference = range.last() - range.first();
        return (difference >>> 1) * 2.0 + (difference & 1) + 1;
    }

    void replace(KeyRange old, Collection<LoadBalancer.TableRange> replacements) {
        Map<KeyRange, Double> slotsByRange = new HashMap<>();
        replacements.forEach(replacement -> slotsByRange.put(replacement.range(), slots(old, replacement.range())));
        List<KeyLoad> oldKeys = hotKeys(old);
        tableRanges.remove(old);
        slots.remove(old);
        hotKeys.remove(old);
        for (LoadBalancer.TableRange replacement : replacements) {
            tableRanges.put(replacement.range(), replacement);
            slots.put(replacement.range(), slotsByRange.get(replacement.range()));
            hotKeys.put(
                    replacement.range(),
                    oldKeys.stream()
                            .filter(key -> replacement.range().contains(key.hash()))
                            .toList());
        }
    }

    void merge(List<LoadBalancer.TableRange> old, LoadBalancer.TableRange merged) {
        double sum = 0;
        for (LoadBalancer.TableRange oldRange : old) {
            sum += slots(oldRange.range());
            tableRanges.remove(oldRange.range());
            slots.remove(oldRange.range());
        }
        tableRanges.put(merged.range(), merged);
        slots.put(merged.range(), sum);
    }

    /** Adds the load of a range that is moving to a backend server. */
    void addMoving(BackendServerId to, double slots) {
        servers.computeIfPresent(to, (server, load) -> load + slots);
    }

    void move(double slots, BackendServerId from, BackendServerId to) {
        servers.merge(from, -slots, Double::sum);
        servers.merge(to, slots, Double::sum);
    }
}
