package org.jackdawslip.internal.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.membership.MemberStanding;
import org.jackdawslip.internal.time.MonotonicClock;

/**
 * Keeps what the platform's store says current: reads everything once, then follows the changes.
 *
 * <p>While the store is not reached, neither directly nor through a peer ({@link FailoverReader}), the last view holds.
 * Listings that are missing when it returns are kept for a moment, because servers whose listing lapsed meanwhile need
 * time to write it again. Invariant: while the store is reached, a change is known here within the times of
 * {@link ChangeBudget}, whatever happens to one call. Confined to the event loop.
 */
final class PlatformView {

    /** Shortest pause between two calls, and longest time from one to the next, after repeated failures. */
    private static final long SHORTEST_BACKOFF_MILLIS = 100;

    private static final long LONGEST_BACKOFF_MILLIS = 400;
    /** A watch brings every version of a record; after a longer gap it takes more time than reading the newest ones. */
    private static final long LONGEST_HISTORY_MILLIS = 2_000;
    /** Largest factor by which the time for an answer grows; while it runs, the store's return goes unnoticed. */
    private static final int MOST_PATIENCE = 2;
    /** Listings that lapsed during an outage are back about two seconds after it. */
    private static final long RETURN_MILLIS = 1_900;
    /** A listing lapses after three heartbeats without a renewal, the first of which may be before the outage. */
    private static final int LAPSE_HEARTBEATS = 2;

    private final FailoverReader reader;
    private final PlatformAdapter adapter;
    private final EventLoop loop;
    private final MonotonicClock clock;
    private final EventLog log;
    private final MemberStanding standing;
    private final Consumer<PlatformEvent> listener;
    private final ChangeBudget budget;
    /** Without any answer for at least this long, listings may have lapsed. */
    private final long shortestLapseMillis;
    /** Spreads the repeated calls of a fleet whose watches were cut at the same moment. */
    private final long firstRetryMillis;

    private final Map<String, Long> revisions = new HashMap<>();
    private long followedRevision;
    /** Number of the call that follows the store; the results of earlier ones are ignored. */
    private long calls;

    private int instances = 1;
    private boolean synced;
    private boolean stopped;
    private boolean lost;
    /** Whether the call that follows the store, or the next one, is a read. */
    private boolean reading;

    private long answeredAt;
    /** Since when no call was answered, if the store is lost. */
    private long failingSince;

    private long returnedAt = Long.MIN_VALUE / 2;
    private long outageMillis;
    /** Calls to follow the store that failed in a row. */
    private int failures;

    private int patience = 1;
    /** When the call was sent whose answer last showed all changes. */
    private long viewedAt;

    PlatformView(Context context, FailoverReader reader, MemberStanding standing, Consumer<PlatformEvent> listener) {
        this.reader = reader;
        this.adapter = context.adapter();
        this.loop = context.loop();
        this.clock = context.clock();
        this.log = context.log();
        this.standing = standing;
        this.listener = listener;
        GatewaySettings settings = context.settings();
        this.budget = new ChangeBudget(settings.bounds().changeMillis());
        this.shortestLapseMillis = LAPSE_HEARTBEATS * settings.bounds().heartbeatMillis() - budget.longestPauseMillis();
        this.firstRetryMillis = Math.floorMod(settings.instance().hashCode(), ChangeBudget.RETRY_MILLIS);
    }

    void start() {
        answeredAt = clock.millis();
        viewedAt = answeredAt;
        readAll();
    }

    void stop() {
        stopped = true;
    }

    /**
     * Records the result of any other call to the store, so that an outage is noticed while a watch waits. While the
     * store is read through a peer, a failure says nothing new.
     */
    void callEnded(DurableStore.Status status) {
        if (status == DurableStore.Status.UNKNOWN || status == DurableStore.Status.REFUSED) {
            if (!reader.direct()) {
                return;
            }
            boolean noticed = !lost;
            failed("call", status, clock.millis());
            if (noticed && synced && !reading) {
                // The watch under way may hang until its wait is over; a new one takes its place.
                watch();
            }
        } else {
            reader.otherCallServed();
            succeeded();
        }
    }

