package org.jackdawslip.internal.traffic;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.jackdawslip.ServiceName;

/**
 * Distributes the requests of a route among its services in the proportions of their weights.
 *
 * <p>Smooth weighted round robin: after every full cycle each service got exactly its share. The start inside the cycle
 * is random, so that instances with few requests do not all begin with the same service. Not thread-safe.
 */
public final class TrafficSplitter {

    private final Random random;
    private final Map<String, long[]> creditsByRoute = new HashMap<>();
    private final Map<String, List<WeightedService>> weightsByRoute = new HashMap<>();

    /** Makes a splitter that draws the starting points from the generator. */
    public TrafficSplitter(Random random) {
        this.random = random;
    }

    /** Returns the service for the next request of the route. */
    public ServiceName next(HostRoute route) {
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
        List<WeightedService> known = weightsByRoute.put(route.name(), route.services());
        if (!route.services().equals(known)) {
            long[] start = new long[route.services().size()];
            for (int i = 0; i < start.length; i++) {
                start[i] = random.nextInt(route.services().get(i).weight() + 1);
            }
            creditsByRoute.put(route.name(), start);
        }
        return creditsByRoute.get(route.name());
    }
}
