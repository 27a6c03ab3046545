package org.jackdawslip.internal.keyspace;

import java.util.EnumSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.stream.LongStream;

import org.jackdawslip.BackendServerId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against two owners of a key, reused tokens and two key coordinators when the store comes back from earlier
 * copies of itself, and against keys that stay without an owner afterwards.
 */
class StoreReturnTest {

    private static final int SEEDS = 50;
    private static final long FAULTY_MILLIS = 150_000;
    private static final long QUIET_MILLIS = 45_000;
    /** Longer than a takeover and the hold after it, when the keys of a draining server move. */
    private static final long MOVE_MILLIS = 14_000;
    /** The same after the wait for the end of earlier grants. */
    private static final long WAIT_AND_MOVE_MILLIS = 25_000;

    /** The lease of a paused holder expires, its successor moves keys, and the store loses that. */
    private static void returnAfterLeaseExpired(StoreReturnSimulation simulation) {
        simulation.runQuietly(8_000);
        SimulatedRouter earlier = simulation.coordinator();
        ReturningStore.Copy copy = simulation.store.takeCopy(simulation.now);
        earlier.pausedUntil = simulation.now + MOVE_MILLIS + 1;
        // The server gets no further grant, so it knows no higher token by which it would refuse those of the copy.
        simulation.draining.add(new BackendServerId("s0"));
        simulation.runQuietly(MOVE_MILLIS);
        simulation.draining.clear();
        simulation.returnWithRestarts(copy, earlier);
        simulation.runQuietly(QUIET_MILLIS);
    }

    /** A holder learns of a return and pauses; another one moves keys, and the store comes back again. */
    private static void returnAfterUnusedMemory(StoreReturnSimulation simulation) {
        simulation.runQuietly(8_000);
        SimulatedRouter earlier = simulation.coordinator();
        ReturningStore.Copy copy = simulation.store.takeCopy(simulation.now);
        simulation.store.restore(copy, simulation.now);
        simulation.store.endAllLeases(simulation.now);
        while (earlier.mayCoordinate()) {
            simulation.runQuietly(1);
        }
        earlier.pausedUntil = simulation.now + WAIT_AND_MOVE_MILLIS + 1;
        simulation.draining.add(new BackendServerId("s0"));
        simulation.runQuietly(WAIT_AND_MOVE_MILLIS);
        simulation.draining.clear();
        simulation.returnWithRestarts(copy, earlier);
        simulation.runQuietly(QUIET_MILLIS);
    }

    private static void runScenarios(long seed, Set<StoreReturnSimulation.Guard> withoutGuards) {
        StoreReturnSimulation randomFaults = new StoreReturnSimulation(seed);
        randomFaults.withoutGuards.addAll(withoutGuards);
        int held = randomFaults.run(FAULTY_MILLIS, QUIET_MILLIS);
        assertEquals(KeySegment.SLOTS, held, "slots that have an owner at the end");
        StoreReturnSimulation expiry = new StoreReturnSimulation(seed);
        expiry.withoutGuards.addAll(withoutGuards);
        returnAfterLeaseExpired(expiry);
        StoreReturnSimulation memory = new StoreReturnSimulation(seed);
        memory.withoutGuards.addAll(withoutGuards);
        returnAfterUnusedMemory(memory);
    }

    private static String violation(long seed, Set<StoreReturnSimulation.Guard> withoutGuards) {
        try {
            runScenarios(seed, withoutGuards);
            return null;
        } catch (AssertionError e) {
            return "seed " + seed + ": " + e.getMessage();
        }
    }

    @Test
    void keysHaveSingleOwnersThroughReturns() {
        List<String> violations = LongStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> violation(seed, Set.of()))
                .filter(Objects::nonNull)
                .toList();
        assertEquals(List.of(), violations);
    }

    /** Guards against a simulation in which some way to start with an owner table never occurs. */
    @Test
    void eachReasonOccurs() {
        Set<TableRecovery.Reason> reasons = EnumSet.noneOf(TableRecovery.Reason.class);
        for (long seed = 1; seed <= SEEDS; seed++) {
            StoreReturnSimulation simulation = new StoreReturnSimulation(seed);
            simulation.run(FAULTY_MILLIS, 0);
            reasons.addAll(simulation.plans.keySet());
        }
        reasons.remove(TableRecovery.Reason.LATER_ERA);
        assertEquals(EnumSet.complementOf(EnumSet.of(TableRecovery.Reason.LATER_ERA)), reasons);
    }

    /** Guards against a simulation that would not notice the loss of one of the guards. */
    @ParameterizedTest
    @EnumSource(StoreReturnSimulation.Guard.class)
    void eachGuardIsNeeded(StoreReturnSimulation.Guard guard) {
        assertTrue(LongStream.rangeClosed(1, SEEDS).anyMatch(seed -> violation(seed, Set.of(guard)) != null));
    }
}
