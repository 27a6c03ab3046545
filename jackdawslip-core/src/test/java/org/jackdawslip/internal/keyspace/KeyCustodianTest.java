package org.jackdawslip.internal.keyspace;

import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.jackdawslip.BackendServerId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against two owners of a key, falling tokens, and keys that stay without an owner. */
class KeyCustodianTest {

    private final FakeOwners owners = new FakeOwners();

    private void start(String... names) {
        for (String name : names) {
            owners.add(name);
        }
        // A request that waits for an owner ends the wait for further servers.
        owners.loads.add(0, 0.001, owners.now);
        owners.takeOver();
        owners.run(500);
    }

    @Test
    void dealsAllSlotsOnceServersAreKnown() {
        start("s1", "s2", "s3");
        assertEquals(KeySegment.SLOTS, owners.heldSlots());
        assertTrue(owners.heldSlots("s2") > KeySegment.SLOTS / 4);
    }

    /** Discovery lists servers one after another; the first one must not get all keys. */
    @Test
    void firstDealWaitsForServersThatAreListedLater() {
        owners.add("s1");
        owners.takeOver();
        owners.run(500);
        assertEquals(0, owners.heldSlots());
        owners.add("s2");
        owners.run(1_800);
        owners.add("s3");
        owners.run(2_500);
        assertEquals(KeySegment.SLOTS, owners.heldSlots());
        assertTrue(owners.heldSlots("s3") > KeySegment.SLOTS / 4);
    }

    /** A custodian that forgets to renew lets every hold run out. */
    @Test
    void keepsOwnersBeyondOneTerm() {
        start("s1", "s2");
        owners.run(20_000);
        assertEquals(KeySegment.SLOTS, owners.heldSlots());
        assertEquals(1, owners.saves);
    }

    /** A successor that deals anew would move every key. Its one new token bars grants of its predecessor. */
    @Test
    void successorKeepsAllOwners() {
        start("s1", "s2");
        List<String> before = ownersInOrder();
        long token = owners.nextToken().value();
        owners.now += 3_000;
        owners.takeOver();
        owners.run(3_500);
        assertEquals(KeySegment.SLOTS, owners.heldSlots());
        assertEquals(before, ownersInOrder());
        assertEquals(token + 1, owners.nextToken().value());
    }

    private List<String> ownersInOrder() {
        return owners.durable.segments().stream()
                .map(segment -> segment.first() + "-" + segment.last() + " " + segment.owner())
                .toList();
    }

    /** While a successor may not move keys, hot keys stay at one server and those of a leaving server are not served. */
    @Test
    void successorMovesKeysOnceItsPredecessorIsBarred() {
        start("s1", "s2");
        owners.now += 3_000;
        owners.takeOver();
        owners.run(3_500);
        owners.unlist("s1");
        owners.run(600);
        assertEquals(KeySegment.SLOTS, owners.heldSlots("s2"));
    }

    /** A server that accepted a higher token refuses the grant that was left unanswered when it is carried out. */
    @Test
    void unansweredGrantIsBarredByAHigherToken() {
        start("s1", "s2");
        owners.run(8_000);
        owners.lateMillis = 6_000;
        owners.run(2_000);
        owners.lateMillis = 0;
        owners.run(2_500);
        owners.unlist("s1");
        owners.run(600);
        assertEquals(KeySegment.SLOTS, owners.heldSlots("s2"));
        owners.run(8_000);
        assertEquals(KeySegment.SLOTS, owners.heldSlots("s2"));
    }

    /** Keys of a leaving server move at once and with its state. */
    @Test
    void leavingServerHandsItsKeysOver() {
        start("s1", "s2");
        owners.run(8_000);
        owners.unlist("s1");
        owners.run(600);
        assertEquals(0, owners.heldSlots("s1"));
        assertEquals(KeySegment.SLOTS, owners.heldSlots());
        assertTrue(owners.handovers > 0);
    }

    /** A server that cannot be reached may still hold its keys until its own clock says otherwise. */
    @Test
    void unreachableServerKeepsItsKeysUntilItsTermHasPassed() {
        start("s1", "s2");
        owners.reachable("s1", false);
        owners.unlist("s1");
        owners.run(5_000);
        assertTrue(owners.heldSlots("s2") < KeySegment.SLOTS);
        owners.run(5_000);
        assertEquals(KeySegment.SLOTS, owners.heldSlots("s2"));
    }

