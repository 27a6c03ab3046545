package org.jackdawslip.internal.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import org.jackdawslip.internal.durable.StoreEra;

/**
 * Simulates the platform's store on simulated time: revisions, pages, watches, a change history that can be
 * dropped, returns from an earlier copy, and faults of the store and of the network path to it. Not thread-safe.
 */
final class SimulatedStore {

    private static final long STEP_MILLIS = 2;
    /** Records in one page of a read. */
    private static final int PAGE_SIZE = 100;

    private static final long USUAL_RESPONSE_MILLIS = 4;
    /** Bytes that the link of an instance transfers in a millisecond, at 10 Mbit/s. */
    private static final long BYTES_PER_MILLI = 1_250;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final TreeMap<String, DurableStore.StoreRecord> recordsByKey = new TreeMap<>();
    private final List<DurableStore.StoreRecord> history = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private StoreEra era = StoreEra.NONE;
    private long revision = 1;
    private long historyStartRevision = 1;
    private long responseMillis = USUAL_RESPONSE_MILLIS;
    /** The earlier state that a replica still has, or null. */
    private Copy replica;

    private StoreEra replicaEra;
    private BooleanSupplier replicaAnswers = () -> false;
    private boolean changesWithheld;
    private boolean emptyWatchResponses;
    private boolean outage;
    long now;
    int callCount;
    int watchCount;

    SimulatedStore() {
        channel.freezeTime();
    }

    EventLoop loop() {
        return channel.eventLoop();
    }

    /** Advances the simulated time and runs the tasks that become due. */
    void run(long millis) {
        for (long end = now + millis; now < end; ) {
            now += STEP_MILLIS;
            channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
        }
    }

    void put(String key, String value) {
        revision++;
        applyChange(new DurableStore.StoreRecord(key, value.getBytes(StandardCharsets.UTF_8), revision));
    }

    void delete(String key) {
        if (recordsByKey.remove(key) != null) {
            revision++;
            applyChange(new DurableStore.StoreRecord(key, null, revision));
        }
    }

    /** The state of the store at a time. Immutable and thread-safe. */
    record Copy(
            Map<String, DurableStore.StoreRecord> records,
            List<DurableStore.StoreRecord> history,
            long revision,
            long historyStartRevision) {}

    Copy takeCopy() {
        return new Copy(Map.copyOf(recordsByKey), List.copyOf(history), revision, historyStartRevision);
    }

    /** Lets the store come back from a copy. A part of the pending watches is cut, the others stay. */
    void restore(Copy copy, Random random) {
        era = new StoreEra(era.number() + 1);
        recordsByKey.clear();
        recordsByKey.putAll(copy.records);
        history.clear();
        history.addAll(copy.history);
        revision = copy.revision;
        historyStartRevision = copy.historyStartRevision;
        changesWithheld = false;
        for (Watch watch : List.copyOf(watches)) {
            if (random.nextBoolean()) {
                watch.end(DurableStore.Result.of(DurableStore.Status.UNKNOWN));
            }
        }
    }

    /** Sets the era that the store states. */
    void startEra(StoreEra first) {
        era = first;
    }

    /**
     * Lets a replica answer a part of the calls with a state and its era that the store no longer has.
     *
     * @param millis time after which the replica is gone
     */
    void keepReplica(Copy state, StoreEra stateEra, double share, long millis, Random random) {
        replica = state;
        replicaEra = stateEra;
        schedule(millis, () -> replica = null);
        replicaAnswers = () -> replica != null && random.nextDouble() < share;
    }

    StoreEra era() {
        return era;
    }

    /** Returns the value of a record, or null if there is none. */
    String get(String key) {
        DurableStore.StoreRecord storeRecord = recordsByKey.get(key);
        return storeRecord == null ? null : new String(storeRecord.value(), StandardCharsets.UTF_8);
    }

    private void applyChange(DurableStore.StoreRecord storeRecord) {
        if (storeRecord.value() != null) {
            recordsByKey.put(storeRecord.key(), storeRecord);
        }
        history.add(storeRecord);
        if (!changesWithheld) {
            for (Watch watch : List.copyOf(watches)) {
                watch.completeIfChanged();
            }
        }
    }

