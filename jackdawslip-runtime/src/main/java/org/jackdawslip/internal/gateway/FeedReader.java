package org.jackdawslip.internal.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.durable.StoreEra;
import org.jackdawslip.internal.durable.StoreEraTracker;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.membership.InstanceOrder;
import org.jackdawslip.internal.time.MonotonicClock;

/**
 * Follows the platform's store through one instance of the own failure domain, the <em>source</em>, which watches the
 * store itself. The calls to the store then grow with the number of failure domains and not with the number of
 * instances.
 *
 * <p>All instances order the live instances of their failure domain in the same way, those with the largest bandwidth
 * first, because a source sends each change to all others: a configuration of half a megabyte takes seconds on a link
 * of 10 Mbit/s. Each uses the first that has not failed lately; the first one of all uses the store. A source that does
 * not answer, or refuses because it does not follow the store itself, is not asked for {@link #SOURCE_PAUSE_MILLIS},
 * and the call goes to the store. So a call ends at most one timeout of a watch later than without sources, and a
 * failed source costs one call to the store for each instance. Reads of all records always go to the store.
 *
 * <p>Invariant: a result through a source has the age of the view of the source, so that its content is never taken as
 * newer than it is, and it belongs to the era of the store in which the watch started. Confined to the event loop.
 */
final class FeedReader implements StoreReader {

    /** Time for which a source that failed is not asked. */
    static final long SOURCE_PAUSE_MILLIS = 3_000;

    /** Calls a source. */
    interface SourceClient {

        /** Waits for changes in the view of the instance at the address; see {@link ViewFeed#watch}. */
        void watch(
                String address,
                StoreEra era,
                long afterRevision,
                long waitMillis,
                long timeoutMillis,
                Consumer<DurableStore.Result> whenDone);
    }

    private final FailoverReader store;
    private final SourceClient sourceClient;
    private final StoreEraTracker eras;
    private final InstanceOrder.Candidate self;
    private final MonotonicClock clock;
    private final EventLog log;
    private final ChangeTimeBudget budget;
    private final Map<InstanceId, Long> pausedUntil = new HashMap<>();
    /** The possible sources that precede this instance. */
    private List<Source> sources = List.of();
    /** The source of the newest watch, or null if it went to the store. */
    private Source followed;

    /** Start of the newest watch at the store. */
    private long storeWatchStartedAt;

    private long resultsOfSources;

    /** An instance of the own failure domain. Immutable and thread-safe. */
    private record Source(InstanceId id, String address) {}

    /**
     * Creates a reader that follows the store.
     *
     * @param eras the era of the store, as its responses to this instance state it
     */
    FeedReader(GatewayContext context, FailoverReader store, SourceClient sourceClient, StoreEraTracker eras) {
        this.store = store;
        this.sourceClient = sourceClient;
        this.eras = eras;
        this.self = context.settings().candidate();
        this.clock = context.clock();
        this.log = context.log();
        this.budget = new ChangeTimeBudget(context.settings().platformLimits().maxChangeMillis());
    }

    /** Sets the live instances. */
    void setLivePeers(Map<InstanceId, PeerExchange.Peer> instances) {
        store.setLivePeers(instances);
        sources = instances.entrySet().stream()
                .filter(entry -> entry.getValue().sameDomain())
                .map(entry -> entry.getValue().candidate(entry.getKey()))
                .filter(candidate -> InstanceOrder.COMPARATOR.compare(candidate, self) < 0)
                .sorted(InstanceOrder.COMPARATOR)
                .map(candidate ->
                        new Source(candidate.id(), instances.get(candidate.id()).hostAndPort()))
                .toList();
        pausedUntil.keySet().retainAll(instances.keySet());
    }

    /** Returns whether the store, and no source, is followed. */
    boolean followsStore() {
        return followed == null;
    }

    /** Returns whether the store serves the direct calls of this instance, as far as known. */
    boolean direct() {
        return store.direct();
    }

    /** Returns the number of results that came from sources. */
    long resultsOfSources() {
        return resultsOfSources;
    }

    /**
     * Returns among how many instances the call rate at the store is to be divided: one if this instance comes first in
     * its failure domain, all if it calls the store because a source failed.
     */
    int storeReaders(int liveInstances) {
        return sources.isEmpty() ? 1 : liveInstances;
    }

    /** Records that the store served another call of this instance. */
    void recordOtherCallServed() {
        store.recordOtherCallServed();
    }

    @Override
    public void readAll(String prefix, long timeoutMillis, Consumer<DurableStore.Result> whenDone) {
        store.readAll(prefix, timeoutMillis, whenDone);
    }

    @Override
    public void watch(
            String prefix,
            long afterRevision,
            long waitMillis,
            long timeoutMillis,
            Consumer<DurableStore.Result> whenDone) {
        followed = selectSource();
        if (followed == null) {
            watchStore(prefix, afterRevision, waitMillis, timeoutMillis, whenDone);
            return;
        }
        Source source = followed;
        StoreEra era = eras.current();
        long sourceWaitMillis = budget.sourceWaitMillis();
        sourceClient.watch(
                source.address,
                era,
                afterRevision,
                sourceWaitMillis,
                sourceWaitMillis + ChangeTimeBudget.WATCH_RESPONSE_MILLIS,
                result -> {
                    if (!eras.current().equals(era)) {
                        whenDone.accept(DurableStore.Result.of(DurableStore.Status.HISTORY_GONE, eras.current()));
                    } else if (result.status() == DurableStore.Status.DONE
                            && result.era().equals(era)) {
                        resultsOfSources++;
                        whenDone.accept(result);
                    } else {
                        pause(source, result);
                        watchStore(prefix, afterRevision, waitMillis, timeoutMillis, whenDone);
                    }
                });
    }

    private void watchStore(
            String prefix,
            long afterRevision,
            long waitMillis,
            long timeoutMillis,
            Consumer<DurableStore.Result> whenDone) {
        storeWatchStartedAt = clock.millis();
        store.watch(prefix, afterRevision, waitMillis, timeoutMillis, whenDone);
    }

    /** Returns the monotonic time in milliseconds at which the newest watch at the store started. */
    long storeWatchStartedAt() {
        return storeWatchStartedAt;
    }

    private Source selectSource() {
        long now = clock.millis();
        return sources.stream()
                .filter(source -> pausedUntil.getOrDefault(source.id, Long.MIN_VALUE) <= now)
                .findFirst()
                .orElse(null);
    }

    private void pause(Source source, DurableStore.Result result) {
        pausedUntil.put(source.id, clock.millis() + SOURCE_PAUSE_MILLIS);
        log.info(
                "view-source-failed",
                "source",
                source.id,
                "status",
                result.status(),
                "era",
                result.era().number());
        if (source.equals(followed)) {
            followed = null;
        }
    }
}
