package org.jackdawslip.internal.balance;

import org.jackdawslip.internal.balance.UnannouncedColdFleet.Service;
import org.jackdawslip.internal.balance.UnannouncedColdFleet.Store;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a backend server that turns cold without a word and gets more than it bears from all instances together
 * before they know it, whatever their number and whatever the store tells them meanwhile.
 */
class ColdUnannouncedFleetTest {

    private static final int SEEDS = 3;
    private static final double BURST = 1.7;
    private static final long LEAD_MILLIS = 2_000;
    private static final long DOWN_MILLIS = 300;
    private static final long OUT_MILLIS = 4_000;
    /** Smallest part of the requests that instances send while enough servers are warm. */
    private static final double SENT_SHARE = 0.9;

    /** Services of few servers, and one whose requests are for one key. */
    private enum Load {
        RECHECK(new Service(5, 8, 226, false, 55, 174, 606, 5.7, 5.7 * 1.5 + 8)),
        LOOPCHECK(new Service(3, 7, 152, false, 64, 252, 606, 4.3, 4.3 * 1.5 + 8)),
        HOT_KEY(new Service(5, 8, 150, true, 298, 803, 1_500, 5.7, 5.7 * 1.5 + 8));

        final Service service;

        Load(Service service) {
            this.service = service;
        }

        UnannouncedColdFleet settled(int instances, double factor, long seed) {
            UnannouncedColdFleet fleet = new UnannouncedColdFleet(service, instances, seed);
            fleet.run(UnannouncedColdFleet.SETTLE_MILLIS);
            fleet.requestsPerSecond(factor * service.requestsPerSecond());
            fleet.run(LEAD_MILLIS);
            return fleet;
        }

        void assertBorne(int worst) {
            assertTrue(
                    worst <= service.mostInASecond(),
                    () -> String.format(
                            "%d requests in a second at a cold server that bears %.2f",
                            worst, service.mostInASecond()));
        }
    }

