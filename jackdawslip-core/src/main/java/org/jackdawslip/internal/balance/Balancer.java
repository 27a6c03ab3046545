package org.jackdawslip.internal.balance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;

import org.jackdawslip.FailureDomainId;

/**
 * Chooses the backend server with the shortest expected response time among a few random ones, most of them in the
 * failure domain of this instance.
 *
 * <p>Load data is some time old, and all instances have nearly the same. If each of them chose the best of all servers,
 * they would choose the same one until its load is known; with a few random candidates they do not, and a slow or
 * full server is still avoided. Not thread-safe.
 */
public final class Balancer {

    /** Share of the target latency that is added to the expected response time in another failure domain. */
    private static final double CROSS_DOMAIN_PENALTY_SHARE = 0.15;
    /**
     * Candidates in the own failure domain. With two, responses of idle services take longer than the best server
     * would need; with four or more, 63 instances choose the same servers.
     */
    private static final int OWN_DOMAIN_CANDIDATES = 3;
    /** Candidates in other failure domains, for the time in which the servers of the own one are full. */
    private static final int OTHER_DOMAIN_CANDIDATES = 1;

    private final FailureDomainId ownDomain;
    private final Random random;

    /** Creates a balancer for an instance in the given failure domain. */
    public Balancer(FailureDomainId ownDomain, Random random) {
        this.ownDomain = ownDomain;
        this.random = random;
    }

    /**
     * Chooses among the servers that the filter admits.
     *
     * @param usualMillis usual response time of the route, in milliseconds
     * @param targetMillis target latency of the route, in milliseconds
     * @return the chosen server, or null if the filter admits none
     */
    public BackendTracker choose(
            Collection<BackendTracker> servers,
            Predicate<BackendTracker> admitted,
            double usualMillis,
            double targetMillis,
            long now) {
        List<BackendTracker> ownDomainServers = new ArrayList<>();
        List<BackendTracker> otherServers = new ArrayList<>();
        for (BackendTracker server : servers) {
            if (admitted.test(server)) {
                boolean own = server.backend().domain().equals(ownDomain);
                (own ? ownDomainServers : otherServers).add(server);
            }
        }
        int ownCandidates = Math.min(OWN_DOMAIN_CANDIDATES, ownDomainServers.size());
        int otherCandidates = OTHER_DOMAIN_CANDIDATES + OWN_DOMAIN_CANDIDATES - ownCandidates;
        BackendTracker best = null;
        double bestMillis = Double.MAX_VALUE;
        for (int i = 0; i < ownCandidates; i++) {
            BackendTracker server = takeRandom(ownDomainServers);
            double millis = server.expectedResponseMillis(usualMillis, now);
            if (millis < bestMillis) {
                best = server;
                bestMillis = millis;
            }
        }
        for (int i = 0; i < otherCandidates && !otherServers.isEmpty(); i++) {
            BackendTracker server = takeRandom(otherServers);
            double millis = server.expectedResponseMillis(usualMillis, now) + CROSS_DOMAIN_PENALTY_SHARE * targetMillis;
            if (millis < bestMillis) {
                best = server;
                bestMillis = millis;
            }
        }
        return best;
    }

    /** Removes a random server from the list and returns it. */
    private BackendTracker takeRandom(List<BackendTracker> servers) {
        int index = random.nextInt(servers.size());
        BackendTracker server = servers.get(index);
        int last = servers.size() - 1;
        servers.set(index, servers.get(last));
        servers.remove(last);
        return server;
    }
}
