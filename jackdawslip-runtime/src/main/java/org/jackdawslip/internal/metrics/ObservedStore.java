package org.jackdawslip.internal.metrics;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.store.ListResult;
import org.jackdawslip.internal.store.ListedInstance;
import org.jackdawslip.internal.store.ReadResult;
import org.jackdawslip.internal.store.Store;
import org.jackdawslip.internal.store.WriteResult;
import org.tinylog.Logger;

/**
 * Decorator that counts the calls to a store, and logs when the store becomes unavailable or available again.
 * Thread-safe.
 *
 * <pre>{@code
 * Store store = new ObservedStore(new ConsulStore(host, port), metrics);
 * }</pre>
 */
public final class ObservedStore implements Store {

    private static final int REACHABILITY_UNKNOWN = -1;

    private final Store store;
    private final RouterMetrics metrics;
    private final AtomicInteger reachable = new AtomicInteger(REACHABILITY_UNKNOWN);
    private volatile boolean closed;

    /** Decorates a store and registers its metrics. Closing this object closes the store. */
    public ObservedStore(Store store, RouterMetrics metrics) {
        this.store = store;
        this.metrics = metrics;
        metrics.registerGauge(
                "store.reachable", "1 if the last call to the store was answered", reachable, r -> r.get());
    }

    @Override
    public CompletableFuture<ReadResult> read(String key) {
        return observedRead(store.read(key));
    }

    @Override
    public CompletableFuture<ReadResult> watch(String key, long afterIndex, Duration maxWait) {
        return observedRead(store.watch(key, afterIndex, maxWait));
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSwap(String key, long expectedIndex, byte[] value) {
        return observedWrite(store.compareAndSwap(key, expectedIndex, value));
    }

    @Override
    public CompletableFuture<ListResult> listInstances() {
        return store.listInstances().whenComplete((result, failure) -> {
            if (result != null) {
                recordCallEnd(
                        "list", result instanceof ListResult.Unavailable unavailable ? unavailable.reason() : null);
            }
        });
    }

    @Override
    public CompletableFuture<WriteResult> register(ListedInstance instance) {
        return observedWrite(store.register(instance));
    }

    @Override
    public CompletableFuture<WriteResult> deregister(InstanceId instance) {
        return observedWrite(store.deregister(instance));
    }

    private CompletableFuture<ReadResult> observedRead(CompletableFuture<ReadResult> call) {
        return call.whenComplete((result, failure) -> {
            if (result != null) {
                recordCallEnd(
                        "read", result instanceof ReadResult.Unavailable unavailable ? unavailable.reason() : null);
            }
        });
    }

    private CompletableFuture<WriteResult> observedWrite(CompletableFuture<WriteResult> call) {
        return call.whenComplete((result, failure) -> {
            if (result != null) {
                boolean responded =
                        result.kind() == WriteResult.Kind.APPLIED || result.kind() == WriteResult.Kind.CONFLICT;
                recordCallEnd("write", responded ? null : result.reason());
            }
        });
    }

    private void recordCallEnd(String kind, String failureReason) {
        if (closed) {
            return;
        }
        metrics.countStoreCall(kind, failureReason == null);
        int previous = reachable.getAndSet(failureReason == null ? 1 : 0);
        if (failureReason != null && previous != 0) {
            Logger.warn("store calls fail: {}", failureReason);
        } else if (failureReason == null && previous == 0) {
            Logger.info("store calls succeed again");
        }
    }

    @Override
    public void close() {
        closed = true;
        store.close();
    }
}
