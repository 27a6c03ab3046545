package org.jackdawslip.internal.balance;

import java.util.Locale;

import org.jackdawslip.internal.balance.HeavyLoadModel.Load;
import org.jackdawslip.internal.balance.HeavyLoadModel.Site;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against instances that decide independently with load reports of an age of 8 to 150 ms and choose the same
 * server. All rules are compared on the same arrivals with the admission in force, for the seeds 1 to 5.
 */
class ServerChoiceTest {

    private static final int SEEDS = 5;

    /** The mean share of the value that was earned, and of the attempts at servers in other failure domains. */
    private record Result(double value, double otherDomains) {

        @Override
        public String toString() {
            return String.format(Locale.ROOT, "value %.3f, other domains %.2f", value, otherDomains);
        }
    }

    private static Result run(Site site, ServerChoices choice) {
        double value = 0;
        double otherDomains = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            HeavyLoadModel model = new HeavyLoadModel(
                    site, seed, random -> new AdmissionInForce(), choice::create, HeavyLoadTest::delayInForce);
            model.run();
            value += model.total().valueShare() / SEEDS;
            otherDomains += (double) model.attemptsInOtherDomains / model.total().attempts / SEEDS;
        }
        return new Result(value, otherDomains);
    }

    @ParameterizedTest
    @EnumSource(
            value = HeavyLoads.class,
            names = {"POOL.*", "FEW_SERVERS.*"},
            mode = EnumSource.Mode.MATCH_ANY)
    void fewRandomCandidatesEarnMoreThanTheBestOfAllUnderHeavyLoad(HeavyLoads load) {
        Result inForce = run(load.site(), ServerChoices.IN_FORCE);
        for (ServerChoices other :
                new ServerChoices[] {ServerChoices.BEST_OF_ALL, ServerChoices.RANDOM, ServerChoices.LEAST_IN_FLIGHT}) {
            Result result = run(load.site(), other);
            assertTrue(inForce.value() > result.value(), load + ": " + inForce + "; " + other + ": " + result);
        }
    }

    @ParameterizedTest
    @CsvSource({"12, 0.3", "12, 1", "63, 0.3", "63, 1", "300, 0.3", "300, 1"})
    void usualLoadIsServedAsWellAsByTheBestOfAll(int instances, double factor) {
        Site site = HeavyLoads.POOL_OF_63_INSTANCES.site();
        Site usual = new Site(
                instances,
                site.servers(),
                site.slots(),
                false,
                0,
                1,
                site.millis(),
                site.loads().stream().map(load -> usual(load, factor)).toList());
        Result inForce = run(usual, ServerChoices.IN_FORCE);
        Result bestOfAll = run(usual, ServerChoices.BEST_OF_ALL);
        String found = inForce + " instead of " + bestOfAll;
        assertTrue(inForce.value() > bestOfAll.value() - 0.005, found);
        assertTrue(inForce.otherDomains() < 0.2, found);
    }

    private static Load usual(Load load, double factor) {
        return load.burst(1).times(factor);
    }
}
