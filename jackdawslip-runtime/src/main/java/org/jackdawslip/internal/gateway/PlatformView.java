package org.jackdawslip.internal.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import io.netty.channel.EventLoop;
import org.jackdawslip.internal.durable.StoreEra;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.membership.MembershipStatus;
import org.jackdawslip.internal.time.MonotonicClock;

/**
 * Keeps a current copy of the platform's records in the store: reads all records once, then watches for
 * changes, at the store or at another instance that watches the store ({@link FeedReader}), and passes the changes
 * on ({@link ViewFeed}).
 *
 * <p>While the store cannot be reached, neither directly nor through a peer ({@link FailoverReader}), the last copy
 * stays in use. Listings that are missing when the store can be reached again are kept for {@link
 * #RELISTING_MILLIS}, because backend servers whose listing expired during the outage need time to write a new one.
 * After the store came back from an earlier copy of itself, records of the copy that would relax what is in force
 * are held ({@link RestoredStoreHold}). Invariant: while the store can be reached, the listener receives a change
 * within the times of {@link ChangeTimeBudget}, even if a single call fails or gets no response. Confined to the
 * event loop.
 */
final class PlatformView {

    /** Shortest delay between two calls after repeated failures. */
    private static final long MIN_BACKOFF_MILLIS = 100;

    /** Longest time from the start of one call to the start of the next after repeated failures. */
    private static final long MAX_BACKOFF_MILLIS = 400;
    /** A watch returns every version of a record, so after a longer gap a read of all records is faster. */
    private static final long MAX_WATCH_GAP_MILLIS = 2_000;

    /** Interval between checks whether the sequence of calls has ended. */
    private static final long STALL_CHECK_INTERVAL_MILLIS = 5_000;
    /** Time without a new call after which the sequence has ended; longer than a read of many pages. */
    private static final long MAX_STALL_MILLIS = 30_000;
    /**
     * Largest factor by which timeouts are extended. A call without a response ends only after its timeout, and
     * until then the recovery of the store is not detected.
     */
    private static final int MAX_TIMEOUT_FACTOR = 2;
    /** Backend servers write expired listings again within about two seconds after an outage. */
    private static final long RELISTING_MILLIS = 1_900;
    /** A listing expires after three heartbeats without renewal. */
    private static final int HEARTBEATS_UNTIL_EXPIRY = 3;
    /** The first of these heartbeats may precede an outage. */
    private static final int MIN_HEARTBEATS_UNTIL_EXPIRY = 2;

    /** Delay after changes that another instance passed on. It combines changes already. */
    private static final long DELAY_AFTER_PASSED_ON_CHANGES_MILLIS = 0;

    private final FeedReader reader;
    private final ViewFeed feed;
    private final PlatformAdapter adapter;
    private final EventLoop loop;
    private final MonotonicClock clock;
    private final GatewayContext context;
    private final EventLog log;
    private final MembershipStatus membershipStatus;
    private final Consumer<PlatformEvent> listener;
    private final ChangeTimeBudget budget;
    /** Listings may have expired if the store did not respond for at least this long. */
    private final long minOutageUntilExpiryMillis;
    /** Differs between instances, to spread the retries of a fleet whose watches failed at the same time. */
    private final long firstRetryDelayMillis;

    private final RestoredStoreHold hold;
    /** Records, or the absence of records, that take effect at the end of the hold. */
    private final Map<String, DurableStore.StoreRecord> heldRecords = new HashMap<>();
    /** How often the store came back from an earlier copy. */
    private long restoredCount;

    private final Map<String, Long> revisions = new HashMap<>();
    private long viewRevision;
    /** The era of the store to which the view belongs. */
    private StoreEra viewEra = StoreEra.NONE;
    /** Number of the newest read or watch; the results of earlier ones are ignored. */
    private long newestCallNumber;
    /** Time when the newest call was started or scheduled. */
    private long lastStepAt;

