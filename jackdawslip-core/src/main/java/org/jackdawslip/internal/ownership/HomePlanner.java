package org.jackdawslip.internal.ownership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.jackdawslip.FailureDomainId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.bundle.BackendServer;
import org.jackdawslip.internal.bundle.Bundle;

/**
 * Distributes the ranges of a service over the failure domains that are in service. Stateless and
 * thread-safe.
 */
final class HomePlanner {

    private HomePlanner() {}

    /**
     * Returns the number of ranges for each failure domain, in proportion to its backend servers of the
     * service.
     */
    static Map<FailureDomainId, Integer> targetCounts(Bundle bundle, ServiceName service, int totalRanges) {
        TreeMap<FailureDomainId, Integer> serverCounts = new TreeMap<>(Comparator.comparing(FailureDomainId::value));
        for (BackendServer server : bundle.backendServers().values()) {
            if (server.service().equals(service) && !server.leaving() && bundle.inService(server.failureDomain())) {
                serverCounts.merge(server.failureDomain(), 1, Integer::sum);
            }
        }
        int allServers =
                serverCounts.values().stream().mapToInt(Integer::intValue).sum();
        Map<FailureDomainId, Integer> targets = new LinkedHashMap<>();
        serverCounts.forEach((domain, servers) -> targets.put(domain, totalRanges * servers / allServers));
        int remainder = totalRanges
                - targets.values().stream().mapToInt(Integer::intValue).sum();
        serverCounts.keySet().stream()
                .sorted(Comparator.comparingInt(domain -> -(totalRanges * serverCounts.get(domain) % allServers)))
                .limit(Math.max(0, allServers == 0 ? 0 : remainder))
                .forEach(domain -> targets.merge(domain, 1, Integer::sum));
        return targets;
    }

    /**
     * Returns the initial homes of a service; empty if no failure domain in service has a backend server for
     * it.
     */
    static List<HomeAssignment> initialHomes(Bundle bundle, ServiceName service) {
        int total = Math.max(1, bundle.services().get(service).ranges());
        List<HomeAssignment> homes = new ArrayList<>();
        List<KeyRange> ranges = splitHashSpace(total);
        targetCounts(bundle, service, total).forEach((domain, count) -> {
            for (int i = 0; i < count; i++) {
                homes.add(new HomeAssignment(ranges.get(homes.size()), domain));
            }
        });
        return homes;
    }

    /**
     * Returns the ranges of a failure domain that exceed its share, at most {@code limit} of them, with the
     * failure domains that should get them.
     */
    static Map<KeyRange, FailureDomainId> surplus(Bundle bundle, HomesRecord record, FailureDomainId from, int limit) {
        Map<FailureDomainId, Integer> deficits = new LinkedHashMap<>(
                targetCounts(bundle, record.service(), record.homes().size()));
        Map<FailureDomainId, Integer> counts = new HashMap<>();
        record.homes().forEach(home -> counts.merge(home.failureDomain(), 1, Integer::sum));
        int own = counts.getOrDefault(from, 0);
        int excess = Math.min(limit, own - deficits.getOrDefault(from, 0));
        deficits.replaceAll((domain, target) -> target - counts.getOrDefault(domain, 0));
        Map<KeyRange, FailureDomainId> transfers = new LinkedHashMap<>();
        for (int i = record.homes().size() - 1; i >= 0 && transfers.size() < excess; i--) {
            HomeAssignment home = record.homes().get(i);
            if (home.failureDomain().equals(from)) {
                deficits.entrySet().stream()
                        .filter(entry -> entry.getValue() > 0)
                        .max(Map.Entry.comparingByValue())
                        .ifPresent(entry -> {
                            transfers.put(home.range(), entry.getKey());
                            deficits.merge(entry.getKey(), -1, Integer::sum);
                        });
            }
        }
        return transfers;
    }

    private static List<KeyRange> splitHashSpace(int total) {
        List<KeyRange> ranges = new ArrayList<>();
        long width = Long.divideUnsigned(-1L, total);
        for (int i = 0; i < total; i++) {
            ranges.add(new KeyRange(i * width, i == total - 1 ? -1L : (i + 1) * width - 1));
        }
        return ranges;
    }
}
