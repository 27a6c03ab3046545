package org.jackdawslip.internal.gateway;

import java.io.OutputStream;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.durable.StoreEra;
import org.jackdawslip.internal.durable.StoreEraTracker;
import org.jackdawslip.internal.logging.AsyncLineWriter;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.membership.MembershipStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against a response of the store that counts as current before it was applied or although it is older. */
class StaleViewTest {

    /** Longer than the delay of the next watch after changes. */
    private static final long WATCH_DELAY_MILLIS = 500;

    private final SimulatedStore time = new SimulatedStore();
    private final AsyncLineWriter lines =
            new AsyncLineWriter(new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8));
    private final Deque<Consumer<DurableStore.Result>> calls = new ArrayDeque<>();

    @AfterEach
    void stop() {
        lines.close();
    }

    private final List<String> events = new ArrayList<>();
    private ViewFeed feed;

    private void respond(long revision, DurableStore.StoreRecord... records) {
        time.run(100);
        calls.remove().accept(new DurableStore.Result(DurableStore.Status.DONE, List.of(records), revision, 0, 0));
        time.run(10);
    }

    @BeforeEach
    @SuppressWarnings("unchecked")
    void start() {
        DurableStore store = (DurableStore) Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {DurableStore.class}, (proxy, method, arguments) -> {
                    calls.add((Consumer<DurableStore.Result>) arguments[arguments.length - 1]);
                    return null;
                });
        PlatformAdapter adapter = (PlatformAdapter) Proxy.newProxyInstance(
                getClass().getClassLoader(),
                new Class<?>[] {PlatformAdapter.class},
                (proxy, method, arguments) -> switch (method.getName()) {
                    case "decode" -> new PlatformEvent.Ignored(((DurableStore.StoreRecord) arguments[0]).key());
                    case "isConfiguration" -> false;
                    default -> "";
                });
        GatewayContext context = new GatewayContext(
                SimulatedViews.settings(new InstanceId("front"), 2_000),
                time.loop(),
                () -> time.now,
                new EventLog(lines, "front", () -> time.now),
                adapter,
                store);
        FailoverReader reader = new FailoverReader(context, peer -> store, peer -> {});
        FeedReader feedReader = new FeedReader(
                context, reader, (address, era, after, wait, timeout, done) -> {}, new StoreEraTracker());
        feed = new ViewFeed(time.loop(), () -> time.now, () -> time.now, 2_000, feedReader::followsStore);
        PlatformView view = new PlatformView(
                context,
                feedReader,
                feed,
                new MembershipStatus(() -> time.now, () -> time.now),
                event -> events.add(((PlatformEvent.Ignored) event).key()));
        view.setViewListener(currentAt -> events.add("view of " + currentAt));
        time.run(1_000);
        view.start();
    }

    @Test
    void olderRevisionDoesNotAdvanceTheView() {
        respond(10);
        respond(10);
        respond(9);
        respond(9);
        respond(10);
        assertEquals(List.of("view of 1000", "view of 1100", "view of 1100", "view of 1100", "view of 1432"), events);
    }

    /** A configuration that cannot be used must be known before the view that contains it counts. */
    @Test
    void viewIsReportedAfterItsChangesWereApplied() {
        respond(10, new DurableStore.StoreRecord("first", new byte[1], 9));
        respond(11, new DurableStore.StoreRecord("second", new byte[1], 11));
        assertEquals(List.of("first", "view of 1000", "second", "view of 1100"), events);
    }

    /** Returns the status of a watch of another instance. */
    private DurableStore.Status statusOfWatch(long afterRevision) {
        List<DurableStore.Status> statuses = new ArrayList<>();
        feed.watch(StoreEra.NONE, afterRevision, 0, result -> statuses.add(result.status()));
        time.run(2);
        return statuses.get(0);
    }

    /** Guards against an instance that skips changes and passes on the revision after them. */
    @Test
    void viewThatSkippedChangesIsNotPassedOn() {
        respond(5);
        respond(10, new DurableStore.StoreRecord("first", new byte[1], 10));
        assertEquals(DurableStore.Status.DONE, statusOfWatch(8));
        time.run(WATCH_DELAY_MILLIS);
        respond(8, new DurableStore.StoreRecord("first", new byte[1], 8));
        assertEquals(DurableStore.Status.REFUSED, statusOfWatch(8));
        time.run(WATCH_DELAY_MILLIS);
        respond(11, new DurableStore.StoreRecord("second", new byte[1], 11));
        assertEquals(DurableStore.Status.REFUSED, statusOfWatch(8));
        assertEquals(DurableStore.Status.DONE, statusOfWatch(10));
    }
}