    private int liveInstances = 1;
    private boolean synced;
    private boolean stopped;
    private boolean storeLost;
    /** Whether the pending or next call is a read of all records, not a watch. */
    private boolean readPending;

    private long lastSuccessAt;
    /** Start of the outage while {@link #storeLost} is set. */
    private long outageStartedAt;

    /** End of the last outage in which listings may have expired. */
    private long outageEndedAt = Long.MIN_VALUE / 2;
    /** Duration of the last outage in which listings may have expired. */
    private long outageMillis;
    /** Reads and watches that failed in a row. */
    private int consecutiveFailures;

    private int timeoutFactor = 1;
    /** Start of the newest call whose response showed all changes up to that time. */
    private long newestViewAt;
    /** The highest revision of the store in a response. */
    private long newestRevision;
    /** Responses of the store with a revision below one that it stated before. */
    private long staleResponses;
    /** Records in responses of the store with a revision below the one of the same record before. */
    private long olderRecords;
    /** Receives {@link #newestViewAt} after the changes of a response were applied. */
    private LongConsumer viewListener = currentAt -> {};

    PlatformView(
            GatewayContext context,
            FeedReader reader,
            ViewFeed feed,
            MembershipStatus membershipStatus,
            Consumer<PlatformEvent> listener) {
        this.reader = reader;
        this.feed = feed;
        this.adapter = context.adapter();
        this.loop = context.loop();
        this.clock = context.clock();
        this.log = context.log();
        this.context = context;
        this.membershipStatus = membershipStatus;
        this.listener = listener;
        GatewaySettings settings = context.settings();
        this.hold = new RestoredStoreHold(
                adapter,
                MemberListings.listingKey(adapter, settings.instance()),
                HEARTBEATS_UNTIL_EXPIRY * settings.platformLimits().heartbeatIntervalMillis());
        this.budget = new ChangeTimeBudget(settings.platformLimits().maxChangeMillis());
        this.minOutageUntilExpiryMillis =
                MIN_HEARTBEATS_UNTIL_EXPIRY * settings.platformLimits().heartbeatIntervalMillis()
                        - budget.maxWatchDelayMillis();
        this.firstRetryDelayMillis =
                Math.floorMod(settings.instance().hashCode(), ChangeTimeBudget.MAX_FIRST_RETRY_DELAY_MILLIS);
    }

    /**
     * Sets the receiver of the monotonic time in milliseconds up to which all changes that the store had confirmed are
     * known; it is called after each response whose changes were applied.
     */
    void setViewListener(LongConsumer listener) {
        viewListener = listener;
    }

    /** Starts to read and then watch the store. */
    void start() {
        context.every(STALL_CHECK_INTERVAL_MILLIS, "view-stall", this::restartIfStalled);
        lastSuccessAt = clock.millis();
        newestViewAt = lastSuccessAt;
        readAll();
    }

    /** Reads all records if the next call was never started, because an Error ended the task that starts it. */
    private void restartIfStalled() {
        if (!stopped && clock.millis() - lastStepAt > MAX_STALL_MILLIS) {
            log.warn("view-restarted", "idleMillis", clock.millis() - lastStepAt);
            readAll();
        }
    }

    /** Returns the number of the next call, which replaces the pending one. */
    private long nextCallNumber() {
        lastStepAt = clock.millis();
        return ++newestCallNumber;
    }

    /** Reads all records again, because the store came back from an earlier copy and gives out revisions again. */
    void storeRestored() {
        feed.suspend();
        restoredCount++;
        heldRecords.clear();
        if (synced) {
            hold.begin();
        }
        newestRevision = 0;
        revisions.replaceAll((key, revision) -> 0L);
        if (!stopped && synced) {
            readAll();
        }
    }

    /** Ends reads and watches. Pending results are ignored. */
    void stop() {
        stopped = true;
    }