    /**
     * Withholds changes from watches until {@link #compact}.
     *
     * @param emptyResponses whether watches get a response without changes at the end of their wait, or none
     *     at all
     */
    void withholdChanges(boolean emptyResponses) {
        changesWithheld = true;
        emptyWatchResponses = emptyResponses;
    }

    /** Drops the change history and terminates the pending watches. */
    void compact() {
        history.clear();
        historyStartRevision = revision;
        changesWithheld = false;
        List.copyOf(watches).forEach(watch -> watch.end(DurableStore.Result.of(DurableStore.Status.UNKNOWN)));
    }

    /** Sets whether the store refuses every call. */
    void outage(boolean set) {
        outage = set;
        if (set) {
            List.copyOf(watches).forEach(watch -> watch.end(DurableStore.Result.of(DurableStore.Status.UNKNOWN)));
        }
    }

    /** Sets whether the store responds slowly. */
    void slow(boolean slow) {
        responseMillis = slow ? 60 * USUAL_RESPONSE_MILLIS : USUAL_RESPONSE_MILLIS;
    }

    private void schedule(long millis, Runnable action) {
        loop().schedule(action, millis, TimeUnit.MILLISECONDS);
    }

    /** A pending watch. */
    private final class Watch {
        private final long afterRevision;
        private final Consumer<DurableStore.Result> whenDone;

        Watch(long afterRevision, Consumer<DurableStore.Result> whenDone) {
            this.afterRevision = afterRevision;
            this.whenDone = whenDone;
        }

        private void completeIfChanged() {
            List<DurableStore.StoreRecord> events = history.stream()
                    .filter(storeRecord -> storeRecord.revision() > afterRevision)
                    .toList();
            if (!events.isEmpty()) {
                end(new DurableStore.Result(DurableStore.Status.DONE, events, revision, 0, 0));
            }
        }

        private void endWait() {
            if (watches.contains(this) && (!changesWithheld || emptyWatchResponses)) {
                end(new DurableStore.Result(DurableStore.Status.DONE, List.of(), revision, 0, 0));
            }
        }

        private void end(DurableStore.Result result) {
            watches.remove(this);
            whenDone.accept(result);
        }
    }

    /** The connection of one instance to the store. */
    final class Client implements DurableStore {
        private boolean refused;
        private boolean unresponsive;
        private int lostWatchResponses;
        private int lostReadResponses;
        private long eventLoopDelayMillis;

        /** Sets whether the store refuses this instance; it serves the others. */
        void refused(boolean set) {
            refused = set;
        }

        /**
         * Sets whether the store ignores this instance. Calls sent while this is set never get a response.
         */
        void unresponsive(boolean set) {
            unresponsive = set;
        }

        /** Drops the responses to the next watches, including a pending one; other calls succeed. */
        void loseWatchResponses(int count) {
            lostWatchResponses = count;
        }

        /** Drops the responses to the next calls that are no watches. */
        void loseReadResponses(int count) {
            lostReadResponses = count;
        }

        /** Sets a delay of the event loop of this instance, which delays each response. */
        void delayEventLoop(long millis) {
            eventLoopDelayMillis = millis;
        }

        private void call(
                boolean watch, long timeoutMillis, Consumer<Result> whenDone, Consumer<Consumer<Result>> action) {
            callCount++;
            watchCount += watch ? 1 : 0;
            boolean[] done = new boolean[1];
            Consumer<Result> once = result -> {
                if (!done[0]) {
                    done[0] = true;
                    whenDone.accept(result);
                }
            };
            schedule(timeoutMillis + eventLoopDelayMillis, () -> once.accept(Result.of(Status.UNKNOWN)));
            if (unresponsive) {
                return;
            }
            Consumer<Result> respond = result -> {
                if (watch && lostWatchResponses > 0) {
                    lostWatchResponses--;
                } else if (!watch && lostReadResponses > 0) {
                    lostReadResponses--;
                } else {
                    // A connection that is cut states no era.
                    boolean states =
                            result.status() != Status.UNKNOWN && result.era().equals(StoreEra.NONE);
                    Result stated = states ? result.withEra(era) : result;
                    schedule(
                            responseMillis / 2 + transferMillis(result) + eventLoopDelayMillis,
                            () -> once.accept(stated));
                }
            };
            schedule(responseMillis / 2, () -> {
                if (outage || refused) {
                    respond.accept(Result.of(Status.REFUSED));
                } else {
                    action.accept(respond);
                }
            });
        }

