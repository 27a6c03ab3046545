package org.jackdawslip.internal.entry;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.jackdawslip.internal.store.ReadResult;

/**
 * Watches one record of the store while a condition holds, with one blocking store call for each wait. The
 * receiver gets every result with a new index, and the first one after a failed call: the store may have come back
 * from an earlier copy, which gives out indexes again.
 *
 * <p>Not thread-safe; confined to the decision thread.
 */
final class StoreWatch {

    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final InstanceContext context;
    private final String key;
    private final BooleanSupplier condition;
    private final Consumer<ReadResult> receiver;
    private Runnable reconnectListener = () -> {};
    private long index;
    private boolean interrupted;

    StoreWatch(InstanceContext context, String key, BooleanSupplier condition, Consumer<ReadResult> receiver) {
        this.context = context;
        this.key = key;
        this.condition = condition;
        this.receiver = receiver;
    }

    /** Sets the listener that runs after a result that may come from an earlier copy of the store. */
    StoreWatch onReconnect(Runnable listener) {
        reconnectListener = listener;
        return this;
    }

    void start() {
        if (!condition.getAsBoolean()) {
            index = 0;
            retryLater();
            return;
        }
        context.store()
                .watch(key, index, WATCH_TIMEOUT)
                .thenAccept(result -> context.runOnDecisionThread(() -> handleResult(result)));
    }

    private void handleResult(ReadResult result) {
        if (result instanceof ReadResult.Unavailable) {
            index = 0;
            interrupted = true;
            retryLater();
            return;
        }
        long previousIndex = index;
        index = result instanceof ReadResult.Found found ? found.index() : ((ReadResult.Absent) result).index();
        if (index != previousIndex) {
            receiver.accept(result);
        }
        if (interrupted || index < previousIndex) {
            interrupted = false;
            reconnectListener.run();
        }
        start();
    }

    private void retryLater() {
        context.timers().after(RETRY_DELAY, () -> context.runOnDecisionThread(this::start));
    }
}