    /** Turns the fastest server cold in place and returns the most requests that it got in a second. */
    private static int worstInPlace(Load load, int instances, Store store, double factor) {
        int worst = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            UnannouncedColdFleet fleet = load.settled(instances, factor, seed);
            fleet.store(store);
            fleet.fastest().turnCold();
            fleet.run(UnannouncedColdFleet.COLD_MILLIS);
            worst = Math.max(worst, fleet.worst());
        }
        return worst;
    }

    /** Until its listing told that it was cold, all instances sent the usual load to it. */
    @ParameterizedTest
    @CsvSource({
        "RECHECK, 66, ANSWERS", "RECHECK, 66, SLOW", "RECHECK, 66, SILENT", "RECHECK, 66, REFUSES_A_THIRD",
        "RECHECK, 82, ANSWERS", "RECHECK, 300, ANSWERS", "RECHECK, 300, SILENT", "LOOPCHECK, 66, ANSWERS",
        "LOOPCHECK, 82, ANSWERS", "LOOPCHECK, 82, SLOW", "LOOPCHECK, 82, SILENT", "LOOPCHECK, 82, REFUSES_A_THIRD",
        "LOOPCHECK, 300, ANSWERS"
    })
    void serverThatTurnsColdInPlaceIsNotFlooded(Load load, int instances, Store store) {
        load.assertBorne(worstInPlace(load, instances, store, 1));
    }

    /** In a burst the usual load reaches the bound within 0.15 s, before any listing can tell. */
    @ParameterizedTest
    @CsvSource({"RECHECK, 66, ANSWERS", "RECHECK, 300, SILENT", "LOOPCHECK, 82, ANSWERS"})
    void serverThatTurnsColdInABurstIsNotFlooded(Load load, int instances, Store store) {
        load.assertBorne(worstInPlace(load, instances, store, BURST));
    }

    /** Only instances whose sends failed while it was down took it for cold; the others went on as before. */
    @ParameterizedTest
    @CsvSource({
        "RECHECK, 66, ANSWERS",
        "RECHECK, 66, SILENT",
        "RECHECK, 66, REFUSES_A_THIRD",
        "RECHECK, 300, SLOW",
        "LOOPCHECK, 82, ANSWERS",
        "LOOPCHECK, 82, SILENT"
    })
    void serverThatRestartsUnderItsIdIsNotFlooded(Load load, int instances, Store store) {
        int worst = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            UnannouncedColdFleet fleet = load.settled(instances, 1, seed);
            fleet.store(store);
            fleet.fastest().restart(DOWN_MILLIS);
            fleet.run(DOWN_MILLIS + UnannouncedColdFleet.COLD_MILLIS);
            worst = Math.max(worst, fleet.worst());
        }
        load.assertBorne(worst);
    }

    private static int worstBroughtBack(Load load, int instances, Store store) {
        int worst = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            UnannouncedColdFleet fleet = load.settled(instances, BURST, seed);
            fleet.store(store);
            fleet.takeOut(fleet.fastest().domain);
            fleet.run(OUT_MILLIS);
            fleet.bringBack(fleet.fastest().domain);
            fleet.run(UnannouncedColdFleet.COLD_MILLIS);
            worst = Math.max(worst, fleet.worst());
        }
        return worst;
    }

    /** Servers of a domain that is brought back are cold before their listings say so. */
    @ParameterizedTest
    @CsvSource({"RECHECK, 66, ANSWERS", "RECHECK, 300, SLOW", "LOOPCHECK, 82, ANSWERS"})
    void serversOfADomainThatIsBroughtBackAreNotFlooded(Load load, int instances, Store store) {
        load.assertBorne(worstBroughtBack(load, instances, store));
    }

    /** Instances that the store refused never knew that the domain was out, and sent to its cold servers throughout. */
    @ParameterizedTest
    @CsvSource({"RECHECK, 66", "RECHECK, 300", "LOOPCHECK, 82"})
    void serversOfADomainThatIsBroughtBackAreNotFloodedByInstancesThatTheStoreRefuses(Load load, int instances) {
        load.assertBorne(worstBroughtBack(load, instances, Store.REFUSES_A_THIRD));
    }

    /** Only instances that the store refused still used the domain, and had its server nearly to themselves. */
    @ParameterizedTest
    @CsvSource({"RECHECK, 66", "RECHECK, 300", "LOOPCHECK, 82"})
    void serverOfADomainThatIsOutIsNotFloodedByInstancesThatTheStoreRefuses(Load load, int instances) {
        int worst = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            UnannouncedColdFleet fleet = load.settled(instances, 1, seed);
            fleet.store(Store.REFUSES_A_THIRD);
            fleet.takeOut(fleet.fastest().domain);
            fleet.run(OUT_MILLIS);
            fleet.fastest().turnCold();
            fleet.run(UnannouncedColdFleet.COLD_MILLIS);
            worst = Math.max(worst, fleet.worst());
        }
        load.assertBorne(worst);
    }

    /** All requests for a hot key go to one server, and each instance admits them by its own view of the load. */
    @ParameterizedTest
    @CsvSource({"66, ANSWERS", "66, SILENT", "66, REFUSES_A_THIRD", "82, SLOW", "300, ANSWERS"})
    void ownerOfAHotKeyThatTurnsColdIsNotFlooded(int instances, Store store) {
        Load.HOT_KEY.assertBorne(worstInPlace(Load.HOT_KEY, instances, store, 1));
    }

    /** A gateway that withholds requests would keep the bound and serve nobody. */
    @ParameterizedTest
    @CsvSource({
        "RECHECK, 66, ANSWERS",
        "RECHECK, 300, ANSWERS",
        "RECHECK, 66, SILENT",
        "LOOPCHECK, 82, ANSWERS",
        "LOOPCHECK, 82, SLOW",
        "LOOPCHECK, 82, REFUSES_A_THIRD"
    })
    void requestsAreSentWhileAllServersAreWarm(Load load, int instances, Store store) {
        UnannouncedColdFleet fleet = load.settled(instances, 1, 1);
        fleet.store(store);
        fleet.run(UnannouncedColdFleet.COLD_MILLIS);
        assertTrue(fleet.sentShare() >= SENT_SHARE, () -> "only a share of " + fleet.sentShare() + " was sent");
    }

    /** The warm servers of a service serve its requests while one is cold. */
    @ParameterizedTest
    @CsvSource({"RECHECK, 66, ANSWERS", "LOOPCHECK, 82, ANSWERS", "LOOPCHECK, 300, SILENT"})
    void requestsAreSentToWarmServersWhileOneIsCold(Load load, int instances, Store store) {
        UnannouncedColdFleet fleet = load.settled(instances, 1, 1);
        fleet.store(store);
        fleet.fastest().turnCold();
        fleet.run(UnannouncedColdFleet.COLD_MILLIS);
        assertTrue(fleet.sentShare() >= SENT_SHARE, () -> "only a share of " + fleet.sentShare() + " was sent");
    }
}
