package org.jackdawslip.internal.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Random;

import org.jackdawslip.FailureDomainId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a confirmed change that is not in force in time at every instance of a fleet, whatever happens to
 * watches, to the history and to the calls of single instances just before the change and during it.
 */
class ChangeInForceTest {

    /** The bounds of the sites, for changes of the configuration and for servers that leave. */
    private static final long[] BOUNDS_MILLIS = {2_000, 2_500};
    /** Time after a change until it has to be in force, for requests on their way when it takes effect. */
    private static final long REQUEST_MILLIS = 100;
    /** Bounds hold for an instance from this long after the end of a fault that concerns its path to the store. */
    private static final long CONTACT_MILLIS = 3_000;

    /** Listings that lapsed in an outage are back this long after it. */
    private static final long LISTED_AGAIN_MILLIS = 1_900;

    private static final long SETTLE_MILLIS = 6_000;
    /** Watches hear nothing for this long before they are cut. */
    private static final int SILENT_MILLIS = 1_200;

    /** The store refuses some instances for this long on standard days. */
    private static final int PARTIAL_MILLIS = 9_000;

    /** Bounds are longer by this time while the store does not serve all instances. */
    private static final long STRETCH_MILLIS = 5_000;

    /** After this time every instance knows that the store does not serve it. */
    private static final long AWAY_NOTICED_MILLIS = 1_000;
    /** Longest interval of calls to follow the store while it refuses them. */
    private static final long LONGEST_BACKOFF_MILLIS = 400;
    /** Interval of renewals while they are refused. */
    private static final long RENEW_AGAIN_MILLIS = 500;

    private static final double CUT_LINKS = 0.2;

    private static final long GIVE_UP_MILLIS = 10_000;
    private static final int[] FLEETS = {1, 12, 66, 82, 300};
    private static final int SEEDS = 6;
    /** Fleets above this size are played with fewer seeds, because they take long. */
    private static final int LARGE_FLEET = 100;

    private static final int SEEDS_OF_LARGE_FLEETS = 2;

    /** A change that an operator or a backend server makes. */
    private enum Change {
        VERSION {
            @Override
            Known make(SimulatedViews views, Random random) {
                int version = views.writeConfig();
                return instance -> instance.config != null && instance.config.version() >= version;
            }
        },
        ROUTE {
            @Override
            Known make(SimulatedViews views, Random random) {
                int version = views.writeConfig();
                return instance -> instance.config != null
                        && instance.config
                                .route(SimulatedViews.HOST, "/v" + version + "/1")
                                .isPresent();
            }
        },
        SERVER_DRAINING {
            @Override
            Known make(SimulatedViews views, Random random) {
                String entry = SimulatedViews.server(random.nextInt(100));
                views.list(entry, true);
                return instance -> !instance.uses(entry);
            }
        },
        SERVER_GONE {
            @Override
            Known make(SimulatedViews views, Random random) {
                String entry = SimulatedViews.server(random.nextInt(100));
                views.store.delete(entry);
                return instance -> !instance.uses(entry);
            }
        },
        DOMAIN_OUT {
            @Override
            Known make(SimulatedViews views, Random random) {
                views.store.put("out/b", "");
                return instance -> instance.takenOut.contains(new FailureDomainId("b"));
            }
        };

        /** Makes the change; the result tells whether it is in force at an instance. */
        abstract Known make(SimulatedViews views, Random random);
    }

    private interface Known {
        boolean inForce(SimulatedViews.Instance instance);
    }

