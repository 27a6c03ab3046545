package org.jackdawslip.internal.balance;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a cold backend server that gets more than it bears from all instances together, whatever their number
 * and whatever each knows of the others.
 */
class WarmupFleetTest {

    private static final long COLD_MILLIS = 3_000;
    /** Time in which all instances are listed and known to one another. */
    private static final long SETTLE_MILLIS = 30_000;

    /** What a server bears, as a site states it: requests a second, factor and allowance. */
    private enum Bound {
        DIMMWERK(4.3, 1.5, 5),
        ATLAS(11, 1.5, 5),
        ATLAS_GROWN(5.7, 1.5, 8);

        final double rate;
        final double most;

        Bound(double rate, double overshoot, double allowance) {
            this.rate = rate;
            this.most = rate * overshoot + allowance;
        }
    }

    private static void assertBorne(SimulatedFleet fleet, Bound bound) {
        assertTrue(
                fleet.worst() <= bound.most,
                () -> fleet.worst() + " requests in a second at a cold server that bears " + bound.most);
    }

    /** Each instance had a part of the rate, and the first request of each was free: 66 requests came at once. */
    @ParameterizedTest
    @ValueSource(ints = {1, 10, 12, 66, 82, 300, 1_000})
    void coldServerIsNotFloodedByAFleetOfAnySize(int instances) {
        SimulatedFleet fleet = new SimulatedFleet(instances, Bound.ATLAS_GROWN.rate, 1);
        fleet.run(SETTLE_MILLIS);
        fleet.startServer(COLD_MILLIS);
        fleet.run(COLD_MILLIS);
        assertBorne(fleet, Bound.ATLAS_GROWN);
    }

    /** Leases run out in an outage: an instance that sees only itself must not take itself for a sender. */
    @Test
    void coldServerIsNotFloodedAfterListingsOfInstancesLapsed() {
        SimulatedFleet fleet = new SimulatedFleet(66, Bound.ATLAS_GROWN.rate, 2);
        fleet.run(SETTLE_MILLIS);
        fleet.startServer(COLD_MILLIS);
        fleet.lapseListings();
        fleet.run(COLD_MILLIS);
        assertBorne(fleet, Bound.ATLAS_GROWN);
    }

    /** All instances started anew without listings, and read the store before the others were listed. */
    @Test
    void coldServerIsNotFloodedByInstancesThatHaveJustStarted() {
        SimulatedFleet fleet = new SimulatedFleet(66, Bound.ATLAS_GROWN.rate, 3);
        fleet.run(SETTLE_MILLIS);
        fleet.nodes.forEach(SimulatedFleet.Node::stop);
        fleet.startServer(COLD_MILLIS);
        fleet.nodes.forEach(SimulatedFleet.Node::start);
        fleet.run(COLD_MILLIS);
        assertBorne(fleet, Bound.ATLAS_GROWN);
    }
}
