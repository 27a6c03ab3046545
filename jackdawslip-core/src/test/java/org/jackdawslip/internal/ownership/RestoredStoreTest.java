package org.jackdawslip.internal.ownership;

import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.jackdawslip.BackendServerId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.bundle.DomainState;
import org.jackdawslip.internal.bundle.ServicePolicy.OnSilence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * The store comes back from an earlier copy: records are lost, and indexes and epochs of the lost records may
 * be given out again.
 */
class RestoredStoreTest {

    private static final String[] INSTANCES = {"a1", "a2", "a3", "a4"};
    private static final String[] TWO_DOMAINS = {"a1", "a2", "a3", "b1", "b2", "b3"};

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

    /** Guards against a coordinator without a record in the store, which no successor can take over from. */
    @Example
    void coordinatorIsReplacedAfterAllRecordsWereLost() {
        DomainHarness harness = startAndSettle(5, OnSilence.STAY, INSTANCES);
        harness.restoreStore();
        harness.run(3_000);
        harness.kill(harness.coordinator());
        harness.run(20);
        harness.runUntilServed(5_000);
    }

    /** Guards against ranges that stay without owner, because their transfer to another failure domain was lost. */
    @Example
    void rangesAreTransferredAfterATransferWasLost() {
        DomainHarness harness = startAndSettle(6, OnSilence.STAY, TWO_DOMAINS);
        harness.copyStore();
        harness.bundle(DomainState.OUT, "b");
        harness.run(5_000);
        harness.runUntilServed(2_000);
        harness.restoreStore();
        harness.run(6_000);
        harness.runUntilServed(2_000);
        harness.bundle(DomainState.IN, "b");
        harness.run(20_000);
        harness.bundle(DomainState.OUT, "a");
        harness.run(5_000);
        harness.runUntilServed(2_000);
    }

    /**
     * Guards against two owners of a range after the store lost its transfer and the failure domain that had
     * the range before was restarted.
     */
    @Example
    void restartedDomainDoesNotTakeRangesBack() {
        DomainHarness harness = startAndSettle(7, OnSilence.STAY, TWO_DOMAINS);
        harness.mayLoseTable = true;
        harness.copyStore();
        harness.bundle(DomainState.OUT, "b");
        harness.run(5_000);
        harness.runUntilServed(2_000);
        harness.homesWatched = false;
        harness.restoreStore();
        harness.run(3_000);
        List<InstanceId> restarted = harness.processes.keySet().stream()
                .filter(id -> id.value().startsWith("b"))
                .toList();
        restarted.forEach(harness::kill);
        harness.run(2_000);
        restarted.forEach(harness::start);
        harness.bundle(DomainState.IN, "b");
        harness.run(20_000);
        harness.runUntilServed(2_000);
    }

    /** Guards against two owners of a range whose transfer to another failure domain was lost. */
    @Property(tries = 60, shrinking = ShrinkingMode.OFF)
    void lostTransferLeavesOneOwner(@ForAll long seed, @ForAll OnSilence policy) {
        DomainHarness harness = startAndSettle(seed, policy, TWO_DOMAINS);
        harness.mayLoseTable = true;
        for (int i = 0; i < 4; i++) {
            harness.copyStore();
            harness.bundle(i % 2 == 0 ? DomainState.OUT : DomainState.IN, "b");
            harness.run(harness.random.nextInt(6_000));
            if (harness.random.nextBoolean()) {
                harness.kill(harness.processes.firstKey());
            }
            harness.restoreStore();
            harness.run(harness.random.nextInt(3_000));
            restartAll(harness);
            harness.run(3_000);
        }
        harness.bundle(DomainState.IN, "b");
        harness.runUntilServed(15_000);
    }

    /** Guards against two owners or two senders after the store came back from a copy amid the loss of instances. */
    @Property(tries = 150, shrinking = ShrinkingMode.OFF)
    void ownersAndSendersStayUnique(@ForAll long seed, @ForAll OnSilence policy) {
        DomainHarness harness = new DomainHarness(seed, SafetyRules.ALL, policy, INSTANCES);
        harness.mayLoseTable = true;
        harness.run(3_000);
        harness.copyStore();
        harness.maxDelay = 1 + harness.random.nextInt(60);
        List<InstanceId> ids = List.copyOf(harness.processes.keySet());
        List<BackendServerId> servers = List.copyOf(harness.servers.keySet());
        for (int i = 0; i < 14; i++) {
            InstanceId id = ids.get(harness.random.nextInt(ids.size()));
            BackendServerId server = servers.get(harness.random.nextInt(servers.size()));
            switch (harness.random.nextInt(7)) {
                case 0 -> {
                    if (harness.processes.values().stream()
                                    .filter(process -> !process.dead)
                                    .count()
                            > 2) {
                        harness.kill(id);
                    }
                }
                case 1 -> {
                    if (harness.processes.get(id).dead) {
                        harness.start(id);
                    }
                }
                case 2 -> harness.freeze(server, !harness.servers.get(server).frozen);
                case 3 -> harness.copyStore();
                case 4 -> harness.restoreStore();
                case 5 -> harness.storeLosesResponses = !harness.storeLosesResponses;
                default -> harness.loss = harness.random.nextDouble() * 0.1;
            }
            harness.run(50 + harness.random.nextInt(1_500));
        }
        harness.loss = 0;
        harness.maxDelay = 3;
        harness.storeLosesResponses = false;
        harness.servers.values().forEach(server -> server.frozen = false);
        restartAll(harness);
        harness.runUntilServed(15_000);
    }

    private static void restartAll(DomainHarness harness) {
        List.copyOf(harness.processes.values()).stream()
                .filter(process -> process.dead)
                .forEach(process -> harness.start(process.id));
        assertTrue(harness.processes.values().stream().noneMatch(process -> process.dead));
    }
}