        private long transferMillis(Result result) {
            long bytes = result.records().stream()
                    .mapToLong(storeRecord -> storeRecord.value() == null ? 0 : storeRecord.value().length)
                    .sum();
            return bytes / BYTES_PER_MILLI;
        }

        private void callAndRespond(long timeoutMillis, Consumer<Result> whenDone, Supplier<Result> action) {
            call(false, timeoutMillis, whenDone, respond -> respond.accept(action.get()));
        }

        @Override
        public void readAll(String prefix, long timeoutMillis, Consumer<Result> whenDone) {
            readPage("", new ArrayList<>(), null, timeoutMillis, whenDone);
        }

        private void readPage(
                String afterKey, List<StoreRecord> read, Result first, long timeoutMillis, Consumer<Result> whenDone) {
            boolean[] truncated = new boolean[1];
            callAndRespond(
                    timeoutMillis,
                    page -> {
                        if (page.status() != Status.DONE) {
                            whenDone.accept(page);
                            return;
                        }
                        Result firstPage = first == null ? page : first;
                        if (!page.era().equals(firstPage.era())) {
                            whenDone.accept(Result.of(Status.UNKNOWN, page.era()));
                            return;
                        }
                        read.addAll(page.records());
                        if (truncated[0]) {
                            readPage(read.get(read.size() - 1).key(), read, firstPage, timeoutMillis, whenDone);
                        } else {
                            whenDone.accept(
                                    new Result(Status.DONE, read, firstPage.revision(), 0, 0).withEra(firstPage.era()));
                        }
                    },
                    () -> {
                        boolean ofReplica = replicaAnswers.getAsBoolean();
                        TreeMap<String, StoreRecord> state = ofReplica ? new TreeMap<>(replica.records) : recordsByKey;
                        List<StoreRecord> page = state.tailMap(afterKey, false).values().stream()
                                .limit(PAGE_SIZE)
                                .toList();
                        truncated[0] = page.size() == PAGE_SIZE;
                        return new Result(Status.DONE, page, ofReplica ? replica.revision : revision, 0, 0)
                                .withEra(ofReplica ? replicaEra : era);
                    });
        }

        @Override
        public void watch(
                String prefix, long afterRevision, long waitMillis, long timeoutMillis, Consumer<Result> whenDone) {
            call(true, timeoutMillis, whenDone, respond -> {
                if (replicaAnswers.getAsBoolean()) {
                    List<StoreRecord> changes = replica.history.stream()
                            .filter(storeRecord -> storeRecord.revision() > afterRevision)
                            .toList();
                    respond.accept(new Result(Status.DONE, changes, replica.revision, 0, 0).withEra(replicaEra));
                    return;
                }
                if (afterRevision < historyStartRevision || afterRevision > revision) {
                    respond.accept(Result.of(Status.HISTORY_GONE));
                    return;
                }
                Watch watch = new Watch(afterRevision, respond);
                watches.add(watch);
                if (!changesWithheld) {
                    watch.completeIfChanged();
                }
                schedule(waitMillis, watch::endWait);
            });
        }

        @Override
        public void commit(Transaction transaction, Consumer<Result> whenDone) {
            throw new UnsupportedOperationException("not used by the simulated views");
        }

        @Override
        public void createLease(long termMillis, Consumer<Result> whenDone) {
            throw new UnsupportedOperationException("not used by the simulated views");
        }

        @Override
        public void renewLease(long lease, Consumer<Result> whenDone) {
            callAndRespond(1_000, whenDone, () -> Result.of(Status.DONE));
        }

        @Override
        public void endLease(long lease, Consumer<Result> whenDone) {
            throw new UnsupportedOperationException("not used by the simulated views");
        }
    }
}
