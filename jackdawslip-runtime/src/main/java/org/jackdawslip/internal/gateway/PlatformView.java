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
 * <p>While the store does not answer, the last view holds. Listings that are missing when it returns are kept for a
 * moment, because servers whose listing lapsed meanwhile need time to write it again. Confined to the event loop.
 */
final class PlatformView {

    /** Wait of one watch; a shorter one costs more calls, a longer one hides a silent connection for longer. */
    private static final long WATCH_MILLIS = 4_000;
    /** Added to the wait of a watch before its connection counts as silent. */
    private static final long WATCH_SLACK_MILLIS = 800;
    /** Time for one page. The store answers within 4 ms, and within 250 ms when it is slow. */
    private static final long PAGE_MILLIS = 1_000;
    /** Wait of one watch while the store does not answer, so that its return is noticed. */
    private static final long LOST_WATCH_MILLIS = 300;
    /**
     * Pause between two watches for each instance of the fleet, so that changes which come together cost one call and
     * the calls of a large fleet stay bounded.
     */
    private static final long GATHER_MILLIS_PER_INSTANCE = 12;

    private static final long SHORTEST_GATHER_MILLIS = 400;
    /** The tightest bound for a change to take effect is 2 s, and requests that were sent before count as well. */
    private static final long LONGEST_GATHER_MILLIS = 900;
    /** First and longest pause after a call that failed. */
    private static final long FIRST_RETRY_MILLIS = 100;

    private static final long LONGEST_RETRY_MILLIS = 600;
    /** Listings that lapsed during an outage are back about two seconds after it. */
    private static final long RETURN_MILLIS = 1_900;
    /** A listing lapses after three heartbeats without a renewal, the first of which may be before the outage. */
    private static final int LAPSE_HEARTBEATS = 2;

    private final DurableStore store;
    private final PlatformAdapter adapter;
    private final EventLoop loop;
    private final MonotonicClock clock;
    private final EventLog log;
    private final MemberStanding standing;
    private final Consumer<PlatformEvent> listener;
    /** Without any answer for at least this long, listings may have lapsed. */
    private final long shortestLapseMillis;

    private final Map<String, Long> revisions = new HashMap<>();
    private long followedRevision;
    private long watches;
    private int instances = 1;
    private boolean synced;
    private boolean stopped;
    private boolean lost;
    private long answeredAt;
    /** Since when no call was answered, if the store is lost. */
    private long failingSince;

    private long returnedAt = Long.MIN_VALUE / 2;
    private long outageMillis;
    private long retryMillis = FIRST_RETRY_MILLIS;
    /** When the call was sent whose answer last showed all changes. */
    private long viewedAt;

    PlatformView(Context context, MemberStanding standing, Consumer<PlatformEvent> listener) {
        this.store = context.store();
        this.adapter = context.adapter();
        this.loop = context.loop();
        this.clock = context.clock();
        this.log = context.log();
        this.standing = standing;
        this.listener = listener;
        this.shortestLapseMillis =
                LAPSE_HEARTBEATS * context.settings().bounds().heartbeatMillis() - LONGEST_GATHER_MILLIS;
    }

    void start() {
        answeredAt = clock.millis();
        viewedAt = answeredAt;
        readAll();
    }

    void stop() {
        stopped = true;
    }

    /** Records the result of any other call to the store, so that an outage is noticed while a watch waits. */
    void callEnded(DurableStore.Status status) {
        if (status == DurableStore.Status.UNKNOWN || status == DurableStore.Status.REFUSED) {
            boolean noticed = !lost;
            failed("call", status, clock.millis());
            if (noticed && synced) {
                // The watch under way may hang until its wait is over; a new one takes its place.
                watch();
            }
        } else {
            succeeded();
        }
    }

    /** Returns whether everything was read at least once. */
    boolean synced() {
        return synced;
    }

    /** Returns whether the store does not answer at present. */
    boolean lost() {
        return lost;
    }

    private void readAll() {
        if (!stopped) {
            long sentAt = clock.millis();
            store.readAll(adapter.watchedPrefix(), PAGE_MILLIS, result -> readDone(result, sentAt));
        }
    }

    private void readDone(DurableStore.Result result, long sentAt) {
        if (result.status() != DurableStore.Status.DONE) {
            failed("read", result.status(), sentAt);
            loop.schedule(this::readAll, retryMillis, TimeUnit.MILLISECONDS);
            return;
        }
        succeeded();
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
        if (!stopped) {
            long mine = ++watches;
            long sentAt = clock.millis();
            long wait = lost ? LOST_WATCH_MILLIS : WATCH_MILLIS;
            store.watch(adapter.watchedPrefix(), followedRevision, wait, wait + WATCH_SLACK_MILLIS, result -> {
                if (mine == watches) {
                    watchDone(result, sentAt);
                }
            });
        }
    }

    private void watchDone(DurableStore.Result result, long sentAt) {
        switch (result.status()) {
            case DONE -> {
                succeeded();
                if (result.items().isEmpty() && result.revision() > followedRevision) {
                    // Every change lies below the watched prefix, so the watch missed what moved the revision.
                    log.warn("watch-missed-changes", "from", followedRevision, "to", result.revision());
                    readAll();
                    return;
                }
                viewed(sentAt, "watch", result);
                result.items().forEach(this::apply);
                followedRevision = Math.max(followedRevision, result.revision());
                loop.schedule(this::watch, gatherMillis(), TimeUnit.MILLISECONDS);
            }
            case HISTORY_GONE -> {
                log.info("platform-history-gone", "revision", followedRevision);
                readAll();
            }
            default -> {
                log.info("watch-unanswered", "status", result.status(), "afterMillis", clock.millis() - sentAt);
                failed("watch", result.status(), Math.min(clock.millis(), sentAt + WATCH_MILLIS));
                loop.schedule(this::watch, retryMillis, TimeUnit.MILLISECONDS);
            }
        }
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

    private long gatherMillis() {
        return Math.max(
                SHORTEST_GATHER_MILLIS, Math.min(LONGEST_GATHER_MILLIS, GATHER_MILLIS_PER_INSTANCE * instances));
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
        } catch (RuntimeException e) {
            log.warn("internal-fault", "task", "record " + item.key(), "problem", e, "at", e.getStackTrace()[0]);
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
        retryMillis = Math.min(LONGEST_RETRY_MILLIS, 2 * retryMillis);
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
        retryMillis = FIRST_RETRY_MILLIS;
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
