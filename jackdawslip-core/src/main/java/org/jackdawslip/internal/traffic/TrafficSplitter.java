package org.jackdawslip.internal.traffic;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.jackdawslip.ServiceName;

/**
 * Distributes the requests of a route among its services in proportion to their weights.
 *
 * <p>Uses smooth weighted round robin: in every full cycle, each service gets exactly its share. The starting
 * point within the cycle is random, so that instances with few requests do not all start with the same
 * service. Not thread-safe.
 */
public final class TrafficSplitter {

    private final Random random;
    private final Map<String, long[]> creditsByRoute = new HashMap<>();
    private final Map<String, List<WeightedService>> servicesByRoute = new HashMap<>();

    /** Creates a splitter with the source of random starting points. */
    public TrafficSplitter(Random random) {
        this.random = random;
    }

    /** Returns the service for the next request of the route. */
    public ServiceName nextService(HostRoute route) {
        List<WeightedService> services = route.services();
        if (services.size() == 1) {
            return services.get(0).service();
        }
        long[] credits = credits(route);
        long total = 0;
        int best = -1;
        for (int i = 0; i < credits.length; i++) {
            int weight = services.get(i).weight();
            credits[i] += weight;
            total += weight;
            if (weight > 0 && (best < 0 || credits[i] > credits[best])) {
                best = i;
            }
        }
        credits[best] -= total;
        return services.get(best).service();
    }

    private long[] credits(HostRoute route) {
        List<WeightedService> previous = servicesByRoute.put(route.name(), route.services());
        if (!route.services().equals(previous)) {
            long[] initialCredits = new long[route.services().size()];
            for (int i = 0; i < initialCredits.length; i++) {
                initialCredits[i] = random.nextInt(route.services().get(i).weight() + 1);
            }
            creditsByRoute.put(route.name(), initialCredits);
        }
        return creditsByRoute.get(route.name());
    }
}
