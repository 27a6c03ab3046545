package org.jackdawslip.internal.keyspace;

import java.util.List;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.jackdawslip.BackendServerId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against two owners of a key, decreasing fencing tokens, and keys that stay without an owner. */
class KeyCoordinatorTest {

    private final FakeOwners owners = new FakeOwners();

    private void start(String... names) {
        for (String name : names) {
            owners.add(name);
        }
        // The initial assignment does not wait for further servers once there are requests.
        owners.loads.add(0, 0.001, owners.now);
        owners.takeOver();
        owners.run(500);
    }

    @Test
    void assignsAllSlotsOnceServersAreListed() {
        start("s1", "s2", "s3");
        assertEquals(KeySegment.SLOTS, owners.heldSlots());
        assertTrue(owners.heldSlots("s2") > KeySegment.SLOTS / 4);
    }

    /** Discovery lists servers one after another. The first one must not receive all keys. */
    @Test
    void initialAssignmentWaitsForServersThatAreListedLater() {
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

    /** Without renewals, every hold would expire. */
    @Test
    void renewsGrantsBeyondOneTerm() {
        start("s1", "s2");
        owners.run(20_000);
        assertEquals(KeySegment.SLOTS, owners.heldSlots());
        assertEquals(1, owners.saveCount);
    }

    /** A new initial assignment would move all keys. One new token fences the grants of the predecessor. */
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

    /** Guards against a second wait for the grants of a server that has ended. */
    @Test
    void keysOfEndedServersMoveAtOnceAfterAllGrantsEnded() {
        start("s1", "s2");
        owners.crash("s1");
        owners.unlist("s1");
        owners.now += FakeOwners.TIMING.maxHoldMillis();
        owners.takeOverAfterAllGrantsEnded();
        owners.run(1_000);
        assertEquals(KeySegment.SLOTS, owners.heldSlots("s2"));
    }

    private List<String> ownersInOrder() {
        return owners.durable.segments().stream()
                .map(segment -> segment.first() + "-" + segment.last() + " " + segment.owner())
                .toList();
    }

    /** Until a successor may move keys, hot keys stay and the keys of a leaving server are not served. */
    @Test
    void successorMovesKeysOnceGrantsOfItsPredecessorAreFenced() {
        start("s1", "s2");
        owners.now += 3_000;
        owners.takeOver();
        owners.run(3_500);
        owners.unlist("s1");
        owners.run(600);
        assertEquals(KeySegment.SLOTS, owners.heldSlots("s2"));
    }

    /**
     * A server that has accepted a higher token rejects a late grant, so its keys can move after the release.
     */
    @Test
    void higherTokenFencesALateGrant() {
        start("s1", "s2");
        owners.run(8_000);
        owners.grantDelayMillis = 6_000;
        owners.run(2_000);
        owners.grantDelayMillis = 0;
        owners.run(2_500);
        owners.unlist("s1");
        owners.run(600);
        assertEquals(KeySegment.SLOTS, owners.heldSlots("s2"));
        owners.run(8_000);
        assertEquals(KeySegment.SLOTS, owners.heldSlots("s2"));
    }

    /** The keys of a leaving server move at once, together with the state that it hands over. */
    @Test
    void leavingServerHandsItsKeysOver() {
        start("s1", "s2");
        owners.run(8_000);
        owners.unlist("s1");
        owners.run(600);
        assertEquals(0, owners.heldSlots("s1"));
        assertEquals(KeySegment.SLOTS, owners.heldSlots());
        assertTrue(owners.handoverCount > 0);
    }

    /** An unreachable server may hold its keys until their term ends by its own clock. */
    @Test
    void unreachableServerKeepsItsKeysUntilTheEndOfTheTerm() {
        start("s1", "s2");
        owners.setReachable("s1", false);
        owners.unlist("s1");
        owners.run(5_000);
        assertTrue(owners.heldSlots("s2") < KeySegment.SLOTS);
        owners.run(5_000);
        assertEquals(KeySegment.SLOTS, owners.heldSlots("s2"));
    }

    /** An unlisted server whose address is used by another server has certainly ended. */
    @Test
    void reusedAddressEndsTheOldIncarnationAtOnce() {
        start("s1", "s2");
        owners.crash("s1");
        owners.unlist("s1");
        owners.add("s9", 2, "10.0.0.0:80");
        owners.run(700);
        assertEquals(KeySegment.SLOTS, owners.heldSlots());
    }

    /**
     * Guards against keys that wait for the end of the term although their owner has certainly ended, and against
     * calls about these keys to the server that has the address now.
     */
    @Test
    void addressOfAnotherServiceEndsTheOldIncarnationAtOnce() {
        start("s1", "s2");
        owners.run(8_000);
        owners.replaceByOtherService("s1", 2);
        owners.run(700);
        assertEquals(KeySegment.SLOTS, owners.heldSlots("s2"));
        assertEquals(0, owners.releaseCount);
    }

    /** Guards against a constant rate of calls to an address whose server is gone and that may be used again. */
    @Test
    void releasesWithoutConfirmationBecomeRarer() {
        start("s1", "s2");
        owners.run(8_000);
        int segments = (int) ownersInOrder().stream()
                .filter(segment -> segment.endsWith("s1"))
                .count();
        owners.crash("s1");
        owners.unlist("s1");
        owners.run(7_500);
        assertTrue(owners.releaseCount <= 6 * segments, owners.releaseCount + " releases of " + segments);
        owners.run(1_000);
        assertEquals(KeySegment.SLOTS, owners.heldSlots("s2"));
    }

    /** A server that restarts with the same id holds no keys and needs grants with higher tokens. */
    @Test
    void restartedServerGetsItsKeysWithHigherTokens() {
        start("s1", "s2");
        owners.crash("s1");
        owners.add("s1", 7, "10.0.0.0:80");
        owners.run(700);
        assertEquals(KeySegment.SLOTS, owners.heldSlots());
    }

    /**
     * Guards against second owners of keys whose renewals were accepted by a server that had restarted under its id
     * and was not listed yet.
     */
    @Test
    void renewalsOfTheEarlierIncarnationAreReleasedByTheLaterOne() {
        start("s1", "s2");
        owners.run(8_000);
        owners.restartUnlisted("s1", 7);
        owners.run(3_000);
        assertTrue(owners.heldSlots("s1") > 0, "no renewal was accepted");
        owners.list("s1");
        owners.unsuitable.add(new BackendServerId("s1"));
        owners.run(700);
        assertEquals(KeySegment.SLOTS, owners.heldSlots("s2"));
        assertEquals(Set.of(HoldEnd.RELEASED), owners.holdEnds);
    }

    /** Guards against second owners if the instance that assigned the keys fails between the restart and the listing. */
    @Test
    void successorLetsARestartedServerReleaseItsKeys() {
        start("s1", "s2");
        owners.run(8_000);
        owners.restartUnlisted("s1", 7);
        owners.run(3_000);
        owners.takeOver();
        owners.list("s1");
        owners.unsuitable.add(new BackendServerId("s1"));
        owners.run(2_000);
        assertEquals(KeySegment.SLOTS, owners.heldSlots("s2"));
        owners.run(8_000);
        assertEquals(Set.of(HoldEnd.RELEASED), owners.holdEnds);
    }

    /** Guards against second owners if the restarted server cannot be reached: its holds have to run out. */
    @Test
    void keysOfAnUnreachableRestartedServerMoveAfterTheirTerm() {
        start("s1", "s2");
        owners.run(8_000);
        owners.restartUnlisted("s1", 7);
        owners.run(3_000);
        owners.setReachable("s1", false);
        owners.list("s1");
        owners.unsuitable.add(new BackendServerId("s1"));
        owners.run(3_000);
        assertTrue(owners.heldSlots("s2") < KeySegment.SLOTS);
        owners.run(6_000);
        assertEquals(KeySegment.SLOTS, owners.heldSlots("s2"));
        assertEquals(Set.of(HoldEnd.EXPIRED), owners.holdEnds);
    }

    /**
     * Guards against a second owner if a successor whose listings are older than the table takes the earlier
     * incarnation of an owner, and the address that it had, for the present one.
     */
    @Test
    void olderListingDoesNotEndTheHoldOfALaterIncarnation() {
        start("s1", "s2");
        owners.crash("s1");
        owners.add("s1", 7, "10.0.0.9:80");
        owners.run(8_000);
        int held = owners.heldSlots("s1");
        assertTrue(held > 0);
        owners.relistAs("s1", 1, "10.0.0.0:80");
        owners.add("s9", 5, "10.0.0.0:80");
        owners.takeOver();
        owners.run(3_000);
        assertEquals(held, owners.heldSlots("s1"));
    }

    /**
     * While the result of a write is unknown, no further table is written and no grant of the table is sent.
     */
    @Test
    void saveWithoutResponseGrantsNothing() {
        owners.storeLosesResponses = true;
        start("s1", "s2");
        owners.run(3_000);
        assertEquals(0, owners.heldSlots());
        assertEquals(1, owners.saveCount);
    }

    /** A renewal without a response may take effect after the release, when there must be no other owner. */
    @Test
    void grantWithoutResponsePreventsOtherOwnersUntilTheEndOfItsTerm() {
        start("s1", "s2");
        owners.run(8_000);
        owners.grantDelayMillis = 3_000;
        owners.run(2_000);
        owners.grantDelayMillis = 0;
        owners.unlist("s1");
        owners.run(2_500);
        assertEquals(0, owners.heldSlots("s2") - KeySegment.SLOTS / 2, KeySegment.SLOTS / 8);
        owners.run(8_000);
        assertEquals(KeySegment.SLOTS, owners.heldSlots("s2"));
    }

    /**
     * Concurrent calls to one server are limited, so a grant call may be queued. The term of the grant starts
     * on its arrival; if it were counted from the decision, the keys would be granted to another owner too
     * early.
     */
    @Test
    void termOfAQueuedGrantIsCountedFromItsSend() {
        start("s1", "s2");
        owners.run(8_000);
        owners.queueDelayMillis = 2_400;
        owners.grantDelayMillis = 3_000;
        owners.run(3_900);
        owners.queueDelayMillis = 0;
        owners.grantDelayMillis = 0;
        owners.unlist("s1");
        owners.run(12_000);
        assertEquals(KeySegment.SLOTS, owners.heldSlots("s2"));
    }

    /** Guards against renewals and releases at a server that asked for a pause, and against keys lost in a short one. */
    @Test
    void serverInAShortPauseKeepsItsKeysWithoutCalls() {
        start("s1", "s2");
        owners.run(8_000);
        int before = owners.heldSlots("s1");
        owners.pausing.add(new BackendServerId("s1"));
        owners.run(3_000);
        owners.pausing.clear();
        owners.run(1_000);
        assertEquals(0, owners.callsToPausingServers);
        assertEquals(before, owners.heldSlots("s1"));
        owners.run(6_000);
        assertEquals(KeySegment.SLOTS, owners.heldSlots());
    }

    /** Guards against keys without an owner while a server pauses for longer than its grants last. */
    @Test
    void keysOfServerInALongPauseMoveAfterTheirTerm() {
        start("s1", "s2");
        owners.run(8_000);
        owners.pausing.add(new BackendServerId("s1"));
        owners.run(9_000);
        assertEquals(0, owners.callsToPausingServers);
        assertEquals(KeySegment.SLOTS, owners.heldSlots("s2"));
    }

    @Test
    void plannedMoveTransfersSlotsToTheTarget() {
        start("s1", "s2");
        KeySegment segment = owners.durable.segments().stream()
                .filter(each -> each.owner().value().equals("s1"))
                .findFirst()
                .orElseThrow();
        KeyMove move = new KeyMove(segment.first() + 16, segment.first() + 47, new BackendServerId("s2"));
        owners.run(8_200);
        assertEquals(1, owners.coordinator.startMoves(List.of(move), owners.now));
        assertEquals(0, owners.coordinator.startMoves(List.of(move), owners.now));
        owners.run(600);
        assertEquals("s2", owners.durable.find(segment.first() + 20).owner().value());
        assertEquals("s1", owners.durable.find(segment.first() + 60).owner().value());
        assertEquals(KeySegment.SLOTS, owners.heldSlots());
    }

    /** Servers join, leave, crash and become unreachable, and coordinators change, in random order. */
    @Property(tries = 150)
    void neverTwoOwners(@ForAll long seed) {
        Random random = new Random(seed);
        FakeOwners randomOwners = new FakeOwners();
        for (int i = 0; i < 4; i++) {
            randomOwners.add("s" + i);
        }
        randomOwners.takeOver();
        for (int step = 0; step < 25; step++) {
            String name = "s" + random.nextInt(4);
            switch (random.nextInt(13)) {
                case 12 -> randomOwners.list(name);
                case 11 -> randomOwners.restartUnlisted(name, 100 + step);
                case 10 -> {
                    if (!randomOwners.pausing.remove(new BackendServerId(name))) {
                        randomOwners.pausing.add(new BackendServerId(name));
                    }
                }
                case 9 -> randomOwners.replaceByOtherService(name, 1_000 + step);
                case 8 -> randomOwners.queueDelayMillis = random.nextBoolean() ? 0 : random.nextInt(3_000);
                case 0 -> randomOwners.unlist(name);
                case 1 -> randomOwners.setReachable(name, random.nextBoolean());
                case 2 -> {
                    randomOwners.crash(name);
                    randomOwners.add(name, 100 + step, "10.0.1." + step + ":80");
                }
                case 3 -> randomOwners.takeOver();
                case 4 -> randomOwners.storeLosesResponses = random.nextInt(4) == 0;
                case 6 -> randomOwners.grantDelayMillis = random.nextBoolean() ? 0 : 500 + random.nextInt(10_000);
                case 5 -> {
                    int first = random.nextInt(4_000) * 16;
                    randomOwners.coordinator.startMoves(
                            List.of(new KeyMove(first, first + 15, new BackendServerId(name))), randomOwners.now);
                }
                default -> randomOwners.add("n" + step, 1, "10.0.2." + step + ":80");
            }
            randomOwners.run(50 * random.nextInt(40));
        }
    }
}
