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
        while (budget.tryRetry(0, 10)) {
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
        assertTrue(budget.tryRetry(20, 10));
        assertTrue(budget.tryRetry(20, 10));
        assertFalse(budget.tryRetry(20, 10));
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
