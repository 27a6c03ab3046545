package org.jackdawslip.internal.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.jackdawslip.FailureDomainId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks views of a store that comes back from an earlier copy. */
class RestoredViewTest {

    private static final long LIMIT_MILLIS = 2_000;
    private static final long SETTLE_MILLIS = 5_000;
    /** Time in which every instance learns of a return, reads all records and applies a change. */
    private static final long PROMPT_MILLIS = 1_000;

    private static final String SERVER = SimulatedViews.listingKey(7);
    private static final FailureDomainId DOMAIN = new FailureDomainId("b");

    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final Random random = new Random(1);
    private SimulatedViews views;
    private SimulatedStore.Copy copy;

    private void start(int instances) {
        views = new SimulatedViews(instances, 1, LIMIT_MILLIS, random, log);
        views.store.run(SETTLE_MILLIS);
    }

    private void run(long millis) {
        views.store.run(millis);
    }

    /** Lets the store come back from the copy; all instances read it before this returns. */
    private void comeBack() {
        views.store.restore(copy, random);
        run(PROMPT_MILLIS);
    }

    private boolean allUse(String entry) {
        return views.instances.stream().allMatch(each -> each.usesServer(entry));
    }

    private boolean noneUses(String entry) {
        return views.instances.stream().noneMatch(each -> each.usesServer(entry));
    }

    private boolean allHaveOut() {
        return views.instances.stream().allMatch(each -> each.takenOut.contains(DOMAIN));
    }

    /** Guards against the removal of servers that the copy does not list yet, all at the same time. */
    @Test
    void serverThatTheCopyLacksStaysInUseForTheHold() {
        start(3);
        copy = views.store.takeCopy();
        views.putListing("server/new", false);
        run(PROMPT_MILLIS);
        comeBack();
        assertTrue(allUse("server/new"));
        run(RestoredStoreHold.RECORD_HOLD_MILLIS + LIMIT_MILLIS);
        assertTrue(noneUses("server/new"));
    }

    /** Guards against requests to a server that drains or has ended. */
    @Test
    void serverThatDrainsOrHasEndedIsNotUsedAgain() {
        start(3);
        copy = views.store.takeCopy();
        String ended = SimulatedViews.listingKey(8);
        views.putListing(SERVER, true);
        views.store.delete(ended);
        run(PROMPT_MILLIS);
        comeBack();
        assertTrue(noneUses(SERVER) && noneUses(ended));
        views.putListing(SERVER, false);
        run(PROMPT_MILLIS);
        assertTrue(allUse(SERVER), "a server that became ready after the return");
        assertTrue(noneUses(ended));
        run(RestoredStoreHold.RECORD_HOLD_MILLIS + LIMIT_MILLIS);
        assertTrue(allUse(ended), "a listing that nobody removed again");
    }

    /** Guards against a hold that delays changes which the operator made after the return. */
    @Test
    void changesAfterTheReturnAreInForceAtOnce() {
        start(3);
        views.store.put("out/b", "");
        run(PROMPT_MILLIS);
        copy = views.store.takeCopy();
        int lost = views.writeConfig();
        run(PROMPT_MILLIS);
        comeBack();
        assertTrue(allHaveOut());
        views.store.delete("out/b");
        views.store.delete(SERVER);
        int version = views.writeConfig();
        run(PROMPT_MILLIS);
        assertTrue(version > lost && views.instances.stream().allMatch(each -> each.config.version() == version));
        assertFalse(allHaveOut());
        assertTrue(noneUses(SERVER));
    }

    /** Guards against a configuration of the copy that counts as the stored one, or as the removal of one. */
    @Test
    void olderConfigurationOfTheCopyIsNotApplied() {
        start(3);
        copy = views.store.takeCopy();
        int version = views.writeConfig();
        run(PROMPT_MILLIS);
        List<PlatformEvent> applied = new ArrayList<>();
        views.instances.forEach(each -> each.observer = applied::add);
        comeBack();
        assertFalse(
                applied.stream()
                        .anyMatch(event -> event instanceof PlatformEvent.ConfigWritten written
                                && written.config().version() < version),
                () -> "applied " + applied);
        views.instances.forEach(each -> assertEquals(version, each.config.version()));
    }

    /** Guards against a missing record that an instance holds itself and passes on as a removal. */
    @Test
    void recordThatTheCopyLacksIsNotPassedOnAsRemoved() {
        start(12);
        copy = views.store.takeCopy();
        views.store.put("out/b", "");
        run(PROMPT_MILLIS);
        views.store.restore(copy, random);
        run(500);
        // The instances that watch the store read all records again.
        views.store.withholdChanges(true);
        views.writeConfig();
        views.store.compact();
        run(PROMPT_MILLIS);
        assertTrue(allHaveOut());
    }

    /** Guards against a second copy that takes effect because the hold of the first one has ended. */
    @Test
    void secondReturnStartsTheHoldAnew() {
        start(3);
        copy = views.store.takeCopy();
        views.store.put("out/b", "");
        run(PROMPT_MILLIS);
        comeBack();
        run(500);
        comeBack();
        run(500);
        assertTrue(allHaveOut());
        run(RestoredStoreHold.RECORD_HOLD_MILLIS + LIMIT_MILLIS);
        assertTrue(views.instances.stream().noneMatch(each -> each.takenOut.contains(DOMAIN)));
    }

    /** Guards against an instance that starts after the return and waits for what it never knew. */
    @Test
    void instanceThatStartsAfterTheReturnAppliesAllRecords() {
        start(3);
        copy = views.store.takeCopy();
        comeBack();
        views.putListing("server/new", false);
        SimulatedViews.Instance started = views.restart(1);
        run(2 * PROMPT_MILLIS);
        assertTrue(started.usesServer("server/new"));
        assertTrue(started.freshness.isRecent());
    }

    /** Guards against a listing of an instance that the copy lacks, which would change all shares of limits. */
    @Test
    void instanceThatTheCopyLacksStaysListedForTheAgeOfAView() {
        start(3);
        copy = views.store.takeCopy();
        views.store.put("members/new", "10.0.0.1:1");
        run(PROMPT_MILLIS);
        comeBack();
        run(RestoredStoreHold.INSTANCE_HOLD_MILLIS - PROMPT_MILLIS);
        views.instances.forEach(each -> assertTrue(each.members.contains("members/new")));
        run(PROMPT_MILLIS + LIMIT_MILLIS);
        views.instances.forEach(each -> assertFalse(each.members.contains("members/new")));
    }

    /** An operator finds out from the log what an instance held, and when that ended. */
    @Test
    void heldRecordsAreLogged() {
        start(1);
        copy = views.store.takeCopy();
        views.putListing("server/new", false);
        run(PROMPT_MILLIS);
        comeBack();
        run(RestoredStoreHold.RECORD_HOLD_MILLIS + LIMIT_MILLIS);
        views.closeLog();
        String text = log.toString(StandardCharsets.UTF_8);
        assertTrue(
                text.contains(
                        "\"event\":\"records-held\",\"instance\":\"front-0\",\"records\":1,\"first\":\"server/new\",\"era\":1"),
                text);
        assertTrue(
                text.contains(
                        "\"event\":\"record-released\",\"instance\":\"front-0\",\"key\":\"server/new\",\"present\":false"),
                text);
    }
}