    /**
     * Records the result of any other call to the store, so that an outage is detected while a watch waits.
     * While the view comes through a peer, failures are ignored: they say nothing about the age of the view.
     */
    void recordCallResult(DurableStore.Status status) {
        if (status == DurableStore.Status.UNKNOWN || status == DurableStore.Status.REFUSED) {
            if (!reader.direct() || !reader.followsStore()) {
                return;
            }
            boolean newlyLost = !storeLost;
            recordFailure("call", status, clock.millis());
            if (newlyLost && synced && !readPending) {
                // The pending watch may hang until its wait ends, so a new watch replaces
                // the pending one.
                watch();
            }
        } else {
            reader.recordOtherCallServed();
            recordSuccess();
        }
    }

    /** Returns whether all records were read at least once. */
    boolean synced() {
        return synced;
    }

    /** Returns whether the store currently cannot be reached, neither directly nor through a peer. */
    boolean storeLost() {
        return storeLost;
    }

    /** Returns the number of responses of the store with a revision below one that it stated before. */
    long staleResponses() {
        return staleResponses;
    }

    /** Returns the number of records that the store returned with a lower revision than before. */
    long olderRecords() {
        return olderRecords;
    }

    /** Returns whether the last known results show that the store serves direct calls of this instance. */
    boolean isServedDirectly() {
        return !storeLost && reader.direct();
    }

    private void readAll() {
        readPending = true;
        long sentAt = clock.millis();
        reader.readAll(adapter.watchedPrefix(), timeoutFactor * ChangeTimeBudget.PAGE_READ_MILLIS, ifNewest(result -> {
            if (result.status() == DurableStore.Status.DONE) {
                recordResponse(clock.millis() - sentAt, ChangeTimeBudget.PAGE_READ_MILLIS);
                handleReadResult(result, sentAt);
            } else {
                retryAfterFailure("read", result.status(), sentAt, sentAt, this::readAll);
            }
        }));
    }

    private void handleReadResult(DurableStore.Result result, long sentAt) {
        boolean eraEnded = !result.era().equals(viewEra);
        viewEra = result.era();
        if (!synced || eraEnded || hold.isActive(newestViewAt)) {
            // Whether a missing record was there after the return is not known, so that it cannot be passed on.
            feed.start(viewEra, result.revision());
        }
        hold.recordRead(result.revision(), clock.millis());
        boolean current = recordView(sentAt, "read", result);
        logOlderRecords("read", result);
        Set<String> present = new HashSet<>();
        for (DurableStore.StoreRecord storeRecord : result.records()) {
            present.add(storeRecord.key());
            apply(storeRecord, false);
        }
        for (String key : Set.copyOf(revisions.keySet())) {
            if (!present.contains(key)) {
                // A revision above 0 shows that the record was there after the last return of the store.
                apply(new DurableStore.StoreRecord(key, null, result.revision()), revisions.get(key) > 0);
            }
        }
        if (!heldRecords.isEmpty()) {
            log.info(
                    "records-held",
                    "records",
                    heldRecords.size(),
                    "first",
                    heldRecords.keySet().iterator().next(),
                    "era",
                    viewEra.number());
        }
        releaseHeldRecords();
        viewRevision = result.revision();
        if (!synced) {
            log.info(
                    "platform-synced",
                    "revision",
                    viewRevision,
                    "era",
                    result.era().number(),
                    "records",
                    present.size());
        }
        synced = true;
        if (current) {
            feed.update(viewRevision, newestViewAt);
        }
        notifyViewListener();
        watch();
    }

    private void watch() {
        readPending = false;
        long sentAt = clock.millis();
        reader.watch(
                adapter.watchedPrefix(),
                viewRevision,
                budget.watchWaitMillis(),
                budget.watchWaitMillis() + timeoutFactor * ChangeTimeBudget.WATCH_RESPONSE_MILLIS,
                ifNewest(result -> handleWatchResult(result, sentAt)));
    }

