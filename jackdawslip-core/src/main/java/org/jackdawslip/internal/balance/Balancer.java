package org.jackdawslip.internal.balance;

import java.util.Collection;
import java.util.Random;
import java.util.function.Predicate;

import org.jackdawslip.FailureDomainId;

/**
 * Chooses the backend server with the shortest expected time, with a small preference for the own failure domain.
 *
 * <p>Not thread-safe.
 */
public final class Balancer {

    /** Share of the target latency that a send to another failure domain has to gain. */
    private static final double CROSSING_SHARE = 0.15;
    /** Largest random factor on expected times, so that instances with the same view do not choose the same server. */
    private static final double SCATTER = 0.15;

    private final FailureDomainId ownDomain;
    private final Random random;

    /** Makes a balancer for an instance in the failure domain. */
    public Balancer(FailureDomainId ownDomain, Random random) {
        this.ownDomain = ownDomain;
        this.random = random;
    }

    /**
     * Chooses among the servers that the filter admits.
     *
     * @param usualMillis time that the route usually takes
     * @param targetMillis time within which an answer is on time
     * @return the choice, or null if no server is admitted
     */
    public BackendTracker choose(
            Collection<BackendTracker> servers,
            Predicate<BackendTracker> admitted,
            double usualMillis,
            double targetMillis,
            long now) {
        BackendTracker best = null;
        double bestScore = Double.MAX_VALUE;
        for (BackendTracker server : servers) {
            if (admitted.test(server)) {
                double score = server.expectedMillis(usualMillis, now) * (1 + SCATTER * random.nextDouble());
                if (!server.backend().domain().equals(ownDomain)) {
                    score += CROSSING_SHARE * targetMillis;
                }
                if (score < bestScore) {
                    best = server;
                    bestScore = score;
                }
            }
        }
        return best;
    }
}
