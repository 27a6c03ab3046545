package org.jackdawslip.internal.gateway;

import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against an instance that takes back what is in force, or misses changes, because the store came back from an
 * earlier copy. The system property {@code jackdawslip.restoredStoreSeeds} multiplies the number of seeds.
 */
class RestoredStoreModelTest {

    private static final int SEED_FACTOR = Integer.getInteger("jackdawslip.restoredStoreSeeds", 1);

    private static final List<RestoredStoreModel.Disturbance> RETURNS = List.of(
            RestoredStoreModel.Disturbance.RETURN,
            RestoredStoreModel.Disturbance.RETURN_AFTER_OUTAGE,
            RestoredStoreModel.Disturbance.RETURN_WITH_REPLICA,
            RestoredStoreModel.Disturbance.TWO_RETURNS);

    private static void assertRulesKept(int instances, int seeds, List<RestoredStoreModel.Disturbance> disturbances) {
        int returns = 0;
        long latestMillis = 0;
        for (long seed = 0; seed < seeds * SEED_FACTOR; seed++) {
            RestoredStoreModel model = new RestoredStoreModel(instances, seed, disturbances);
            List<String> violations = model.run();
            assertEquals(List.of(), violations, instances + " instances, seed " + seed);
            returns += model.returns();
            latestMillis = Math.max(latestMillis, model.latestMillis());
        }
        System.out.println(instances + " instances, " + seeds * SEED_FACTOR + " seeds: " + returns
                + " returns, changes in force after at most " + latestMillis + " ms");
        assertTrue(returns >= seeds, "the store came back " + returns + " times");
    }

    @ParameterizedTest
    @CsvSource({"1, 8", "2, 8", "12, 8", "74, 4", "300, 1"})
    void returnsKeepWhatIsInForceAndLoseNoChange(int instances, int seeds) {
        assertRulesKept(instances, seeds, RETURNS);
    }

    @ParameterizedTest
    @CsvSource({"1, 8", "2, 8", "12, 8", "74, 4", "300, 1"})
    void returnsAmongFaultsKeepWhatIsInForceAndLoseNoChange(int instances, int seeds) {
        assertRulesKept(instances, seeds, Arrays.asList(RestoredStoreModel.Disturbance.values()));
    }
}
