package org.jackdawslip.internal.balance;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
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

    /**
     * Servers start cold while instances start, end, are cut off from the store and lose their listings. Listings that
     * the store removes too early may make four senders of two, which the tightest bound still covers.
     */
    @Property(tries = 40)
    void coldServersAreNotFloodedInRandomHistories(@ForAll long seed) {
        Random random = new Random(seed);
        Bound bound = Bound.values()[random.nextInt(Bound.values().length)];
        SimulatedFleet fleet = new SimulatedFleet(2 + random.nextInt(100), bound.rate, seed);
        fleet.run(random.nextInt(15_000));
        boolean lost = false;
        for (int step = 0; step < 40; step++) {
            SimulatedFleet.Node node = fleet.nodes.get(random.nextInt(fleet.nodes.size()));
            switch (random.nextInt(8)) {
                case 0 -> node.kill();
                case 1 -> node.stop();
                case 2 -> node.start();
                case 3 -> node.cutFromStore(true);
                case 4 -> fleet.nodes.forEach(each -> each.cutFromStore(false));
                case 5 -> {
                    if (!lost) {
                        lost = true;
                        fleet.lapseListing(node);
                    }
                }
                case 6 -> fleet.takesWrites(random.nextBoolean());
                default -> fleet.startServer(COLD_MILLIS);
            }
            fleet.run(random.nextInt(1_500));
        }
        assertBorne(fleet, bound);
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

    /** Instances that are not listed do not see one another, and each would be among the two senders of its view. */
    @Test
    void coldServerIsNotFloodedByInstancesThatCannotBeListed() {
        SimulatedFleet fleet = new SimulatedFleet(66, Bound.ATLAS_GROWN.rate, 5);
        fleet.run(SETTLE_MILLIS);
        fleet.nodes.forEach(SimulatedFleet.Node::stop);
        fleet.takesWrites(false);
        fleet.nodes.forEach(SimulatedFleet.Node::start);
        fleet.startServer(COLD_MILLIS);
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
