package org.jackdawslip.internal.ownership;

import java.util.List;
import java.util.Random;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.jackdawslip.BackendServerId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.bundle.ServicePolicy.OnSilence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Random failures must never give two owners or two senders, and everything is served again when they end. */
class OwnershipPropertiesTest {

    private static final String[] INSTANCES = {"a1", "a2", "a3", "a4"};

    @Property(tries = 150, shrinking = ShrinkingMode.OFF)
    void ownersAndSendersStayUnique(@ForAll long seed, @ForAll OnSilence policy) {
        DomainHarness harness = new DomainHarness(seed, RuleVariant.SAFE, policy, INSTANCES);
        harness.mayForgetTable = true;
        harness.run(3_000);
        disturb(harness, 14);
        heal(harness);
        harness.runUntilServed(15_000);
    }

    /** Splits, merges and moves by load must not weaken what holds without them. */
    @Property(tries = 60, shrinking = ShrinkingMode.OFF)
    void ownersStayUniqueWhileLoadMoves(@ForAll long seed, @ForAll OnSilence policy) {
        DomainHarness harness = new DomainHarness(seed, RuleVariant.SAFE, policy, INSTANCES);
        harness.mayForgetTable = true;
        harness.reportLoads((now, service, range) -> randomLoad(seed, now, range));
        harness.run(8_000);
        for (int i = 0; i < 3; i++) {
            disturb(harness, 4);
            heal(harness);
            harness.run(8_000);
        }
        harness.runUntilServed(15_000);
    }

    /**
     * The successor is cut off with a backend server and replaced, then its replacements are lost, too. The coordinator
     * that starts without a table must not forget that the first successor may still renew the server's grants.
     */
    @Example
    void successorThatWasReplacedLongAgoKeepsItsServer() {
        ownersStayUniqueWhileLoadMoves(-983, OnSilence.STAY);
    }

    /** Three hot keys that change every 4 s, and a little noise. */
    private static RangeLoad randomLoad(long seed, long now, KeyRange range) {
        List<KeyLoad> keys = new Random(seed + now / 4_000)
                .longs(3)
                .filter(range::contains)
                .mapToObj(hash -> new KeyLoad(hash, 1))
                .toList();
        double noise = new Random(seed ^ now ^ range.first()).nextDouble() * 0.02;
        return new RangeLoad(range, keys.size() + noise, keys);
    }

    /** Guards against a balancer that the coordinator never asks, which would let the property above pass idly. */
    @Example
    void dominatingKeyGetsItsOwnRangeWhileEverythingIsServed() {
        DomainHarness harness = new DomainHarness(1, RuleVariant.SAFE, OnSilence.STAY, INSTANCES);
        long hot = 0x1234_5678_9abc_def0L;
        harness.reportLoads((now, service, range) -> range.contains(hot)
                ? new RangeLoad(range, range.first() == range.last() ? 1 : 1.1, List.of(new KeyLoad(hot, 1)))
                : new RangeLoad(range, 0.1, List.of()));
        harness.run(30_000);
        harness.runUntilServed(2_000);
        AssignmentTable table = harness.nodes.get(harness.coordinator()).member.table();
        RangeAssignment isolated = table.range(DomainHarness.CHECKED, hot).orElseThrow();
        assertEquals(new KeyRange(hot, hot), isolated.range());
        assertEquals(
                1,
                table.ranges().stream()
                        .filter(entry -> entry.owner().equals(isolated.owner()))
                        .count());
    }

    private static void disturb(DomainHarness harness, int times) {
        List<InstanceId> ids = List.copyOf(harness.nodes.keySet());
        List<BackendServerId> servers = List.copyOf(harness.servers.keySet());
        harness.maxDelay = 1 + harness.random.nextInt(60);
        for (int i = 0; i < times; i++) {
            InstanceId id = ids.get(harness.random.nextInt(ids.size()));
            BackendServerId server = servers.get(harness.random.nextInt(servers.size()));
            switch (harness.random.nextInt(10)) {
                case 0 -> harness.kill(id);
                case 1 -> {
                    if (harness.nodes.get(id).dead) {
                        harness.start(id);
                    }
                }
                case 2 -> harness.pause(id, 100 + harness.random.nextInt(2_000));
                case 3 -> harness.isolate(id, server);
                case 4 -> harness.connect();
                case 5 -> harness.storeUp = !harness.storeUp;
                case 6 -> harness.storeLosesAnswers = !harness.storeLosesAnswers;
                case 7 -> {
                    if (!harness.nodes.get(id).dead) {
                        harness.leave(id);
                    }
                }
                case 8 -> harness.freeze(server, !harness.servers.get(server).frozen);
                default -> harness.loss = harness.random.nextDouble() * 0.3;
            }
            harness.run(50 + harness.random.nextInt(1_500));
        }
    }

    private static void heal(DomainHarness harness) {
        harness.say("heal");
        harness.loss = 0;
        harness.maxDelay = 3;
        harness.connect();
        harness.storeUp = true;
        harness.storeLosesAnswers = false;
        harness.servers.values().forEach(server -> server.frozen = false);
        List.copyOf(harness.nodes.values()).stream()
                .filter(node -> node.dead || node.leaving)
                .forEach(node -> {
                    harness.kill(node.id);
                    harness.start(node.id);
                });
    }

    /** Each broken rule must make the checker fail, or the property above proves nothing. */
    @Example
    void checkerNoticesTableThatDoesNotWait() {
        fails(RuleVariant.TABLE_WITHOUT_SILENT_MEMBERS);
    }

    @Example
    void checkerNoticesTakeoverWithoutStore() {
        fails(RuleVariant.TAKEOVER_WITHOUT_STORE);
    }

    @Example
    void checkerNoticesTakeoverWithoutConsent() {
        cutOffSuccessor(RuleVariant.SAFE);
        assertThrows(AssertionError.class, () -> cutOffSuccessor(RuleVariant.TAKEOVER_WITHOUT_CONSENT));
    }

    @Example
    void checkerNoticesPermitCountedFromReceipt() {
        fails(RuleVariant.PERMIT_FROM_RECEIPT);
    }

    /** The random failures above rarely separate coordinator and witness from the successor together. */
    private static void cutOffSuccessor(RuleVariant rules) {
        for (int seed = 0; seed < 20; seed++) {
            DomainHarness harness = new DomainHarness(seed, rules, OnSilence.STAY, INSTANCES);
            harness.run(3_000);
            CoordinatorRecord record = harness.nodes
                    .get(harness.coordinator())
                    .member
                    .coordinator()
                    .orElseThrow();
            harness.isolate(
                    record.coordinator().orElseThrow(),
                    record.witness().orElseThrow(),
                    new BackendServerId("a-c1"),
                    new BackendServerId("a-p1"));
            harness.run(5_000);
        }
    }

    private static void fails(RuleVariant broken) {
        assertThrows(AssertionError.class, () -> {
            for (int seed = 0; seed < 200; seed++) {
                DomainHarness harness = new DomainHarness(seed, broken, OnSilence.STAY, INSTANCES);
                harness.mayForgetTable = true;
                harness.run(3_000);
                disturb(harness, 14);
            }
        });
    }
}
