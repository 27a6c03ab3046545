package org.jackdawslip.internal.balance;

import java.util.List;

import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.HeavyLoadModel.Load;
import org.jackdawslip.internal.balance.HeavyLoadModel.Site;

/**
 * The loads of docs/hard-load.md, section 3, with which rules are compared.
 */
enum HeavyLoads {
    /** A burst of the least urgent class on a keyed service without much reserve. */
    BURST_OF_THE_LEAST_URGENT(
            keyed(63, 60, 0, 1, page().times(1.1), coin().times(1.3).burst(2.6))),
    /** A burst of all classes on a keyed service. */
    BURST_OF_ALL(keyed(63, 104, 0.1, 4, page().burst(2.2), coin().burst(2.2))),
    /** A hot key range that its owners cannot serve. */
    HOT_KEYS(keyed(63, 104, 0.4, 12, page(), coin())),
    /** As {@link #HOT_KEYS}, with four classes of three priorities. */
    HOT_KEYS_OF_FOUR_CLASSES(keyed(63, 104, 0.4, 14, page(), coin(), tip(), browse())),
    /** As {@link #HOT_KEYS}; half of the callers retry at once and three times. */
    HOT_KEYS_OF_IMPATIENT_CALLERS(keyed(63, 104, 0.4, 12, page().impatient(0.5), coin().impatient(0.5))),
    /** A hot key range of a service with few slots in each server; the more urgent class is the smaller one. */
    HOT_KEYS_OF_THE_ARCHIVE(new Site(28, 79, 2, true, 0.35, 9, HeavyLoads.MILLIS, List.of(query(), release()))),
    /** As {@link #HOT_KEYS_OF_THE_ARCHIVE}, with impatient callers and a burst of the less urgent class. */
    BURST_AT_THE_ARCHIVE(new Site(
            28,
            79,
            2,
            true,
            0.35,
            9,
            HeavyLoads.MILLIS,
            List.of(query().impatient(0.5).burst(2), release()))),
    /** A burst of all classes on a service without keys, with a few, the usual and many instances. */
    POOL_OF_12_INSTANCES(pool(12, 22, 3, tip().burst(2.6), browse().burst(2.6))),
    POOL_OF_63_INSTANCES(pool(63, 22, 3, tip().burst(2.6), browse().burst(2.6))),
    POOL_OF_300_INSTANCES(pool(300, 22, 3, tip().burst(2.6), browse().burst(2.6))),
    /** A burst of the less urgent class on a service without keys. */
    POOL_WITH_A_BURST_OF_THE_LEAST_URGENT(pool(63, 22, 3, tip().times(2).burst(2.6), browse().times(1.5))),
    /** A service of few servers under many instances. */
    FEW_SERVERS_OF_63_INSTANCES(pool(63, 6, 2, tip().times(0.35), browse().times(0.35))),
    FEW_SERVERS_OF_300_INSTANCES(pool(300, 6, 2, tip().times(0.35), browse().times(0.35))),
    /** A usual day without a hot range or a burst. */
    QUIET(keyed(63, 104, 0, 1, page(), coin()));

    private static final long MILLIS = 18_000;

    private final Site site;

    HeavyLoads(Site site) {
        this.site = site;
    }

    Site site() {
        return site;
    }

    private static Site keyed(int instances, int servers, double hotShare, int hotServers, Load... loads) {
        return new Site(instances, servers, 3, true, hotShare, hotServers, MILLIS, List.of(loads));
    }

    private static Site pool(int instances, int servers, int slots, Load... loads) {
        return new Site(instances, servers, slots, false, 0, 1, MILLIS, List.of(loads));
    }

    private static Load load(
            int priority,
            long targetMillis,
            long deadlineMillis,
            double perSecond,
            double workMillis,
            double valueOnTime,
            double valueLate,
            int retries) {
        RequestClass requestClass =
                new RequestClass(new ServiceName("service"), priority, targetMillis, deadlineMillis);
        return new Load(requestClass, perSecond, workMillis, valueOnTime, valueLate, retries, 0, 1);
    }

    private static Load page() {
        return load(1, 405, 1_211, 690, 120, 0.96, 0.29, 1);
    }

    private static Load coin() {
        return load(2, 1_011, 1_513, 257, 161, 0.96, 0.43, 1);
    }

    private static Load tip() {
        return load(1, 410, 819, 199, 82.5, 2.9, 0.86, 1);
    }

    private static Load browse() {
        return load(0, 205, 512, 199, 47.1, 3.6, 0.44, 1);
    }

    private static Load query() {
        return load(2, 508, 3_046, 525, 99.9, 1, 0.3, 2);
    }

    private static Load release() {
        return load(1, 303, 1_516, 163, 69, 3, 0.9, 2);
    }
}
