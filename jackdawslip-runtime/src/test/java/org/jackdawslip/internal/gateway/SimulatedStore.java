package org.jackdawslip.internal.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;

/**
 * The platform's store on simulated time: revisions, pages, watches, a history that can be dropped, and the faults that
 * it and the path to it can have. Not thread-safe.
 */
final class SimulatedStore {

    private static final long STEP_MILLIS = 2;
    private static final int PAGE = 100;
    private static final long USUAL_ANSWER_MILLIS = 4;
    /** Bytes that the link of an instance carries in a millisecond, at 10 Mbit/s. */
    private static final long BYTES_PER_MILLI = 1_250;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final TreeMap<String, DurableStore.Item> items = new TreeMap<>();
    private final List<DurableStore.Item> history = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private long revision = 1;
    private long historyFrom = 1;
    private long answerMillis = USUAL_ANSWER_MILLIS;
    private boolean watchesSilent;
    private boolean silentWatchesAnswered;
    private boolean away;
    long now;
    int calls;

    SimulatedStore() {
        channel.freezeTime();
    }

    EventLoop loop() {
        return channel.eventLoop();
    }

    /** Runs for a time. */
    void run(long millis) {
        for (long end = now + millis; now < end; ) {
            now += STEP_MILLIS;
            channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
        }
    }

    void put(String key, String value) {
        revision++;
        changed(new DurableStore.Item(key, value.getBytes(StandardCharsets.UTF_8), revision));
    }

    void delete(String key) {
        if (items.remove(key) != null) {
            revision++;
            changed(new DurableStore.Item(key, null, revision));
        }
    }

    private void changed(DurableStore.Item item) {
        if (item.value() != null) {
            items.put(item.key(), item);
        }
        history.add(item);
        if (!watchesSilent) {
            for (Watch watch : List.copyOf(watches)) {
                watch.answerIfChanged();
            }
        }
    }

    /**
     * Watches hear nothing of changes until the history is dropped.
     *
     * @param answered whether they are answered at the end of their wait, without changes
     */
    void silenceWatches(boolean answered) {
        watchesSilent = true;
        silentWatchesAnswered = answered;
    }

    /** Drops the history and cuts the watches that wait. */
    void compact() {
        history.clear();
        historyFrom = revision;
        watchesSilent = false;
        List.copyOf(watches).forEach(watch -> watch.end(DurableStore.Result.of(DurableStore.Status.UNKNOWN)));
    }

    /** While set, every call is refused. */
    void away(boolean refuses) {
        away = refuses;
        if (refuses) {
            List.copyOf(watches).forEach(watch -> watch.end(DurableStore.Result.of(DurableStore.Status.UNKNOWN)));
        }
    }

    /** Sets the time in which calls are answered. */
    void slow(boolean slow) {
        answerMillis = slow ? 60 * USUAL_ANSWER_MILLIS : USUAL_ANSWER_MILLIS;
    }

    private void after(long millis, Runnable action) {
        loop().schedule(action, millis, TimeUnit.MILLISECONDS);
    }

    /** One watch that waits. */
    private final class Watch {
        private final long after;
        private final Consumer<DurableStore.Result> whenDone;

        Watch(long after, Consumer<DurableStore.Result> whenDone) {
            this.after = after;
            this.whenDone = whenDone;
        }

        private void answerIfChanged() {
            List<DurableStore.Item> events =
                    history.stream().filter(item -> item.revision() > after).toList();
            if (!events.isEmpty()) {
                end(new DurableStore.Result(DurableStore.Status.DONE, events, revision, 0, 0));
            }
        }

        private void waited() {
            if (watches.contains(this) && (!watchesSilent || silentWatchesAnswered)) {
                end(new DurableStore.Result(DurableStore.Status.DONE, List.of(), revision, 0, 0));
            }
        }

        private void end(DurableStore.Result result) {
            watches.remove(this);
            whenDone.accept(result);
        }
    }

    /** The store as one instance reaches it. */
    final class Client implements DurableStore {
        private boolean refused;
        private boolean silent;
        private int lostWatchAnswers;
        private int lostReadAnswers;
        private long lateMillis;

        /** While set, the store refuses this instance and serves the others. */
        void refused(boolean refuse) {
            refused = refuse;
        }

