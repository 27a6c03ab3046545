package org.jackdawslip.internal.balance;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.function.Function;

import org.jackdawslip.internal.balance.HeavyLoadModel.AdmissionRule;
import org.jackdawslip.internal.balance.HeavyLoadModel.DelayRule;
import org.jackdawslip.internal.balance.HeavyLoadModel.Outcome;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a service whose less urgent requests are served better than its more urgent ones, and against a class
 * that is hardly served at all. The bounds are those of docs/hard-load.md, section 3, over the seeds 1 to 5.
 */
class HeavyLoadTest {

    private static final int SEEDS = 5;
    private static final double SERVED_TOLERANCE = 0.05;
    private static final double VALUE_TOLERANCE = 0.15;
    private static final double MINIMUM_SERVED = 0.25;

    /** Returns the rule of {@link RetryDelay} for an instance. */
    static DelayRule delayInForce(Random random) {
        RetryDelay delay = new RetryDelay(random);
        return (excess, remaining, now) -> delay.millis(excess, remaining);
    }

    private static List<HeavyLoadModel> run(HeavyLoads load, Function<Random, AdmissionRule> admission) {
        List<HeavyLoadModel> runs = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            HeavyLoadModel model = new HeavyLoadModel(
                    load.site(),
                    seed,
                    admission,
                    (domain, random) -> new Balancer(domain, random)::choose,
                    HeavyLoadTest::delayInForce);
            model.run();
            runs.add(model);
        }
        return runs;
    }

    private static double mean(List<HeavyLoadModel> runs, Function<HeavyLoadModel, Double> figure) {
        return runs.stream().mapToDouble(figure::apply).average().orElseThrow();
    }

    private static double served(List<HeavyLoadModel> runs, int index) {
        return mean(runs, model -> model.outcomes.get(index).servedShare());
    }

    private static double value(List<HeavyLoadModel> runs, int index) {
        return mean(runs, model -> model.outcomes.get(index).valueShare());
    }

    private static String describe(HeavyLoads load, List<HeavyLoadModel> runs) {
        StringBuilder text = new StringBuilder(load + ": value "
                + format(mean(runs, model -> model.total().valueShare())) + " served "
                + format(mean(runs, model -> model.total().servedShare())));
        for (int i = 0; i < load.site().loads().size(); i++) {
            int priority = load.site().loads().get(i).requestClass().priority();
            text.append("; priority " + priority + " served " + format(served(runs, i)) + " value "
                    + format(value(runs, i)));
        }
        return text.toString();
    }

    private static String format(double share) {
        return String.format(Locale.ROOT, "%.3f", share);
    }

    @ParameterizedTest
    @EnumSource(HeavyLoads.class)
    void moreUrgentRequestsAreServedAtLeastAsOften(HeavyLoads load) {
        List<HeavyLoadModel> runs = run(load, random -> new AdmissionInForce());
        String found = describe(load, runs);
        int classes = load.site().loads().size();
        for (int i = 0; i < classes; i++) {
            for (int j = 0; j < classes; j++) {
                RequestClass urgent = load.site().loads().get(i).requestClass();
                if (urgent.moreUrgentThan(load.site().loads().get(j).requestClass())) {
                    assertTrue(served(runs, i) >= served(runs, j) - SERVED_TOLERANCE, found);
                    assertTrue(value(runs, i) >= value(runs, j) - VALUE_TOLERANCE, found);
                }
            }
        }
        for (HeavyLoadModel run : runs) {
            double all = run.total().servedShare();
            for (Outcome outcome : run.outcomes) {
                assertTrue(outcome.servedShare() >= MINIMUM_SERVED * all, found);
            }
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = HeavyLoads.class,
            names = {"BURST_OF_.*", "HOT_KEYS.*", "BURST_AT_.*", "POOL_OF_12_INSTANCES"},
            mode = EnumSource.Mode.MATCH_ANY)
    void admissionByUrgencyEarnsMoreThanByTargetLatencyAlone(HeavyLoads load) {
        List<HeavyLoadModel> byUrgency = run(load, random -> new AdmissionInForce());
        List<HeavyLoadModel> byTarget = run(load, random -> new TargetLatencyAdmission());
        assertTrue(
                mean(byUrgency, model -> model.total().valueShare())
                        > mean(byTarget, model -> model.total().valueShare()),
                describe(load, byUrgency) + " instead of " + describe(load, byTarget));
    }

    /**
     * Creates a rule for which one in six requests is a further attempt of a request that did not run, as after "not the
     * owner". Such an attempt may wait until its deadline.
     */
    private static AdmissionRule withFurtherAttempts(Random random, boolean furtherAttemptsLeaveRoom) {
        Admission admission = new Admission();
        return (requestClass, server, usualMillis, remainingMillis, now) -> {
            long limit = admission.responseTimeLimitMillis(requestClass.toString(), requestClass, remainingMillis, now);
            boolean further = random.nextInt(6) == 0;
            if (further && !furtherAttemptsLeaveRoom) {
                boolean busy = server.estimatedRequests(now) >= server.backend().slots();
                return busy ? server.expectedResponseMillis(usualMillis, now) - remainingMillis : 0;
            }
            return admission
                    .decide(requestClass, server, usualMillis, further ? remainingMillis : limit, now)
                    .excessMillis();
        };
    }

    @ParameterizedTest
    @EnumSource(
            value = HeavyLoads.class,
            names = {"HOT_KEYS_OF_FOUR_CLASSES", "HOT_KEYS_OF_THE_ARCHIVE", "BURST_AT_THE_ARCHIVE"})
    void furtherAttemptsLeaveRoomForUrgentRequests(HeavyLoads load) {
        List<HeavyLoadModel> room = run(load, random -> withFurtherAttempts(random, true));
        List<HeavyLoadModel> noRoom = run(load, random -> withFurtherAttempts(random, false));
        assertTrue(
                mean(room, model -> model.total().valueShare())
                        > mean(noRoom, model -> model.total().valueShare()),
                describe(load, room) + " instead of " + describe(load, noRoom));
    }
}
