package org.jackdawslip.internal.hedging;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.Backend;
import org.jackdawslip.internal.balance.BackendTracker;
import org.jackdawslip.internal.balance.RetryBudget;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against hedges that cost work without benefit, or that take the place of first attempts or retries. */
class HedgePolicyTest {

    private static final long NOW = 5_000;
    private static final long TARGET_MILLIS = 400;

    private final RetryBudget retryBudget = new RetryBudget(0.2, 0, 10_000);
    private final HedgePolicy policy = new HedgePolicy(new HedgeLimit(0.05), retryBudget);
    private final BackendTracker server = server(0);

    private static BackendTracker server(long warmupRemainingMillis) {
        Backend backend = new Backend(
                new BackendServerId("b"),
                1,
                new ServiceName("hub"),
                "127.0.0.1",
                80,
                new FailureDomainId("a"),
                2,
                false,
                warmupRemainingMillis);
        return new BackendTracker(backend, NOW);
    }

    @BeforeEach
    void recordRequests() {
        for (int i = 0; i < 100; i++) {
            policy.recordRequest(NOW);
            retryBudget.recordRequest(NOW);
        }
    }

    private HedgeDecision decide(BackendTracker second, double secondMillis) {
        return policy.decide(second, secondMillis, 200, 1_000, 0, NOW);
    }

    @Test
    void hedgesWithinTheLimit() {
        for (int i = 0; i < 5; i++) {
            assertEquals(HedgeDecision.HEDGE, decide(server, 100));
        }
        assertEquals(HedgeDecision.LIMIT, decide(server, 100));
    }

    @Test
    void doesNotHedgeIfSwitchedOff() {
        HedgePolicy off = new HedgePolicy(new HedgeLimit(0), retryBudget);
        assertFalse(off.enabled());
        assertEquals(HedgeDecision.OFF, off.decide(server, 100, 200, 1_000, 0, NOW));
    }

    @Test
    void doesNotHedgeWithoutASecondServer() {
        assertEquals(HedgeDecision.NO_SERVER, decide(null, 0));
    }

    /** A hedge at a server without a free slot would delay the first attempts that wait there. */
    @Test
    void doesNotHedgeWithoutAFreeSlot() {
        server.recordChosen();
        assertEquals(HedgeDecision.HEDGE, decide(server, 100));
        server.recordChosen();
        assertEquals(HedgeDecision.OVERLOAD, decide(server, 100));
    }

    @Test
    void doesNotHedgeAfterARefusalForLackOfCapacity() {
        policy.recordOverload(TARGET_MILLIS, NOW - TARGET_MILLIS + 1);
        assertEquals(HedgeDecision.OVERLOAD, decide(server, 100));
        assertEquals(HedgeDecision.HEDGE, policy.decide(server, 100, 200, 1_000, 0, NOW + 1));
    }

    /** A cold or paused server answers late or not at all, and a cold one has no capacity to spare. */
    @Test
    void doesNotHedgeAtAColdOrPausedServer() {
        assertEquals(HedgeDecision.NOT_BETTER, decide(server(500), 100));
        server.startPause(NOW);
        assertEquals(HedgeDecision.NOT_BETTER, decide(server, 100));
    }

    @Test
    void doesNotHedgeAtAServerThatIsNoFaster() {
        assertEquals(HedgeDecision.NOT_BETTER, decide(server, 200));
        assertEquals(HedgeDecision.HEDGE, decide(server, 199));
    }

    @Test
    void doesNotHedgeIfTheResponseWouldBeTooLate() {
        assertEquals(HedgeDecision.TOO_LATE, policy.decide(server, 100, 200, 100, 0, NOW));
        assertEquals(HedgeDecision.HEDGE, policy.decide(server, 100, 200, 101, 0, NOW));
    }

    /** Lost attempts take precedence: hedges must leave half of the budget to retries, and not count when refused. */
    @Test
    void leavesAPartOfTheRetryBudgetToRetries() {
        HedgePolicy generous = new HedgePolicy(new HedgeLimit(1), retryBudget);
        for (int i = 0; i < 100; i++) {
            generous.recordRequest(NOW);
        }
        int hedges = 0;
        while (generous.decide(server, 100, 200, 1_000, 0, NOW) == HedgeDecision.HEDGE) {
            hedges++;
        }
        assertEquals(10, hedges);
        int retries = 0;
        while (retryBudget.tryRetry(NOW, 0)) {
            retries++;
        }
        assertEquals(10, retries);
        assertEquals(HedgeDecision.RETRY_BUDGET, generous.decide(server, 100, 200, 1_000, 0, NOW));
        assertTrue(generous.limit().isAvailable(NOW), "a hedge that was not sent used the limit");
    }
}