    /** The address of a server that is gone is used by another one: its life is certainly over. */
    @Test
    void reusedAddressEndsTheOldLifeAtOnce() {
        start("s1", "s2");
        owners.crash("s1");
        owners.unlist("s1");
        owners.add("s9", 2, "10.0.0.0:80");
        owners.run(700);
        assertEquals(KeySegment.SLOTS, owners.heldSlots());
    }

    /** A server that restarts under its id holds nothing and needs a higher token. */
    @Test
    void restartedServerGetsItsKeysWithHigherTokens() {
        start("s1", "s2");
        owners.crash("s1");
        owners.add("s1", 7, "10.0.0.0:80");
        owners.run(700);
        assertEquals(KeySegment.SLOTS, owners.heldSlots());
    }

    /** While a save is undecided no further table may be written, and no grant of it may be sent. */
    @Test
    void unansweredSaveGrantsNothing() {
        owners.storeLosesAnswers = true;
        start("s1", "s2");
        owners.run(3_000);
        assertEquals(0, owners.heldSlots());
        assertEquals(1, owners.saves);
    }

    /** A renewal without an answer is carried out after the release; another owner must not exist by then. */
    @Test
    void unansweredGrantBarsOtherOwnersUntilItsTermHasPassed() {
        start("s1", "s2");
        owners.run(8_000);
        owners.lateMillis = 3_000;
        owners.run(2_000);
        owners.lateMillis = 0;
        owners.unlist("s1");
        owners.run(2_500);
        assertEquals(0, owners.heldSlots("s2") - KeySegment.SLOTS / 2, KeySegment.SLOTS / 8);
        owners.run(8_000);
        assertEquals(KeySegment.SLOTS, owners.heldSlots("s2"));
    }

    /**
     * Few calls are under way at one server, so a grant waits while others are unanswered. Its term counts from its
     * arrival; a custodian that counts from its decision grants the keys to another owner too early.
     */
    @Test
    void termOfAGrantThatWaitedCountsFromItsSend() {
        start("s1", "s2");
        owners.run(8_000);
        owners.queueMillis = 2_400;
        owners.lateMillis = 3_000;
        owners.run(3_900);
        owners.queueMillis = 0;
        owners.lateMillis = 0;
        owners.unlist("s1");
        owners.run(12_000);
        assertEquals(KeySegment.SLOTS, owners.heldSlots("s2"));
    }

    @Test
    void plannedMoveGivesAPartToTheTarget() {
        start("s1", "s2");
        KeySegment segment = owners.durable.segments().stream()
                .filter(each -> each.owner().value().equals("s1"))
                .findFirst()
                .orElseThrow();
        KeyMove move = new KeyMove(segment.first() + 16, segment.first() + 47, new BackendServerId("s2"));
        owners.run(8_200);
        assertEquals(1, owners.custodian.move(List.of(move), owners.now));
        assertEquals(0, owners.custodian.move(List.of(move), owners.now));
        owners.run(600);
        assertEquals("s2", owners.durable.find(segment.first() + 20).owner().value());
        assertEquals("s1", owners.durable.find(segment.first() + 60).owner().value());
        assertEquals(KeySegment.SLOTS, owners.heldSlots());
    }

    /** Servers come, go, crash and lose contact, and custodians replace each other, in any order. */
    @Property(tries = 150)
    void neverTwoOwners(@ForAll long seed) {
        Random random = new Random(seed);
        FakeOwners world = new FakeOwners();
        for (int i = 0; i < 4; i++) {
            world.add("s" + i);
        }
        world.takeOver();
        for (int step = 0; step < 25; step++) {
            String name = "s" + random.nextInt(4);
            switch (random.nextInt(9)) {
                case 8 -> world.queueMillis = random.nextBoolean() ? 0 : random.nextInt(3_000);
                case 0 -> world.unlist(name);
                case 1 -> world.reachable(name, random.nextBoolean());
                case 2 -> {
                    world.crash(name);
                    world.add(name, 100 + step, "10.0.1." + step + ":80");
                }
                case 3 -> world.takeOver();
                case 4 -> world.storeLosesAnswers = random.nextInt(4) == 0;
                case 6 -> world.lateMillis = random.nextBoolean() ? 0 : 500 + random.nextInt(10_000);
                case 5 -> {
                    int first = random.nextInt(4_000) * 16;
                    world.custodian.move(List.of(new KeyMove(first, first + 15, new BackendServerId(name))), world.now);
                }
                default -> world.add("n" + step, 1, "10.0.2." + step + ":80");
            }
            world.run(50 * random.nextInt(40));
        }
    }
}
