package org.jackdawslip.internal.ownership;

import net.jqwik.api.Example;
import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.bundle.ServicePolicy.OnSilence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

/**
 * The store comes back from an earlier copy: records are lost, and indexes and epochs of the lost records may
 * be given out again.
 */
class RestoredStoreTest {

    private static final String[] INSTANCES = {"a1", "a2", "a3", "a4"};

    private static DomainHarness startAndSettle(long seed, OnSilence policy, String... instances) {
        DomainHarness harness = new DomainHarness(seed, SafetyRules.ALL, policy, instances);
        harness.runUntilServed(5_000);
        harness.run(2_000);
        return harness;
    }

    /** Guards against a coordinator whose record in the store can never change again, so that its loss ends the service. */
    @Example
    void coordinatorIsReplacedAfterItsRecordWasLost() {
        DomainHarness harness = startAndSettle(3, OnSilence.STAY, INSTANCES);
        harness.copyStore();
        harness.kill(harness.successor());
        harness.run(4_000);
        harness.restoreStore();
        harness.run(3_000);
        harness.kill(harness.coordinator());
        harness.run(20);
        harness.runUntilServed(5_000);
    }

    /** Guards against a coordinator that cannot replace its lost successor after the record was lost. */
    @Example
    void successorIsReplacedAfterTheRecordWasLost() {
        DomainHarness harness = startAndSettle(4, OnSilence.STAY, INSTANCES);
        harness.copyStore();
        harness.kill(harness.successor());
        harness.run(4_000);
        harness.restoreStore();
        harness.run(3_000);
        InstanceId lost = harness.successor();
        harness.kill(lost);
        harness.run(5_000);
        assertNotEquals(lost, harness.successor());
    }

    /** Guards against the coordinator of the copy that gets an epoch a second time and acts beside the current one. */
    @Example
    void restartedCoordinatorOfTheCopyDoesNotAct() {
        for (int seed = 0; seed < 40; seed++) {
            DomainHarness harness = startAndSettle(seed, OnSilence.STAY, INSTANCES);
            InstanceId former = harness.coordinator();
            harness.copyStore();
            harness.kill(former);
            harness.run(4_000);
            InstanceId current = harness.coordinator();
            harness.restoreStore();
            harness.start(former);
            harness.run(5_000);
            harness.runUntilServed(2_000);
            assertEquals(current, harness.coordinator());
        }
    }
}
