package org.jackdawslip.internal.keyspace;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.Backend;
import org.jackdawslip.internal.balance.BackendTracker;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against keys whose requests are refused because their owner is cold. */
class OwnerCandidatesTest {

    private final List<BackendTracker> servers = new ArrayList<>();

    private void server(String id, long coldMillis) {
        Backend backend = new Backend(
                new BackendServerId(id),
                1,
                new ServiceName("keyed"),
                "10.0.0.1",
                80,
                new FailureDomainId("a"),
                3,
                false,
                coldMillis);
        servers.add(new BackendTracker(backend, 0));
    }

    private Set<BackendServerId> candidates(long now) {
        return OwnerCandidates.capacities(servers, now).keySet();
    }

    @Test
    void coldServerOwnsNoKeysWhileOthersAreWarm() {
        server("warm", 0);
        server("cold", 3_000);
        assertEquals(Set.of(new BackendServerId("warm")), candidates(0));
        assertEquals(2, candidates(2_500).size());
    }

    /** The first server that is warm again must not get the keys of all others. */
    @Test
    void allServersOwnKeysWhileMostAreCold() {
        server("a", 0);
        server("b", 3_000);
        server("c", 3_000);
        assertEquals(3, candidates(0).size());
    }
}
