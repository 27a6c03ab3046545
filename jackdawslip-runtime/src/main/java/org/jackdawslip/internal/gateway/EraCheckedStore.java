package org.jackdawslip.internal.gateway;

import java.util.function.Consumer;

import org.jackdawslip.internal.durable.StoreEra;
import org.jackdawslip.internal.durable.StoreEraTracker;

/**
 * Checks the era of each response of a store before it is used, so that its users compare only revisions of one era.
 *
 * <p>Invariants: the result of a read belongs to the newest era; a watch that the store answers in a later era than
 * that of its start ends with {@link DurableStore.Status#HISTORY_GONE}; a write that the store answers in a later era
 * ends with {@link DurableStore.Status#UNKNOWN} unless it had no effect, because its condition may hold by chance.
 * Confined to the event loop.
 */
final class EraCheckedStore implements DurableStore {

    private final DurableStore store;
    private final StoreEraTracker eras;

    /**
     * Creates a checked view of a store.
     *
     * @param eras the era of the store; shared by all paths to it
     */
    EraCheckedStore(DurableStore store, StoreEraTracker eras) {
        this.store = store;
        this.eras = eras;
    }

    /** What a result says if the store came back from a copy between the call and its response. */
    private enum CallKind {
        READ {
            @Override
            Status acrossEras(Status status) {
                return status;
            }
        },
        WATCH {
            @Override
            Status acrossEras(Status status) {
                return status == Status.DONE ? Status.HISTORY_GONE : status;
            }
        },
        WRITE {
            @Override
            Status acrossEras(Status status) {
                return status == Status.DONE ? Status.UNKNOWN : status;
            }
        };

        /** Returns the status for the caller, given the status in the later era. */
        abstract Status acrossEras(Status status);
    }

    private Consumer<Result> checked(CallKind kind, Consumer<Result> whenDone) {
        boolean eraKnown = eras.isKnown();
        StoreEra sentIn = eras.current();
        return result -> whenDone.accept(check(kind, eraKnown ? sentIn : result.era(), result));
    }

    private Result check(CallKind kind, StoreEra sentIn, Result result) {
        boolean describesStore = result.status() != Status.UNKNOWN && result.status() != Status.REFUSED;
        if (!describesStore) {
            // An instance on the way to the store may have refused the call, and it states no era.
            if (!result.era().equals(StoreEra.NONE)) {
                eras.accept(result.era());
            }
            return result;
        }
        if (!eras.accept(result.era())) {
            return Result.of(Status.UNKNOWN);
        }
        if (result.era().equals(sentIn)) {
            return result;
        }
        Status status = kind.acrossEras(result.status());
        return status == result.status() ? result : Result.of(status, result.era());
    }

    @Override
    public void readAll(String prefix, long timeoutMillis, Consumer<Result> whenDone) {
        store.readAll(prefix, timeoutMillis, checked(CallKind.READ, whenDone));
    }

    @Override
    public void watch(
            String prefix, long afterRevision, long waitMillis, long timeoutMillis, Consumer<Result> whenDone) {
        store.watch(prefix, afterRevision, waitMillis, timeoutMillis, checked(CallKind.WATCH, whenDone));
    }

    @Override
    public void commit(Transaction transaction, Consumer<Result> whenDone) {
        store.commit(transaction, checked(CallKind.WRITE, whenDone));
    }

    @Override
    public void createLease(long termMillis, Consumer<Result> whenDone) {
        store.createLease(termMillis, checked(CallKind.WRITE, whenDone));
    }

    @Override
    public void renewLease(long lease, Consumer<Result> whenDone) {
        store.renewLease(lease, checked(CallKind.WRITE, whenDone));
    }

    @Override
    public void endLease(long lease, Consumer<Result> whenDone) {
        store.endLease(lease, checked(CallKind.WRITE, whenDone));
    }
}
