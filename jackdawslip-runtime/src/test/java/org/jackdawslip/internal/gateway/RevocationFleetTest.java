package org.jackdawslip.internal.gateway;

import java.io.OutputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against an instance of a fleet that accepts keys by a configuration that was replaced longer ago than the
 * time limit, and against one that refuses keys although it may accept them. Each case states its seed.
 */
class RevocationFleetTest {

    private static final int[] FLEET_SIZES = {1, 12, 74};
    private static final int SEEDS = 12;
    private static final long CHANGE_LIMIT_MILLIS = 2_000;
    private static final long SETTLE_MILLIS = 6_000;
    private static final long RUN_MILLIS = 16_000;
    private static final long STEP_MILLIS = 20;
    private static final long WRITE_INTERVAL_MILLIS = 1_400;
    /** Outage of the store in which no caller may be refused. */
    private static final long OUTAGE_MILLIS = 3_000;
    /** Instances that were not served before have a current view within this time after an outage. */
    private static final long RECOVERY_MILLIS = 3_000;

    /** A fault of the store or of the paths to it. */
    private enum Fault {
        NONE {
            @Override
            void start(SimulatedViews views, Random random) {
                // The usual operation.
            }
        },
        OUTAGE {
            @Override
            void start(SimulatedViews views, Random random) {
                views.store.outage(true);
            }
        },
        ALL_UNRESPONSIVE {
            @Override
            void start(SimulatedViews views, Random random) {
                views.instances.forEach(instance -> instance.client.unresponsive(true));
            }
        },
        SLOW {
            @Override
            void start(SimulatedViews views, Random random) {
                views.store.slow(true);
            }
        },
        CHANGES_WITHHELD {
            @Override
            void start(SimulatedViews views, Random random) {
                views.store.withholdChanges(random.nextBoolean());
            }
        },
        HISTORY_DROPPED {
            @Override
            void start(SimulatedViews views, Random random) {
                views.store.withholdChanges(true);
                views.store.loop().schedule(views.store::compact, 2, TimeUnit.SECONDS);
            }
        },
        THIRD_REFUSED_LINKS_CUT {
            @Override
            void start(SimulatedViews views, Random random) {
                views.cutLinks(0.4);
                views.faultAtThird(RUN_MILLIS, SimulatedStore.Client::refused);
            }
        },
        THIRD_UNRESPONSIVE_LINKS_CUT {
            @Override
            void start(SimulatedViews views, Random random) {
                views.cutLinks(0.9);
                views.faultAtThird(RUN_MILLIS, SimulatedStore.Client::unresponsive);
            }
        },
        SOURCE_REFUSED {
            @Override
            void start(SimulatedViews views, Random random) {
                views.faultAtSource(source -> source.client.refused(true));
            }
        },
        SOURCE_LATE {
            @Override
            void start(SimulatedViews views, Random random) {
                views.faultAtSource(source -> source.client.delayEventLoop(700));
            }
        };

        abstract void start(SimulatedViews views, Random random);
    }

    private record Written(int version, long at) {}

    private static SimulatedViews fleet(int size, long seed) {
        SimulatedViews views =
                new SimulatedViews(size, CHANGE_LIMIT_MILLIS, new Random(seed), OutputStream.nullOutputStream());
        views.store.run(SETTLE_MILLIS);
        views.instances.forEach(instance -> assertTrue(instance.freshness.isRecent(), "after the start"));
        return views;
    }

    @ParameterizedTest
    @EnumSource
    void noInstanceAcceptsKeysByAConfigurationOlderThanTheLimit(Fault fault) {
        for (int size : FLEET_SIZES) {
            for (long seed = 0; seed < SEEDS; seed++) {
                SimulatedViews views = fleet(size, seed);
                Random random = new Random(seed);
                Deque<Written> writes = new ArrayDeque<>();
                int required = 0;
                long nextWriteAt = views.store.now;
                views.store.run(random.nextInt(1_000));
                fault.start(views, random);
                for (long end = views.store.now + RUN_MILLIS; views.store.now < end; views.store.run(STEP_MILLIS)) {
                    if (views.store.now >= nextWriteAt) {
                        writes.add(new Written(views.writeConfig(), views.store.now));
                        nextWriteAt = views.store.now + random.nextInt((int) WRITE_INTERVAL_MILLIS);
                    }
                    while (!writes.isEmpty()
                            && views.store.now - writes.peek().at() > SimulatedViews.REVOCATION_MILLIS) {
                        required = writes.poll().version();
                    }
                    for (SimulatedViews.Instance instance : views.instances) {
                        if (instance.freshness.isRecent()) {
                            long version = instance.config.version();
                            assertTrue(
                                    version >= required,
                                    size + " instances, seed " + seed + ", " + instance.id + " has version " + version
                                            + " and needs " + required);
                        }
                    }
                }
            }
        }
    }

    /** Refusals of an outage that is shorter than the time limit would be a loss without a reason. */
    @ParameterizedTest
    @EnumSource(names = {"OUTAGE", "ALL_UNRESPONSIVE", "SLOW"})
    void shortOutageRefusesNobody(Fault fault) {
        int refusing = 0;
        long longestAge = 0;
        StringBuilder cases = new StringBuilder();
        for (int size : FLEET_SIZES) {
            for (long seed = 0; seed < SEEDS; seed++) {
                SimulatedViews views = fleet(size, seed);
                Random random = new Random(seed);
                views.store.run(random.nextInt(2_000));
                fault.start(views, random);
                long faultEndsAt = views.store.now + OUTAGE_MILLIS;
                boolean ended = false;
                for (long end = faultEndsAt + RECOVERY_MILLIS; views.store.now < end; views.store.run(STEP_MILLIS)) {
                    if (!ended && views.store.now >= faultEndsAt) {
                        ended = true;
                        views.store.outage(false);
                        views.store.slow(false);
                        views.instances.forEach(instance -> instance.client.unresponsive(false));
                    }
                    for (SimulatedViews.Instance instance : views.instances) {
                        longestAge = Math.max(longestAge, instance.freshness.ageMillis());
                        if (!instance.freshness.isRecent()) {
                            refusing++;
                            cases.append(size).append('/').append(seed).append(' ');
                        }
                    }
                }
            }
        }
        assertEquals(
                0, refusing, "steps in which an instance refused, longest age " + longestAge + " ms, cases: " + cases);
    }

    /** An instance without a path to the store refuses after the limit, and serves again after the fault. */
    @Test
    void instancesRefuseDuringALongOutageAndServeAfterIt() {
        for (int size : FLEET_SIZES) {
            SimulatedViews views = fleet(size, size);
            views.store.outage(true);
            views.store.run(SimulatedViews.REVOCATION_MILLIS);
            views.instances.forEach(instance -> assertTrue(!instance.freshness.isRecent(), instance.id.value()));
            views.store.outage(false);
            views.store.run(RECOVERY_MILLIS);
            views.instances.forEach(instance -> assertTrue(instance.freshness.isRecent(), instance.id.value()));
        }
    }
}