    /** What goes wrong. The change is made during it. */
    private enum Trouble {
        NONE {
            @Override
            long around(SimulatedViews views, Random random, Runnable change) {
                change.run();
                return 0;
            }
        },
        /** Watches hear nothing for a second and more, then the history is gone; the change is made before or in it. */
        HISTORY_DROPPED {
            @Override
            long around(SimulatedViews views, Random random, Runnable change) {
                int silentFrom = random.nextInt(SILENT_MILLIS);
                int madeAt = random.nextInt(silentFrom + SILENT_MILLIS);
                for (int at = 0; at < silentFrom + SILENT_MILLIS; at += 2) {
                    if (at >= silentFrom && at < silentFrom + 2) {
                        views.store.silenceWatches(random.nextBoolean());
                    }
                    if (at >= madeAt && at < madeAt + 2) {
                        change.run();
                    }
                    views.store.run(2);
                }
                views.store.compact();
                return 0;
            }
        },
        /** The same, and an instance does not get the answer to its read. */
        READ_ANSWER_LOST {
            @Override
            long around(SimulatedViews views, Random random, Runnable change) {
                views.any().client.loseReadAnswers(1);
                return HISTORY_DROPPED.around(views, random, change);
            }
        },
        /** The same, and the change is made just after the history was dropped. */
        HISTORY_DROPPED_BEFORE {
            @Override
            long around(SimulatedViews views, Random random, Runnable change) {
                views.store.silenceWatches(random.nextBoolean());
                views.store.run(random.nextInt(1_000));
                views.writeConfig();
                views.store.run(1_000);
                views.store.compact();
                views.store.run(random.nextInt(1_500));
                change.run();
                return 0;
            }
        },
        /** One instance does not get the answer to its watch, while its other calls pass. */
        WATCH_ANSWER_LOST {
            @Override
            long around(SimulatedViews views, Random random, Runnable change) {
                views.any().client.loseWatchAnswers(1);
                views.store.run(random.nextInt(400));
                change.run();
                return 0;
            }
        },
        /** One call of one instance is refused at a quiet moment. */
        CALL_REFUSED {
            @Override
            long around(SimulatedViews views, Random random, Runnable change) {
                views.any().callRefused();
                views.store.run(random.nextInt(600));
                change.run();
                return 0;
            }
        },
        /** The event loop of one instance is late. */
        INSTANCE_LATE {
            @Override
            long around(SimulatedViews views, Random random, Runnable change) {
                views.any().client.late(150);
                views.store.run(random.nextInt(3_000));
                change.run();
                return 0;
            }
        },
        /** The store refuses one instance for a while and serves the others. */
        INSTANCE_REFUSED {
            @Override
            long around(SimulatedViews views, Random random, Runnable change) {
                SimulatedViews.Instance refused = views.any();
                refused.client.refused(true);
                views.store.run(2_000 + random.nextInt(3_000));
                change.run();
                views.store.run(1_000);
                refused.client.refused(false);
                return 1_000 + CONTACT_MILLIS;
            }
        },
        /** The same, and the change is made just after the store serves it again. */
        INSTANCE_REFUSED_BEFORE {
            @Override
            long around(SimulatedViews views, Random random, Runnable change) {
                SimulatedViews.Instance refused = views.any();
                refused.client.refused(true);
                views.store.run(3_000 + random.nextInt(6_000));
                refused.client.refused(false);
                int since = random.nextInt(1_500);
                views.store.run(since);
                change.run();
                return CONTACT_MILLIS - since;
            }
        },
        /** The same, and the calls of the instance were not answered instead of refused. */
        INSTANCE_SILENT_BEFORE {
            @Override
            long around(SimulatedViews views, Random random, Runnable change) {
                SimulatedViews.Instance unanswered = views.any();
                unanswered.client.silent(true);
                views.store.run(3_000 + random.nextInt(6_000));
                unanswered.client.silent(false);
                int since = random.nextInt(1_500);
                views.store.run(since);
                change.run();
                return CONTACT_MILLIS - since;
            }
        },
        /** The store refuses every call for a while; the change is made when it has been back for long enough. */
        STORE_AWAY_BEFORE {
            @Override
            long around(SimulatedViews views, Random random, Runnable change) {
                views.store.away(true);
                views.store.run(1_000 + random.nextInt(4_000));
                views.store.away(false);
                views.store.run(CONTACT_MILLIS);
                change.run();
                return 0;
            }
        },
        STORE_SLOW_BEFORE {
            @Override
            long around(SimulatedViews views, Random random, Runnable change) {
                views.store.slow(true);
                views.store.run(1_000 + random.nextInt(4_000));
                views.store.slow(false);
                views.store.run(CONTACT_MILLIS);
                change.run();
                return 0;
            }
        },
        /** The store refuses a third of the instances, and the change is made at any time meanwhile. */
        THIRD_REFUSED {
            @Override
            long around(SimulatedViews views, Random random, Runnable change) {
                views.third(PARTIAL_MILLIS, SimulatedStore.Client::refused);
                views.store.run(random.nextInt(PARTIAL_MILLIS));
                change.run();
                return 0;
            }
        },
        /** The same, and the change is made at about the time at which the refusal begins. */
        THIRD_REFUSED_JUST_NOW {
            @Override
            long around(SimulatedViews views, Random random, Runnable change) {
                views.third(PARTIAL_MILLIS, SimulatedStore.Client::refused);
                views.store.run(random.nextInt(500));
                change.run();
                return 0;
            }
        },
        /** The store answers no call of a third of the instances. */
        THIRD_SILENT {
            @Override
            long around(SimulatedViews views, Random random, Runnable change) {
                views.third(PARTIAL_MILLIS, SimulatedStore.Client::silent);
                views.store.run(random.nextInt(PARTIAL_MILLIS));
                change.run();
                return views.boundMillis + ChangeBudget.PAGE_MILLIS;
            }
        },
        THIRD_SILENT_JUST_NOW {
            @Override
            long around(SimulatedViews views, Random random, Runnable change) {
                views.third(PARTIAL_MILLIS, SimulatedStore.Client::silent);
                views.store.run(random.nextInt(500));
                change.run();
                return views.boundMillis + ChangeBudget.PAGE_MILLIS;
            }
        },
        /** The store does not serve a third of the instances, and a part of the links between instances is cut. */
        THIRD_REFUSED_LINKS_CUT {
            @Override
            long around(SimulatedViews views, Random random, Runnable change) {
                views.cutLinks(CUT_LINKS);
                THIRD_REFUSED.around(views, random, change);
                return views.boundMillis + STRETCH_MILLIS;
            }
        },
        THIRD_SILENT_LINKS_CUT {
            @Override
            long around(SimulatedViews views, Random random, Runnable change) {
                views.cutLinks(CUT_LINKS);
                THIRD_SILENT_JUST_NOW.around(views, random, change);
                return views.boundMillis + STRETCH_MILLIS;
            }
        };