        /** While set, no call of this instance is answered; those that are made meanwhile never are. */
        void silent(boolean unanswered) {
            silent = unanswered;
        }

        /** Loses the answers of the next watches, the one under way included; other calls pass. */
        void loseWatchAnswers(int count) {
            lostWatchAnswers = count;
        }

        /** Loses the answers of the next reads. */
        void loseReadAnswers(int count) {
            lostReadAnswers = count;
        }

        /** The event loop of this instance handles answers so much later. */
        void late(long millis) {
            lateMillis = millis;
        }

        private void call(
                boolean watch, long timeoutMillis, Consumer<Result> whenDone, Consumer<Consumer<Result>> action) {
            calls++;
            boolean[] done = new boolean[1];
            Consumer<Result> once = result -> {
                if (!done[0]) {
                    done[0] = true;
                    whenDone.accept(result);
                }
            };
            after(timeoutMillis + lateMillis, () -> once.accept(Result.of(Status.UNKNOWN)));
            if (silent) {
                return;
            }
            Consumer<Result> answered = result -> {
                if (watch && lostWatchAnswers > 0) {
                    lostWatchAnswers--;
                } else if (!watch && lostReadAnswers > 0) {
                    lostReadAnswers--;
                } else {
                    after(answerMillis / 2 + transferMillis(result) + lateMillis, () -> once.accept(result));
                }
            };
            after(answerMillis / 2, () -> {
                if (away || refused) {
                    answered.accept(Result.of(Status.REFUSED));
                } else {
                    action.accept(answered);
                }
            });
        }

        private long transferMillis(Result result) {
            long bytes = result.items().stream()
                    .mapToLong(item -> item.value() == null ? 0 : item.value().length)
                    .sum();
            return bytes / BYTES_PER_MILLI;
        }

        private void answer(long timeoutMillis, Consumer<Result> whenDone, Supplier<Result> action) {
            call(false, timeoutMillis, whenDone, answered -> answered.accept(action.get()));
        }

        @Override
        public void readAll(String prefix, long timeoutMillis, Consumer<Result> whenDone) {
            readPage("", new ArrayList<>(), -1, timeoutMillis, whenDone);
        }

        private void readPage(
                String after, List<Item> read, long first, long timeoutMillis, Consumer<Result> whenDone) {
            boolean[] truncated = new boolean[1];
            answer(
                    timeoutMillis,
                    page -> {
                        if (page.status() != Status.DONE) {
                            whenDone.accept(page);
                            return;
                        }
                        read.addAll(page.items());
                        long from = first < 0 ? page.revision() : first;
                        if (truncated[0]) {
                            readPage(read.get(read.size() - 1).key(), read, from, timeoutMillis, whenDone);
                        } else {
                            whenDone.accept(new Result(Status.DONE, read, from, 0, 0));
                        }
                    },
                    () -> {
                        List<Item> page = items.tailMap(after, false).values().stream()
                                .limit(PAGE)
                                .toList();
                        truncated[0] = page.size() == PAGE;
                        return new Result(Status.DONE, page, revision, 0, 0);
                    });
        }

        @Override
        public void watch(
                String prefix, long afterRevision, long waitMillis, long timeoutMillis, Consumer<Result> whenDone) {
            call(true, timeoutMillis, whenDone, answered -> {
                if (afterRevision < historyFrom) {
                    answered.accept(Result.of(Status.HISTORY_GONE));
                    return;
                }
                Watch watch = new Watch(afterRevision, answered);
                watches.add(watch);
                if (!watchesSilent) {
                    watch.answerIfChanged();
                }
                after(waitMillis, watch::waited);
            });
        }

        @Override
        public void change(Change change, Consumer<Result> whenDone) {
            throw new UnsupportedOperationException("views only read");
        }

        @Override
        public void lease(long termMillis, Consumer<Result> whenDone) {
            throw new UnsupportedOperationException("views only read");
        }

        @Override
        public void renew(long lease, Consumer<Result> whenDone) {
            answer(1_000, whenDone, () -> Result.of(Status.DONE));
        }

        @Override
        public void endLease(long lease, Consumer<Result> whenDone) {
            throw new UnsupportedOperationException("views only read");
        }
    }
}
