package org.jackdawslip.internal.gateway;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against views that revert or stop after returns of the store that an instance learns of late. */
class RepeatedReturnViewTest {

    private static final long LIMIT_MILLIS = 2_000;
    private static final long SETTLE_MILLIS = 5_000;
    private static final long PROMPT_MILLIS = 1_000;
    private static final int FLEET = 12;
    private static final int LOST_CHANGES = 200;

    private final Random random = new Random(1);
    private SimulatedViews views;

    private void start(int instances) {
        views = new SimulatedViews(instances, 1, LIMIT_MILLIS, random, new ByteArrayOutputStream());
        views.store.run(SETTLE_MILLIS);
        views.writeConfig();
        views.store.run(PROMPT_MILLIS);
    }

    /** Makes changes that the store loses; their revisions are not reached again soon. */
    private void writeLostChanges() {
        for (int i = 0; i < LOST_CHANGES; i++) {
            views.writeConfig();
        }
    }

    private List<Long> versions() {
        return views.instances.stream().map(each -> each.config.version()).toList();
    }

    /** Guards against a configuration of the copy that counts as the stored one. */
    @Test
    void configurationOfTheCopyReachesNoListener() {
        start(3);
        SimulatedStore.Copy copy = views.store.takeCopy();
        int version = views.writeConfig();
        views.store.run(PROMPT_MILLIS);
        // An Error that an observer throws would end the task only, so the events are checked at the end.
        List<PlatformEvent> applied = new ArrayList<>();
        views.instances.forEach(each -> each.observer = applied::add);
        views.store.restore(copy, random);
        views.store.run(PROMPT_MILLIS);
        assertTrue(
                applied.stream()
                        .noneMatch(event -> event instanceof PlatformEvent.ConfigWritten written
                                && written.config().version() < version),
                () -> "applied " + applied);
    }

    /** Guards against an instance that compares revisions across two returns of which it saw none. */
    @Test
    void instanceThatWasCutOffForTwoReturnsFollowsAgain() {
        start(FLEET);
        SimulatedStore.Copy copy = views.store.takeCopy();
        writeLostChanges();
        views.store.run(PROMPT_MILLIS);
        SimulatedViews.Instance cutOff = views.instances.get(FLEET - 1);
        cutOff.client.unresponsive(true);
        views.cutLinks(1);
        views.store.restore(copy, random);
        views.store.run(PROMPT_MILLIS);
        views.store.restore(copy, random);
        views.store.run(PROMPT_MILLIS);
        views.restoreLinks();
        cutOff.client.unresponsive(false);
        views.store.run(PROMPT_MILLIS);
        int last = views.writeConfig();
        views.store.run(LIMIT_MILLIS);
        assertEquals(views.instances.stream().map(each -> (long) last).toList(), versions());
    }

    /** Guards against a fleet whose instances do not all follow the store again after quick returns. */
    @Test
    void fleetFollowsAfterQuickReturns() {
        start(FLEET);
        SimulatedStore.Copy copy = views.store.takeCopy();
        for (int i = 0; i < 5; i++) {
            writeLostChanges();
            views.store.run(2 + random.nextInt(400));
            views.store.restore(copy, random);
        }
        views.store.run(PROMPT_MILLIS);
        int last = views.writeConfig();
        views.store.run(LIMIT_MILLIS);
        assertEquals(views.instances.stream().map(each -> (long) last).toList(), versions());
    }
}