    /** Returns whether everything was read at least once. */
    boolean synced() {
        return synced;
    }

    /** Returns whether the store is not reached at present, neither directly nor through a peer. */
    boolean lost() {
        return lost;
    }

    /** Returns whether the store serves the calls of this instance itself, as far as is known. */
    boolean servedDirectly() {
        return !lost && reader.direct();
    }

    private void readAll() {
        reading = true;
        long sentAt = clock.millis();
        reader.readAll(adapter.watchedPrefix(), patience * ChangeBudget.PAGE_MILLIS, newest(result -> {
            if (result.status() == DurableStore.Status.DONE) {
                followed(clock.millis() - sentAt, ChangeBudget.PAGE_MILLIS);
                readDone(result, sentAt);
            } else {
                again("read", result.status(), sentAt, sentAt, this::readAll);
            }
        }));
    }

    private void readDone(DurableStore.Result result, long sentAt) {
        viewed(sentAt, "read", result);
        Set<String> present = new HashSet<>();
        for (DurableStore.Item item : result.items()) {
            present.add(item.key());
            apply(item);
        }
        for (String key : Set.copyOf(revisions.keySet())) {
            if (!present.contains(key)) {
                apply(new DurableStore.Item(key, null, result.revision()));
            }
        }
        followedRevision = result.revision();
        if (!synced) {
            log.info("platform-synced", "revision", followedRevision, "records", present.size());
        }
        synced = true;
        watch();
    }

    private void watch() {
        reading = false;
        long sentAt = clock.millis();
        reader.watch(
                adapter.watchedPrefix(),
                followedRevision,
                budget.watchMillis(),
                budget.watchMillis() + patience * ChangeBudget.ANSWER_MILLIS,
                newest(result -> watchDone(result, sentAt)));
    }

    /** Returns a receiver that ignores the result if another call to follow the store was made meanwhile. */
    private Consumer<DurableStore.Result> newest(Consumer<DurableStore.Result> whenDone) {
        long mine = ++calls;
        return result -> {
            if (mine == calls && !stopped) {
                whenDone.accept(result);
            }
        };
    }

    private void watchDone(DurableStore.Result result, long sentAt) {
        long tookMillis = clock.millis() - sentAt;
        switch (result.status()) {
            case DONE -> {
                followed(tookMillis - budget.watchMillis(), ChangeBudget.ANSWER_MILLIS);
                if (result.items().isEmpty() && result.revision() > followedRevision) {
                    // Every change lies below the watched prefix, so the watch missed what moved the revision.
                    log.warn("watch-missed-changes", "from", followedRevision, "to", result.revision());
                    readAll();
                    return;
                }
                viewed(sentAt, "watch", result);
                result.items().forEach(this::apply);
                followedRevision = Math.max(followedRevision, result.revision());
                later(this::watch, result.items().isEmpty() ? 0 : budget.pauseMillis(instances));
            }
            case HISTORY_GONE -> {
                log.info("platform-history-gone", "revision", followedRevision);
                readAll();
            }
            default -> {
                log.info("watch-unanswered", "status", result.status(), "afterMillis", tookMillis);
                // The store may withhold changes from watches, so one that was silent proves nothing about the next.
                boolean silent = tookMillis >= budget.watchMillis();
                boolean read = silent || clock.millis() - viewedAt > LONGEST_HISTORY_MILLIS;
                long dueAt = Math.min(clock.millis(), sentAt + budget.watchMillis());
                again("watch", result.status(), sentAt, dueAt, read ? this::readAll : this::watch);
            }
        }
    }