        /** Returns the earliest time after the change at which it has to be in force, if later than by the bound. */
        abstract long around(SimulatedViews views, Random random, Runnable change);
    }

    private static void assertInForceInTime(Trouble trouble, Change change) {
        for (int fleet : FLEETS) {
            for (int seed = 0; seed < (fleet > LARGE_FLEET ? SEEDS_OF_LARGE_FLEETS : SEEDS); seed++) {
                for (long bound : BOUNDS_MILLIS) {
                    String name = fleet + " instances, seed " + seed + ", bound " + bound + " ms";
                    SimulatedViews views = new SimulatedViews(fleet, bound, new Random(seed));
                    long late = lateMillis(views, bound, new Random(seed), trouble, change);
                    assertTrue(late <= 0, () -> name + ": in force " + late + " ms too late");
                }
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    void changeIsInForceOnACalmDay(Change change) {
        assertInForceInTime(Trouble.NONE, change);
    }

    /** A cut watch was taken for an outage, so listings that were missing in the next read stayed in use. */
    @ParameterizedTest
    @EnumSource
    void changeDuringSilentWatchesIsInForceAfterTheHistoryIsGone(Change change) {
        assertInForceInTime(Trouble.HISTORY_DROPPED, change);
    }

    @ParameterizedTest
    @EnumSource
    void changeIsInForceAlthoughTheAnswerToTheReadIsLost(Change change) {
        assertInForceInTime(Trouble.READ_ANSWER_LOST, change);
    }

    /** The same for a removal within two seconds after the cut. */
    @ParameterizedTest
    @EnumSource
    void changeIsInForceJustAfterTheHistoryWasDropped(Change change) {
        assertInForceInTime(Trouble.HISTORY_DROPPED_BEFORE, change);
    }

    /** A watch without an answer was given up only after 4.8 s. */
    @ParameterizedTest
    @EnumSource
    void changeIsInForceAlthoughTheAnswerToAWatchIsLost(Change change) {
        assertInForceInTime(Trouble.WATCH_ANSWER_LOST, change);
    }

    /** One refused call while a watch had waited for a second was taken for an outage. */
    @ParameterizedTest
    @EnumSource
    void changeIsInForceAfterARefusedCall(Change change) {
        assertInForceInTime(Trouble.CALL_REFUSED, change);
    }

    @ParameterizedTest
    @EnumSource
    void changeIsInForceAtALateInstance(Change change) {
        assertInForceInTime(Trouble.INSTANCE_LATE, change);
    }

    @ParameterizedTest
    @EnumSource
    void changeIsInForceAtAnInstanceThatWasRefused(Change change) {
        assertInForceInTime(Trouble.INSTANCE_REFUSED, change);
    }

    /** Listings that were missing when an instance was served again stayed in use for too long. */
    @ParameterizedTest
    @EnumSource
    void changeIsInForceAtAnInstanceThatIsServedAgain(Change change) {
        assertInForceInTime(Trouble.INSTANCE_REFUSED_BEFORE, change);
    }

    /** An instance that got no answers waited longer for each, and noticed late that it gets some again. */
    @ParameterizedTest
    @EnumSource
    void changeIsInForceAtAnInstanceThatIsAnsweredAgain(Change change) {
        assertInForceInTime(Trouble.INSTANCE_SILENT_BEFORE, change);
    }

    @ParameterizedTest
    @EnumSource
    void changeIsInForceAfterTheStoreWasAway(Change change) {
        assertInForceInTime(Trouble.STORE_AWAY_BEFORE, change);
    }

    @ParameterizedTest
    @EnumSource
    void changeIsInForceAfterTheStoreWasSlow(Change change) {
        assertInForceInTime(Trouble.STORE_SLOW_BEFORE, change);
    }

    /** An instance that the store refused kept its last view until the store served it again. */
    @ParameterizedTest
    @EnumSource
    void changeIsInForceAtAThirdThatIsRefused(Change change) {
        assertInForceInTime(Trouble.THIRD_REFUSED, change);
        assertInForceInTime(Trouble.THIRD_REFUSED_JUST_NOW, change);
    }

    /** The same for instances whose calls were not answered. */
    @ParameterizedTest
    @EnumSource
    void changeIsInForceAtAThirdThatGetsNoAnswers(Change change) {
        assertInForceInTime(Trouble.THIRD_SILENT, change);
        assertInForceInTime(Trouble.THIRD_SILENT_JUST_NOW, change);
    }

    /** A peer that is not reached, or not served itself, is followed by another. */
    @ParameterizedTest
    @EnumSource(names = {"VERSION", "SERVER_GONE"})
    void changeIsInForceAlthoughSomePeersAreNotReached(Change change) {
        assertInForceInTime(Trouble.THIRD_REFUSED_LINKS_CUT, change);
        assertInForceInTime(Trouble.THIRD_SILENT_LINKS_CUT, change);
    }

    /** Instances that are not served must not all ask the same peer, which refuses what is beyond its limit. */
    @Test
    void instancesThatAreNotServedSpreadOverTheOthers() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedViews views = new SimulatedViews(82, BOUNDS_MILLIS[1], new Random(seed));
            views.store.run(SETTLE_MILLIS);
            views.third(PARTIAL_MILLIS, SimulatedStore.Client::refused);
            views.store.run(PARTIAL_MILLIS);
            int most = views.mostCallsForPeers;
            assertTrue(most > 0 && most < StoreRelay.MOST_CALLS / 2, () -> "one instance made " + most + " calls");
        }
    }

    /** Calls through peers must not add to the load of a store that serves no instance. */
    @Test
    void storeThatServesNoInstanceGetsNoCallsThroughPeers() {
        SimulatedViews views = new SimulatedViews(82, BOUNDS_MILLIS[0], new Random(1));
        views.store.run(SETTLE_MILLIS);
        views.store.away(true);
        views.store.run(AWAY_NOTICED_MILLIS);
        views.mostCallsForPeers = 0;
        int before = views.store.calls;
        views.store.run(PARTIAL_MILLIS);
        int calls = views.store.calls - before;
        assertEquals(0, views.mostCallsForPeers);
        long most = 82 * PARTIAL_MILLIS / LONGEST_BACKOFF_MILLIS + 82 * PARTIAL_MILLIS / RENEW_AGAIN_MILLIS;
        assertTrue(calls <= most, () -> calls + " calls, not " + most);
    }

    /** Refused renewals while reads pass were taken for an outage again and again. */
    @Test
    void readsThroughAPeerAreToldOnce() {
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        SimulatedViews views = new SimulatedViews(3, BOUNDS_MILLIS[0], new Random(1), log);
        views.store.run(SETTLE_MILLIS);
        views.third(PARTIAL_MILLIS, SimulatedStore.Client::refused);
        views.store.run(PARTIAL_MILLIS + CONTACT_MILLIS);
        views.endLog();
        String text = log.toString(StandardCharsets.UTF_8);
        assertEquals(1, count(text, "store-reads-relayed"));
        assertEquals(1, count(text, "store-reads-direct"));
        assertTrue(count(text, "store-lost") <= 1, text);
        assertEquals(0, count(text, "listing-kept"));
    }

    private static long count(String log, String event) {
        return log.lines().filter(line -> line.contains(event)).count();
    }

    /** A server that lives lists itself again up to two seconds after an outage in which its listing lapsed. */
    @Test
    void lapsedListingsStayInUseUntilTheyAreBack() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            SimulatedViews views = new SimulatedViews(66, BOUNDS_MILLIS[0], random);
            views.store.run(SETTLE_MILLIS);
            views.store.away(true);
            views.store.run(2_500 + random.nextInt(2_500));
            views.store.delete(SimulatedViews.server(7));
            views.store.away(false);
            for (int elapsed = 0; elapsed < LISTED_AGAIN_MILLIS; elapsed += 10) {
                views.store.run(10);
                assertTrue(views.instances.stream().allMatch(each -> each.uses(SimulatedViews.server(7))));
            }
            views.list(SimulatedViews.server(7), false);
            views.store.run(3_000);
            assertTrue(views.instances.stream().allMatch(each -> each.uses(SimulatedViews.server(7))));
        }
    }

    /** One that is still missing is gone. */
    @Test
    void lapsedListingsThatDoNotReturnAreRemoved() {
        SimulatedViews views = new SimulatedViews(66, BOUNDS_MILLIS[0], new Random(1));
        views.store.run(SETTLE_MILLIS);
        views.store.away(true);
        views.store.run(4_000);
        views.store.delete(SimulatedViews.server(7));
        views.store.away(false);
        views.store.run(LISTED_AGAIN_MILLIS + BOUNDS_MILLIS[0]);
        assertTrue(views.instances.stream().noneMatch(each -> each.uses(SimulatedViews.server(7))));
    }

    /** Plays one day; returns by how much the change was late at the last instance. */
    private static long lateMillis(
            SimulatedViews views, long boundMillis, Random random, Trouble trouble, Change change) {
        views.store.run(SETTLE_MILLIS + random.nextInt(2_000));
        long[] madeAt = new long[1];
        Known[] known = new Known[1];
        long excused = trouble.around(views, random, () -> {
            madeAt[0] = views.store.now;
            known[0] = change.make(views, random);
        });
        long dueAt = madeAt[0] + Math.max(boundMillis - REQUEST_MILLIS, excused);
        while (!views.instances.stream().allMatch(known[0]::inForce) && views.store.now < dueAt + GIVE_UP_MILLIS) {
            views.store.run(10);
        }
        return views.store.now - dueAt;
    }
}
