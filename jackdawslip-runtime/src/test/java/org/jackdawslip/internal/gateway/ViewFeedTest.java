package org.jackdawslip.internal.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against a view that is passed on as more recent than it is. */
class ViewFeedTest {

    private static final long MAX_AGE_MILLIS = 850;

    private final SimulatedStore store = new SimulatedStore();
    private long suspendedMillis;
    private final ViewFeed feed =
            new ViewFeed(store.loop(), () -> store.now, () -> store.now + suspendedMillis, MAX_AGE_MILLIS, () -> true);
    private final List<DurableStore.Result> results = new ArrayList<>();

    private void update(long revision, long currentAt) {
        feed.add(new DurableStore.StoreRecord("key", "value".getBytes(StandardCharsets.UTF_8), revision));
        feed.update(revision, currentAt);
    }

    private DurableStore.Status statusOfWatch(long afterRevision) {
        feed.watch(afterRevision, 0, results::add);
        store.run(2);
        return results.get(results.size() - 1).status();
    }

    @Test
    void viewWithinTheAgeIsPassedOnWithItsAge() {
        feed.start(5);
        store.run(1_000);
        assertEquals(DurableStore.Status.REFUSED, statusOfWatch(5));
        update(6, store.now - 100);
        assertEquals(DurableStore.Status.DONE, statusOfWatch(5));
        assertEquals(100, results.get(results.size() - 1).ageMillis());
        store.run(MAX_AGE_MILLIS);
        assertEquals(DurableStore.Status.REFUSED, statusOfWatch(5));
    }

    /** A watch at the store was pending during the suspension; its response counts from before the suspension. */
    @Test
    void viewFromBeforeASuspensionIsNotPassedOn() {
        feed.start(5);
        update(6, store.now);
        assertEquals(DurableStore.Status.DONE, statusOfWatch(5));
        long sentAt = store.now;
        store.run(10);
        suspendedMillis += 6_000;
        assertEquals(DurableStore.Status.REFUSED, statusOfWatch(5));
        update(7, sentAt);
        assertEquals(DurableStore.Status.REFUSED, statusOfWatch(5));
        store.run(10);
        update(8, store.now);
        assertEquals(DurableStore.Status.DONE, statusOfWatch(5));
    }

    @Test
    void viewThatMayMissChangesIsNotPassedOnUntilTheNextUpdate() {
        feed.start(5);
        update(6, store.now);
        feed.suspend();
        assertEquals(DurableStore.Status.REFUSED, statusOfWatch(5));
        update(7, store.now);
        assertEquals(DurableStore.Status.DONE, statusOfWatch(5));
    }
}