    /** Returns a receiver that ignores the result if another read or watch was started in the meantime. */
    private Consumer<DurableStore.Result> ifNewest(Consumer<DurableStore.Result> whenDone) {
        long callNumber = nextCallNumber();
        return result -> {
            if (callNumber == newestCallNumber && !stopped) {
                whenDone.accept(result);
            }
        };
    }

    private void handleWatchResult(DurableStore.Result result, long sentAt) {
        long elapsedMillis = clock.millis() - sentAt;
        switch (result.status()) {
            case DONE -> {
                if (!result.era().equals(viewEra)) {
                    readAll();
                    return;
                }
                recordResponse(elapsedMillis - budget.watchWaitMillis(), ChangeTimeBudget.WATCH_RESPONSE_MILLIS);
                if (reader.followsStore() && result.records().isEmpty() && result.revision() > viewRevision) {
                    // All keys are below the watched prefix, so the watch missed the changes that raised the
                    // revision.
                    log.warn("watch-missed-changes", "from", viewRevision, "to", result.revision());
                    readAll();
                    return;
                }
                boolean current = recordView(sentAt, "watch", result);
                logOlderRecords("watch", result);
                result.records().forEach(storeRecord -> apply(storeRecord, true));
                releaseHeldRecords();
                viewRevision = Math.max(viewRevision, result.revision());
                if (current) {
                    feed.update(viewRevision, newestViewAt);
                }
                notifyViewListener();
                scheduleNext(this::watch, result.records().isEmpty() ? 0 : delayAfterChanges());
            }
            case HISTORY_GONE -> {
                log.info(
                        "platform-history-gone",
                        "revision",
                        viewRevision,
                        "era",
                        result.era().number());
                readAll();
            }
            default -> {
                log.info("watch-unanswered", "status", result.status(), "afterMillis", elapsedMillis);
                // The store may fail to deliver changes to watches, so all records are read after a watch
                // without a response.
                long storeDueAt = reader.storeWatchStartedAt() + budget.watchWaitMillis();
                boolean unanswered = clock.millis() >= storeDueAt;
                boolean read = unanswered || clock.millis() - newestViewAt > MAX_WATCH_GAP_MILLIS;
                long dueAt = Math.min(clock.millis(), storeDueAt);
                retryAfterFailure("watch", result.status(), sentAt, dueAt, read ? this::readAll : this::watch);
            }
        }
    }

    private long delayAfterChanges() {
        return reader.followsStore()
                ? budget.watchDelayMillis(reader.storeReaders(liveInstances))
                : DELAY_AFTER_PASSED_ON_CHANGES_MILLIS;
    }

    /**
     * Schedules the next call after a read or watch that failed.
     *
     * @param dueAt the earliest time at which the failure shows that the store did not respond
     */
    private void retryAfterFailure(String call, DurableStore.Status status, long sentAt, long dueAt, Runnable action) {
        recordFailure(call, status, dueAt);
        consecutiveFailures++;
        // A longer timeout of the next call delays changes, so the timeout stays the same after a first failure,
        // which may concern one connection only.
        if (status == DurableStore.Status.UNKNOWN && consecutiveFailures > 1) {
            timeoutFactor = MAX_TIMEOUT_FACTOR;
        }
        scheduleNext(action, consecutiveFailures == 1 ? firstRetryDelayMillis : backoffMillis(clock.millis() - sentAt));
    }

    /** Returns the delay after repeated failures, given the duration of the last call. */
    private long backoffMillis(long elapsedMillis) {
        long interval = Math.min(MAX_BACKOFF_MILLIS, MIN_BACKOFF_MILLIS * consecutiveFailures);
        return Math.max(MIN_BACKOFF_MILLIS, interval - elapsedMillis);
    }

