package org.jackdawslip.internal.hedging;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.LongStream;

import org.jackdawslip.internal.hedging.HedgingSimulation.Load;
import org.jackdawslip.internal.hedging.HedgingSimulation.Result;
import org.jackdawslip.internal.hedging.HedgingSimulation.Rule;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against hedges that do not shorten the slowest responses, or cost more than the limit, by seed. */
class HedgingSimulationTest {

    private static final long[] SEEDS = {1, 2, 3, 4, 5};
    /** The loads in which single attempts or servers are slow, so that another server is faster. */
    private static final Set<Load> SHORTENED = EnumSet.of(Load.LONG_TAIL, Load.SLOW_TENTH, Load.SILENT_SERVER);
    /** Difference between rules that are equally good, because each draws other work times. */
    private static final double ALLOWED_VARIATION = 1.1;

    private static Result run(Rule rule, Load load, double limitShare) {
        return Result.merge(LongStream.of(SEEDS)
                .mapToObj(seed -> new HedgingSimulation(rule, load, limitShare, seed).run())
                .toList());
    }

    @ParameterizedTest
    @EnumSource(Load.class)
    void comparesRules(Load load) {
        Map<Rule, Result> results = new EnumMap<>(Rule.class);
        for (Rule rule : Rule.values()) {
            Result result = run(rule, load, HedgeSettings.DEFAULT_SHARE);
            results.put(rule, result);
            System.out.println(String.format(
                    Locale.ROOT,
                    "HEDGE | %s | %s | %.0f | %.0f | %.0f | %.4f | %.4f | %.4f | %.4f | %.4f |",
                    load,
                    rule,
                    result.quantile(0.5),
                    result.quantile(0.99),
                    result.quantile(0.999),
                    result.onTimeShare(),
                    result.servedShare(),
                    result.hedgedShare(),
                    result.wins() / Math.max(1.0, result.hedges()),
                    result.extraWork()));
        }
        Result none = results.get(Rule.NONE);
        Result previous = results.get(Rule.MULTIPLE_OF_MEAN);
        Result quantile = results.get(Rule.QUANTILE);
        assertTrue(quantile.hedgedShare() <= HedgeSettings.DEFAULT_SHARE, "limit exceeded");
        assertTrue(quantile.extraWork() <= HedgeSettings.DEFAULT_SHARE, "extra work " + quantile.extraWork());
        for (double share : new double[] {0.99, 0.999}) {
            assertTrue(
                    quantile.quantile(share) <= ALLOWED_VARIATION * previous.quantile(share),
                    "later than the previous rule at " + share);
        }
        assertTrue(quantile.servedShare() >= previous.servedShare() - 0.002, "fewer requests served");
        assertTrue(quantile.onTimeShare() >= previous.onTimeShare() - 0.002, "fewer responses on time");
        if (SHORTENED.contains(load)) {
            assertTrue(quantile.quantile(0.999) < 0.8 * none.quantile(0.999), "hedges did not help");
        }
        assertEquals(0, run(Rule.QUANTILE, load, 0).hedges(), "hedges although switched off");
    }

    /** The limit must hold in a long tail, where more requests are slow than it permits to hedge. */
    @ParameterizedTest
    @ValueSource(doubles = {0.005, 0.02, 0.05})
    void lowerLimitsHold(double limitShare) {
        Result result = run(Rule.QUANTILE, Load.LONG_TAIL, limitShare);
        assertTrue(result.hedges() > 0 && result.hedgedShare() <= limitShare, "hedged: " + result.hedgedShare());
    }
}
