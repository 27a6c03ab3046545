package org.jackdawslip.internal.balance;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against more sends than the shared bound allows, in any window. */
class RetryBudgetTest {

    @Test
    void allowanceIsSharedByAllInstances() {
        RetryBudget budget = new RetryBudget(0.2, 60, 10_000);
        int granted = 0;
        while (budget.tryRetry(0, 0.1)) {
            granted++;
        }
        assertEquals(6, granted);
    }

    @Test
    void requestsEarnRetries() {
        RetryBudget budget = new RetryBudget(0.2, 0, 10_000);
        for (int i = 0; i < 10; i++) {
            budget.request(i);
        }
        assertTrue(budget.tryRetry(20, 0.1));
        assertTrue(budget.tryRetry(20, 0.1));
        assertFalse(budget.tryRetry(20, 0.1));
    }

    /** Instances that do not count one another must not each use the whole allowance. */
    @Test
    void withoutAShareOnlyRequestsEarnRetries() {
        RetryBudget budget = new RetryBudget(0.5, 60, 10_000);
        assertFalse(budget.tryRetry(0, 0));
        budget.request(0);
        budget.request(0);
        assertTrue(budget.tryRetry(0, 0));
        assertFalse(budget.tryRetry(0, 0));
    }

    /** After listings lapsed, each of 66 instances saw only itself and used the allowance of all. */
    @Test
    void allowanceOfAFleetHoldsWhileListingsLapseAndInstancesRestart() {
        SimulatedFleet fleet = new SimulatedFleet(66, 5.7, 4);
        fleet.run(30_000);
        fleet.lapseListings();
        fleet.run(8_000);
        fleet.nodes.subList(0, 30).forEach(SimulatedFleet.Node::stop);
        fleet.run(1_000);
        fleet.nodes.subList(0, 30).forEach(SimulatedFleet.Node::start);
        fleet.run(20_000);
        assertTrue(fleet.mostRetries() > 0, "nobody used the allowance");
        assertTrue(
                fleet.mostRetries() <= SimulatedFleet.RETRY_ALLOWANCE,
                () -> fleet.mostRetries() + " extra sends in a window");
    }

    /** The newest bucket is not over yet, so as many buckets as a window has cover less than the window. */
    @Test
    void windowIsNotShorterThanItsLength() {
        RetryBudget budget = new RetryBudget(0, 1, 10_000);
        assertTrue(budget.tryRetry(499, 1));
        assertFalse(budget.tryRetry(10_001, 1));
        assertTrue(budget.tryRetry(10_999, 1));
    }

    /** Retries at the end of one window and the start of the next lie in one sliding window. */
    @Test
    void windowSlides() {
        RetryBudget budget = new RetryBudget(0, 1, 10_000);
        assertTrue(budget.tryRetry(9_000, 1));
        assertFalse(budget.tryRetry(11_000, 1));
        assertTrue(budget.tryRetry(19_500, 1));
    }
}