    /** Schedules the next read or watch, unless another one is started before. */
    private void scheduleNext(Runnable action, long millis) {
        long callNumber = nextCallNumber();
        loop.schedule(
                () -> {
                    if (callNumber == newestCallNumber && !stopped) {
                        action.run();
                    }
                },
                millis,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Records the response to a read or watch.
     *
     * @param responseMillis duration of the call, without the requested wait of a watch
     * @param usualMillis the timeout is reset if the response arrived within this time
     */
    private void recordResponse(long responseMillis, long usualMillis) {
        consecutiveFailures = 0;
        if (responseMillis < usualMillis) {
            timeoutFactor = 1;
        }
        recordSuccess();
    }

    /**
     * Records a response that shows all changes up to the start of its call, and logs the previous age of the
     * view.
     *
     * @return whether the response is of the newest known state of the store
     */
    private boolean recordView(long sentAt, String call, DurableStore.Result result) {
        long currentAt = sentAt - result.ageMillis();
        if (result.ageMillis() == 0 && result.revision() < newestRevision) {
            // The store returned an older state, which shows nothing about later changes.
            staleResponses++;
            log.warn(
                    "view-stale",
                    "call",
                    call,
                    "revision",
                    result.revision(),
                    "known",
                    newestRevision,
                    "era",
                    result.era().number());
            // Changes with revisions up to the newest one may be skipped, so other instances must not rely on them.
            feed.start(viewEra, newestRevision);
            return false;
        }
        newestRevision = Math.max(newestRevision, result.revision());
        membershipStatus.recordView(currentAt);
        if (!result.records().isEmpty()) {
            log.info(
                    "changes-taken",
                    "call",
                    call,
                    "records",
                    result.records().size(),
                    "from",
                    viewRevision,
                    "to",
                    result.revision(),
                    "viewAgeMillis",
                    clock.millis() - newestViewAt);
        }
        newestViewAt = Math.max(newestViewAt, currentAt);
        return true;
    }

    /** Logs records that the store returned with a lower revision than before, which are not applied. */
    private void logOlderRecords(String call, DurableStore.Result result) {
        DurableStore.StoreRecord first = null;
        int count = 0;
        for (DurableStore.StoreRecord storeRecord : result.records()) {
            if (storeRecord.revision() < revisions.getOrDefault(storeRecord.key(), 0L)) {
                first = first == null ? storeRecord : first;
                count++;
            }
        }
        if (first != null) {
            olderRecords += count;
            log.warn(
                    "records-older",
                    "call",
                    call,
                    "records",
                    count,
                    "first",
                    first.key(),
                    "revision",
                    first.revision(),
                    "known",
                    revisions.get(first.key()),
                    "era",
                    result.era().number());
        }
    }

    /** Sets the number of live instances, this one included. */
    void setLiveInstanceCount(int count) {
        liveInstances = count;
    }

    /**
     * Applies a change of a record unless a newer one is known.
     *
     * @param written whether the change was certainly made after the last return of the store
     */
    private void apply(DurableStore.StoreRecord storeRecord, boolean written) {
        long knownRevision = revisions.getOrDefault(storeRecord.key(), 0L);
        if (storeRecord.revision() <= knownRevision) {
            return;
        }
        feed.add(storeRecord);
        if (storeRecord.value() != null) {
            revisions.put(storeRecord.key(), storeRecord.revision());
        }
        RestoredStoreHold.Decision decision = decide(storeRecord, written);
        if (decision == RestoredStoreHold.Decision.HOLD) {
            heldRecords.put(storeRecord.key(), storeRecord);
            return;
        }
        heldRecords.remove(storeRecord.key());
        if (decision == RestoredStoreHold.Decision.UNCHANGED) {
            return;
        }
        if (storeRecord.value() != null) {
            notifyListener(storeRecord);
            return;
        }
        long delayMillis = outageEndedAt + RELISTING_MILLIS - clock.millis();
        if (delayMillis > 0 && adapter.decode(storeRecord) instanceof PlatformEvent.BackendRemoved) {
            log.info("listing-kept", "key", storeRecord.key(), "forMillis", delayMillis, "outageMillis", outageMillis);
            long era = restoredCount;
            loop.schedule(
                    () -> {
                        if (era == restoredCount) {
                            removeIfUnchanged(storeRecord, knownRevision);
                        }
                    },
                    delayMillis,
                    TimeUnit.MILLISECONDS);
        } else {
            revisions.remove(storeRecord.key());
            notifyListener(storeRecord);
        }
    }

    private RestoredStoreHold.Decision decide(DurableStore.StoreRecord storeRecord, boolean written) {
        if (!hold.isActive(newestViewAt)) {
            return RestoredStoreHold.Decision.APPLY;
        }
        try {
            return hold.decide(storeRecord, adapter.decode(storeRecord), written, newestViewAt);
        } catch (RuntimeException | StackOverflowError e) {
            // The same fault is reported when the record is passed to the listener.
            return RestoredStoreHold.Decision.APPLY;
        }
    }

    /**
     * Applies the held records whose time has ended. The view is then so recent that it contains what was written again
     * within that time.
     */
    private void releaseHeldRecords() {
        for (DurableStore.StoreRecord storeRecord : List.copyOf(heldRecords.values())) {
            if (hold.remainingMillis(storeRecord.key(), newestViewAt) > 0) {
                continue;
            }
            heldRecords.remove(storeRecord.key());
            log.info("record-released", "key", storeRecord.key(), "present", storeRecord.value() != null);
            if (storeRecord.value() == null) {
                revisions.remove(storeRecord.key());
            }
            notifyListener(storeRecord);
        }
    }

    /** Reports the age of the view, unless the store may have lost a configuration that it confirmed before. */
    private void notifyViewListener() {
        if (!hold.mayHoldOlderConfiguration(newestViewAt)) {
            viewListener.accept(newestViewAt);
        }
    }

    /** Passes a record to the listener. An exception of the listener must not end the watch for changes. */
    private void notifyListener(DurableStore.StoreRecord storeRecord) {
        try {
            PlatformEvent event = adapter.decode(storeRecord);
            listener.accept(event);
            hold.recordApplied(storeRecord, event);
        } catch (RuntimeException | StackOverflowError e) {
            log.warnTaskFailure("record " + storeRecord.key(), e);
        } catch (OutOfMemoryError e) {
            // The record is not faulty. Revision 0 lets the next read of all records apply it again.
            revisions.put(storeRecord.key(), 0L);
            throw e;
        }
    }

    private void removeIfUnchanged(DurableStore.StoreRecord storeRecord, long knownRevision) {
        if (revisions.getOrDefault(storeRecord.key(), 0L) == knownRevision) {
            revisions.remove(storeRecord.key());
            notifyListener(storeRecord);
        }
    }

    /**
     * Records a call that failed.
     *
     * @param dueAt the earliest time at which the failure shows that the store did not respond
     */
    private void recordFailure(String call, DurableStore.Status status, long dueAt) {
        long unservedSince = Math.max(dueAt, lastSuccessAt);
        if (!storeLost) {
            storeLost = true;
            outageStartedAt = unservedSince;
            feed.suspend();
            log.warn("store-lost", "call", call, "status", status, "revision", viewRevision);
        }
        outageStartedAt = Math.min(outageStartedAt, unservedSince);
    }

    /** Records a call that the store served. */
    private void recordSuccess() {
        long now = clock.millis();
        if (storeLost) {
            storeLost = false;
            long lostMillis = now - outageStartedAt;
            log.info("store-regained", "afterMillis", lostMillis);
            if (lostMillis >= minOutageUntilExpiryMillis) {
                outageMillis = lostMillis;
                outageEndedAt = now;
            }
        }
        lastSuccessAt = now;
    }
}
