package org.jackdawslip.internal.balance;

import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

import org.jackdawslip.FailureDomainId;
import org.jackdawslip.internal.balance.HeavyLoadModel.ChoiceRule;

/** Rules for the choice of a server with which {@link Balancer} is compared. */
enum ServerChoices {
    /** The rule in force. */
    IN_FORCE {
        @Override
        ChoiceRule create(FailureDomainId domain, Random random) {
            return new Balancer(domain, random)::choose;
        }
    },
    /** The best of all servers with a random increase of up to 15 %: the rule that {@link Balancer} had before. */
    BEST_OF_ALL {
        @Override
        ChoiceRule create(FailureDomainId domain, Random random) {
            return (servers, admitted, usualMillis, targetMillis, now) -> best(servers, admitted, server -> {
                double penalty = server.backend().domain().equals(domain) ? 0 : 0.15 * targetMillis;
                return server.expectedResponseMillis(usualMillis, now) * (1 + 0.15 * random.nextDouble()) + penalty;
            });
        }
    },
    /** Any server. */
    RANDOM {
        @Override
        ChoiceRule create(FailureDomainId domain, Random random) {
            return (servers, admitted, usualMillis, targetMillis, now) ->
                    best(servers, admitted, server -> random.nextDouble());
        }
    },
    /** The server with the fewest requests; among equals any. */
    LEAST_IN_FLIGHT {
        @Override
        ChoiceRule create(FailureDomainId domain, Random random) {
            return (servers, admitted, usualMillis, targetMillis, now) ->
                    best(servers, admitted, server -> server.estimatedRequests(now) + 1e-6 * random.nextDouble());
        }
    },
    /** The better of two random servers of all failure domains. */
    TWO_RANDOM {
        @Override
        ChoiceRule create(FailureDomainId domain, Random random) {
            return (servers, admitted, usualMillis, targetMillis, now) -> {
                List<BackendTracker> candidates =
                        servers.stream().filter(admitted).toList();
                BackendTracker first = candidates.get(random.nextInt(candidates.size()));
                BackendTracker second = candidates.get(random.nextInt(candidates.size()));
                return best(
                        List.of(first, second),
                        server -> true,
                        server -> server.expectedResponseMillis(usualMillis, now));
            };
        }
    },
    /** Any server whose expected time is within half the usual time of the best. */
    NEAR_THE_BEST {
        @Override
        ChoiceRule create(FailureDomainId domain, Random random) {
            return (servers, admitted, usualMillis, targetMillis, now) -> {
                BackendTracker first =
                        best(servers, admitted, server -> server.expectedResponseMillis(usualMillis, now));
                double limit = first.expectedResponseMillis(usualMillis, now) + 0.5 * usualMillis;
                return best(
                        servers,
                        admitted.and(server -> server.expectedResponseMillis(usualMillis, now) <= limit),
                        server -> random.nextDouble());
            };
        }
    };

    abstract ChoiceRule create(FailureDomainId domain, Random random);

    private static BackendTracker best(
            Collection<BackendTracker> servers,
            Predicate<BackendTracker> admitted,
            ToDoubleFunction<BackendTracker> score) {
        BackendTracker best = null;
        double bestScore = Double.MAX_VALUE;
        for (BackendTracker server : servers) {
            if (admitted.test(server)) {
                double serverScore = score.applyAsDouble(server);
                if (serverScore < bestScore) {
                    best = server;
                    bestScore = serverScore;
                }
            }
        }
        return best;
    }
}
