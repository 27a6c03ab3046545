package org.jackdawslip.internal.gateway;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ChangeBudgetTest {

    /** Guards against a pause that grows with the fleet until changes are late. */
    @ParameterizedTest
    @ValueSource(longs = {2_000, 2_500, 10_000})
    void stepsStayWithinTheBoundForFleetsOfAnySize(long bound) {
        ChangeBudget budget = new ChangeBudget(bound);
        for (int instances = 1; instances < 20_000; instances = instances * 3 / 2 + 1) {
            assertTrue(budget.worstMillis(instances) <= bound, instances + " instances");
        }
    }

    /** A bound that is too short for the steps must not lead to a pause below zero. */
    @ParameterizedTest
    @ValueSource(longs = {0, 1_000})
    void boundThatIsTooShortLeavesNoPause(long bound) {
        assertEquals(0, new ChangeBudget(bound).pauseMillis(66));
    }
}
