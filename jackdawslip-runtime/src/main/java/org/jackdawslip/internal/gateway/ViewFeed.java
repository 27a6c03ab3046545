package org.jackdawslip.internal.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.jackdawslip.internal.durable.StoreEra;
import org.jackdawslip.internal.time.MonotonicClock;
import org.jackdawslip.internal.time.SuspensionDetector;
import org.jackdawslip.internal.time.WallClock;

/**
 * Passes the changes in the view of this instance on to the other instances of its failure domain, so that not each
 * of them watches the store ({@link FeedReader}).
 *
 * <p>A watch of the feed is answered as soon as the view has newer changes, or after its wait, with the age of the
 * view. Invariants: watches are answered only while this instance follows the store itself, only in the era of the
 * store to which the view belongs, and only with a view that is at most as old as the limit; all changes after the
 * revision of a watch are in its answer, or it is refused. Confined to the event loop.
 */
final class ViewFeed {

    /** Limits of the changes that are kept. An instance that is further behind reads the store itself. */
    private static final int MAX_CHANGES = 1_000;

    /** Room for two versions of a record of the largest size, one megabyte. */
    private static final int MAX_BYTES = 2 * 1024 * 1024;

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final BooleanSupplier followsStore;
    /** The age of a view omits suspensions, so the view is not passed on after one. */
    private final SuspensionDetector suspensions;
    /** Whether the view may miss changes. */
    private boolean suspended = true;

    private final long maxAgeMillis;
    private final Deque<DurableStore.StoreRecord> changes = new ArrayDeque<>();
    private final List<Watch> watches = new ArrayList<>();
    private long bytes;
    /** All changes after this revision, up to the revision of the view, are kept. */
    private long completeAfter = Long.MAX_VALUE;

    private StoreEra era = StoreEra.NONE;
    private long revision;
    private long currentAt;
    private long answeredWatches;

    /**
     * Creates a feed that refuses all watches until {@link #start}.
     *
     * @param maxAgeMillis largest age of the view with which watches are answered
     * @param followsStore returns whether the view is read from the store and not from another instance
     */
    ViewFeed(
            EventLoop loop,
            MonotonicClock clock,
            WallClock wallClock,
            long maxAgeMillis,
            BooleanSupplier followsStore) {
        this.loop = loop;
        this.clock = clock;
        this.maxAgeMillis = maxAgeMillis;
        this.followsStore = followsStore;
        this.suspensions = new SuspensionDetector(clock, wallClock);
    }

    /**
     * Starts with a complete view at the revision. Refuses all watches until the next update; changes that were added
     * before are dropped.
     *
     * @param newEra the era of the store to which the revision belongs
     */
    void start(StoreEra newEra, long newRevision) {
        suspend();
        era = newEra;
        completeAfter = newRevision;
        changes.clear();
        bytes = 0;
    }

    /** Adds a change of the view. */
    void add(DurableStore.StoreRecord change) {
        changes.addLast(change);
        bytes += size(change);
        while (changes.size() > MAX_CHANGES || bytes > MAX_BYTES) {
            DurableStore.StoreRecord dropped = changes.removeFirst();
            bytes -= size(dropped);
            completeAfter = Math.max(completeAfter, dropped.revision());
        }
    }

    private static int size(DurableStore.StoreRecord change) {
        return change.key().length() + (change.value() == null ? 0 : change.value().length);
    }

    /**
     * Answers the watches for which there are changes.
     *
     * @param newRevision the view contains all changes up to this revision
     * @param newCurrentAt the view contains all changes up to this monotonic time in milliseconds
     */
    void update(long newRevision, long newCurrentAt) {
        revision = newRevision;
        currentAt = newCurrentAt;
        suspended = false;
        for (Watch watch : List.copyOf(watches)) {
            if (!isServing() || watch.afterRevision < newRevision) {
                watch.end();
            }
        }
    }

    /** Refuses all watches until the next update, because the view may miss changes. */
    void suspend() {
        suspended = true;
        List.copyOf(watches).forEach(Watch::end);
    }

    private boolean isServing() {
        return !suspended
                && suspensions.noneSince(currentAt)
                && clock.millis() - currentAt <= maxAgeMillis
                && followsStore.getAsBoolean();
    }

    /** Returns the number of watches of other instances that were answered. */
    long answeredWatches() {
        return answeredWatches;
    }

    /**
     * Waits for changes after a revision.
     *
     * @param watchedEra the era of the store to which the revision belongs
     * @param whenDone receives the changes, possibly none, with the age of the view;
     *     {@link DurableStore.Status#REFUSED} if this instance cannot tell
     */
    void watch(StoreEra watchedEra, long afterRevision, long waitMillis, Consumer<DurableStore.Result> whenDone) {
        Watch watch = new Watch(watchedEra, afterRevision, whenDone);
        watches.add(watch);
        if (!isServing() || !watchedEra.equals(era) || afterRevision < revision) {
            watch.end();
        } else {
            loop.schedule(watch::end, waitMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** A pending watch of another instance. */
    private final class Watch {
        private final StoreEra watchedEra;
        private final long afterRevision;
        private final Consumer<DurableStore.Result> whenDone;

        Watch(StoreEra watchedEra, long afterRevision, Consumer<DurableStore.Result> whenDone) {
            this.watchedEra = watchedEra;
            this.afterRevision = afterRevision;
            this.whenDone = whenDone;
        }

        private void end() {
            if (!watches.remove(this)) {
                return;
            }
            if (!isServing() || !watchedEra.equals(era) || afterRevision < completeAfter) {
                whenDone.accept(DurableStore.Result.of(DurableStore.Status.REFUSED));
                return;
            }
            answeredWatches++;
            List<DurableStore.StoreRecord> newer = changes.stream()
                    .filter(change -> change.revision() > afterRevision)
                    .toList();
            whenDone.accept(new DurableStore.Result(
                    DurableStore.Status.DONE, newer, revision, 0, 0, clock.millis() - currentAt, era));
        }
    }
}
