package org.jackdawslip.internal.balance;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.jackdawslip.internal.balance.HeavyLoadModel.DelayRule;
import org.jackdawslip.internal.balance.HeavyLoadModel.Site;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against repeated refusals of the same caller, against delays that callers do not honour, and against callers
 * that were refused together and return together.
 */
class RetryDelayTest {

    private static final int SEEDS = 5;
    private static final long CROWD_MILLIS = 1_500;

    private final RetryDelay delay = new RetryDelay(new Random(1));

    @Test
    void delayGrowsWithTheQueueUpToAShareOfTheRemainingTime() {
        assertEquals(80, delay.millis(5, 3_000));
        assertEquals(400, delay.millis(400, 3_000));
        assertEquals(900, delay.millis(5_000, 3_000));
        assertEquals(80, delay.millis(5_000, 100));
    }

    @Test
    void callersReturnAtDifferentTimesIfTheTimeIsUnknown() {
        List<Long> delays = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            delays.add(delay.millis(RetryDelay.UNKNOWN_EXCESS_MILLIS, 3_000));
        }
        for (int from = 450; from < 900; from += 50) {
            int start = from;
            long count = delays.stream()
                    .filter(millis -> millis >= start && millis < start + 50)
                    .count();
            assertTrue(count > 50 && count < 200, count + " of 1,000 from " + from + " ms");
        }
        assertTrue(delays.stream().allMatch(millis -> millis >= 450 && millis <= 900), "a caller would not honour it");
    }

    private static double value(Site site, DelayRule rule, long seed) {
        HeavyLoadModel model = new HeavyLoadModel(
                site,
                seed,
                random -> new AdmissionInForce(),
                (domain, random) -> new Balancer(domain, random)::choose,
                random -> rule);
        model.run();
        return model.total().valueShare();
    }

    /** The rule that {@link RetryDelay} replaced: the longest delay for an unknown time. */
    private static double formerDelay(double excessMillis, long remainingMillis) {
        double longest = Math.max(80, 0.3 * remainingMillis);
        return Math.max(80, Math.min(longest, excessMillis));
    }

    @ParameterizedTest
    @EnumSource(
            value = HeavyLoads.class,
            names = {"QUIET", "POOL_OF_12_INSTANCES", "POOL_OF_63_INSTANCES", "HOT_KEYS_OF_THE_ARCHIVE"})
    void callersThatAllReturnAtOnceAreServedBetter(HeavyLoads load) {
        Site usual = load.site();
        Site crowd = new Site(
                usual.instances(),
                usual.servers(),
                usual.slots(),
                usual.keyed(),
                0,
                1,
                usual.millis(),
                CROWD_MILLIS,
                usual.loads().stream().map(each -> each.burst(1)).toList());
        double inForce = 0;
        double former = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            RetryDelay rule = new RetryDelay(new Random(seed));
            inForce += value(crowd, (excess, remaining, now) -> rule.millis(excess, remaining), seed) / SEEDS;
            former += value(crowd, (excess, remaining, now) -> formerDelay(excess, remaining), seed) / SEEDS;
        }
        assertTrue(inForce > former, inForce + " instead of " + former);
    }
}
