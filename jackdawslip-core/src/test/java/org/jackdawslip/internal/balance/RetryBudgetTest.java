package org.jackdawslip.internal.balance;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against more extra attempts in any window than the global limit allows. */
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
    void requestsAddRetries() {
        RetryBudget budget = new RetryBudget(0.2, 0, 10_000);
        for (int i = 0; i < 10; i++) {
            budget.recordRequest(i);
        }
        assertTrue(budget.tryRetry(20, 0.1));
        assertTrue(budget.tryRetry(20, 0.1));
        assertFalse(budget.tryRetry(20, 0.1));
    }

    /** An instance without a share must not use the allowance, because other instances may not count it. */
    @Test
    void withoutAShareOnlyRequestsAddRetries() {
        RetryBudget budget = new RetryBudget(0.5, 60, 10_000);
        assertFalse(budget.tryRetry(0, 0));
        budget.recordRequest(0);
        budget.recordRequest(0);
        assertTrue(budget.tryRetry(0, 0));
        assertFalse(budget.tryRetry(0, 0));
    }

    /**
     * After all member listings are lost, an instance that lists only itself must not use all of the
     * allowance.
     */
    @Test
    void fleetKeepsTheAllowanceWhenListingsAreLostAndInstancesRestart() {
        SimulatedFleet fleet = new SimulatedFleet(66, 5.7, 4);
        fleet.run(30_000);
        fleet.removeMemberListings();
        fleet.run(8_000);
        fleet.instances.subList(0, 30).forEach(SimulatedFleet.Instance::stop);
        fleet.run(1_000);
        fleet.instances.subList(0, 30).forEach(SimulatedFleet.Instance::start);
        fleet.run(20_000);
        assertTrue(fleet.maxRetriesInAWindow() > 0, "no instance used the allowance");
        assertTrue(
                fleet.maxRetriesInAWindow() <= SimulatedFleet.RETRY_ALLOWANCE,
                () -> fleet.maxRetriesInAWindow() + " extra attempts in a window");
    }

    /** The newest bucket is incomplete, so the number of buckets of a window covers less than the window. */
    @Test
    void windowIsNotShorterThanItsLength() {
        RetryBudget budget = new RetryBudget(0, 1, 10_000);
        assertTrue(budget.tryRetry(499, 1));
        assertFalse(budget.tryRetry(10_001, 1));
        assertTrue(budget.tryRetry(10_999, 1));
    }

    /** The limit also applies to retries at the end of one interval and the start of the next. */
    @Test
    void windowSlides() {
        RetryBudget budget = new RetryBudget(0, 1, 10_000);
        assertTrue(budget.tryRetry(9_000, 1));
        assertFalse(budget.tryRetry(11_000, 1));
        assertTrue(budget.tryRetry(19_500, 1));
    }

    /** Lost attempts take precedence: without the reserve, hedges could use up the budget before a failure. */
    @Test
    void hedgesLeaveHalfOfTheBudgetToRetries() {
        RetryBudget budget = new RetryBudget(0, 10, 10_000);
        int hedges = 0;
        while (budget.tryOptional(0, 1)) {
            hedges++;
        }
        assertEquals(5, hedges);
        int retries = 0;
        while (budget.tryRetry(0, 1)) {
            retries++;
        }
        assertEquals(5, retries);
    }
}