    /** Continues after a call that failed. */
    private void again(String call, DurableStore.Status status, long sentAt, long dueAt, Runnable action) {
        failed(call, status, dueAt);
        failures++;
        // The first failure may be that of one connection, and more time for the next call would make changes late.
        if (status == DurableStore.Status.UNKNOWN && failures > 1) {
            patience = MOST_PATIENCE;
        }
        later(action, failures == 1 ? firstRetryMillis : backoffMillis(clock.millis() - sentAt));
    }

    /** Returns the pause after repeated failures, of which the last call took this long. */
    private long backoffMillis(long tookMillis) {
        long interval = Math.min(LONGEST_BACKOFF_MILLIS, SHORTEST_BACKOFF_MILLIS * failures);
        return Math.max(SHORTEST_BACKOFF_MILLIS, interval - tookMillis);
    }

    private void later(Runnable action, long millis) {
        long mine = ++calls;
        loop.schedule(
                () -> {
                    if (mine == calls && !stopped) {
                        action.run();
                    }
                },
                millis,
                TimeUnit.MILLISECONDS);
    }

    /** Takes the answer to a call that follows the store, and how long it took beyond the wait that was asked for. */
    private void followed(long answerMillis, long usualMillis) {
        failures = 0;
        if (answerMillis < usualMillis) {
            patience = 1;
        }
        succeeded();
    }

    /** Notes an answer that shows all changes until its call was sent, and how old the view was before it. */
    private void viewed(long sentAt, String call, DurableStore.Result result) {
        standing.viewed(sentAt);
        if (!result.items().isEmpty()) {
            log.info(
                    "changes-taken",
                    "call",
                    call,
                    "records",
                    result.items().size(),
                    "from",
                    followedRevision,
                    "to",
                    result.revision(),
                    "viewAgeMillis",
                    clock.millis() - viewedAt);
        }
        viewedAt = sentAt;
    }

    /** Takes the number of live instances. */
    void instances(int live) {
        instances = live;
    }

    private void apply(DurableStore.Item item) {
        long known = revisions.getOrDefault(item.key(), 0L);
        if (item.revision() <= known) {
            return;
        }
        if (item.value() != null) {
            revisions.put(item.key(), item.revision());
            tell(item);
            return;
        }
        long wait = returnedAt + RETURN_MILLIS - clock.millis();
        if (wait > 0 && adapter.decode(item) instanceof PlatformEvent.BackendRemoved) {
            log.info("listing-kept", "key", item.key(), "forMillis", wait, "outageMillis", outageMillis);
            loop.schedule(() -> removeIfStill(item, known), wait, TimeUnit.MILLISECONDS);
        } else {
            revisions.remove(item.key());
            tell(item);
        }
    }

    /** Passes a record to the listener. A fault there must not end the following of changes. */
    private void tell(DurableStore.Item item) {
        try {
            listener.accept(adapter.decode(item));
        } catch (RuntimeException | StackOverflowError e) {
            log.fault("record " + item.key(), e);
        }
    }

    private void removeIfStill(DurableStore.Item item, long known) {
        if (revisions.getOrDefault(item.key(), 0L) == known) {
            revisions.remove(item.key());
            tell(item);
        }
    }

    /**
     * Takes a call that failed.
     *
     * @param dueAt the earliest time at which it shows that the store did not answer
     */
    private void failed(String call, DurableStore.Status status, long dueAt) {
        long since = Math.max(dueAt, answeredAt);
        if (!lost) {
            lost = true;
            failingSince = since;
            log.warn("store-lost", "call", call, "status", status, "revision", followedRevision);
        }
        failingSince = Math.min(failingSince, since);
    }

    private void succeeded() {
        long now = clock.millis();
        if (lost) {
            lost = false;
            long failedMillis = now - failingSince;
            log.info("store-regained", "afterMillis", failedMillis);
            if (failedMillis >= shortestLapseMillis) {
                outageMillis = failedMillis;
                returnedAt = now;
            }
        }
        answeredAt = now;
    }
}
