package org.jackdawslip.internal.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.jackdawslip.JackdawslipException;
import org.jackdawslip.internal.durable.StoreEra;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

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
        return statusOfWatch(StoreEra.NONE, afterRevision);
    }

    private DurableStore.Status statusOfWatch(StoreEra era, long afterRevision) {
        feed.watch(era, afterRevision, 0, results::add);
        store.run(2);
        return results.get(results.size() - 1).status();
    }

    @Test
    void viewWithinTheAgeIsPassedOnWithItsAge() {
        feed.start(StoreEra.NONE, 5);
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
        feed.start(StoreEra.NONE, 5);
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
        feed.start(StoreEra.NONE, 5);
        update(6, store.now);
        feed.suspend();
        assertEquals(DurableStore.Status.REFUSED, statusOfWatch(5));
        update(7, store.now);
        assertEquals(DurableStore.Status.DONE, statusOfWatch(5));
    }

    /** Guards against changes of two eras in one view: the same revision stands for different changes. */
    @Test
    void viewIsPassedOnWithinItsEraOnly() {
        StoreEra earlier = new StoreEra(6);
        StoreEra current = new StoreEra(7);
        feed.start(current, 5);
        update(6, store.now);
        assertEquals(DurableStore.Status.REFUSED, statusOfWatch(earlier, 5));
        assertEquals(DurableStore.Status.REFUSED, statusOfWatch(new StoreEra(8), 5));
        assertEquals(DurableStore.Status.REFUSED, statusOfWatch(StoreEra.NONE, 5));
        assertEquals(DurableStore.Status.DONE, statusOfWatch(current, 5));
        assertEquals(current, results.get(results.size() - 1).era());
    }

    /** Guards against lost changes of an earlier era among those of the current one, which have lower revisions. */
    @Test
    void changesOfAnEarlierEraAreNotPassedOn() {
        StoreEra current = new StoreEra(7);
        feed.start(new StoreEra(6), 5);
        update(20, store.now);
        feed.start(current, 10);
        assertEquals(DurableStore.Status.REFUSED, statusOfWatch(current, 10));
        update(11, store.now);
        assertEquals(DurableStore.Status.DONE, statusOfWatch(current, 10));
        assertEquals(
                List.of(11L),
                results.get(results.size() - 1).records().stream()
                        .map(DurableStore.StoreRecord::revision)
                        .toList());
    }

    /** Guards against a watch that hangs until its end although its source has learned of a new era. */
    @Test
    void pendingWatchEndsWithItsEra() {
        feed.start(new StoreEra(6), 5);
        update(6, store.now);
        feed.watch(new StoreEra(6), 6, MAX_AGE_MILLIS, results::add);
        assertEquals(0, results.size());
        feed.start(new StoreEra(7), 3);
        assertEquals(DurableStore.Status.REFUSED, results.get(0).status());
    }

    /** An instance of an earlier version states no era. */
    @Test
    void callWithoutAnEraIsOneOfAStoreThatStatesNone() {
        feed.start(StoreEra.NONE, 5);
        update(6, store.now);
        ViewFeedClient.dispatch(feed, "/view-changes?after=5&wait=0", results::add);
        ViewFeedClient.dispatch(feed, "/view-changes?after=5&wait=0&era=7", results::add);
        feed.start(new StoreEra(7), 5);
        update(6, store.now);
        ViewFeedClient.dispatch(feed, "/view-changes?after=5&wait=0", results::add);
        ViewFeedClient.dispatch(feed, "/view-changes?after=5&wait=0&era=7", results::add);
        assertEquals(
                List.of(
                        DurableStore.Status.DONE,
                        DurableStore.Status.REFUSED,
                        DurableStore.Status.REFUSED,
                        DurableStore.Status.DONE),
                results.stream().map(DurableStore.Result::status).toList());
        assertThrows(
                JackdawslipException.class,
                () -> ViewFeedClient.dispatch(feed, "/view-changes?after=5&wait=0&era=x", results::add));
    }
}
