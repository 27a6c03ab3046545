package org.jackdawslip.internal.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.jackdawslip.internal.durable.StoreEra;
import org.jackdawslip.internal.durable.StoreEraTracker;
import org.jackdawslip.internal.gateway.DurableStore.Result;
import org.jackdawslip.internal.gateway.DurableStore.Status;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against results of an earlier era of the store that are used in a later one. */
class AnswersAcrossErasTest {

    private final List<Consumer<Result>> pending = new ArrayList<>();
    private final List<Result> results = new ArrayList<>();
    private final List<String> returns = new ArrayList<>();
    private final StoreEraTracker eras = new StoreEraTracker();
    private final EraCheckedStore store = new EraCheckedStore(new PendingStore(), eras);

    /** Keeps each call until the test completes it. */
    private final class PendingStore implements DurableStore {
        @Override
        public void readAll(String prefix, long timeoutMillis, Consumer<Result> whenDone) {
            pending.add(whenDone);
        }

        @Override
        public void watch(
                String prefix, long afterRevision, long waitMillis, long timeoutMillis, Consumer<Result> whenDone) {
            pending.add(whenDone);
        }

        @Override
        public void commit(Transaction transaction, Consumer<Result> whenDone) {
            pending.add(whenDone);
        }

        @Override
        public void createLease(long termMillis, Consumer<Result> whenDone) {
            pending.add(whenDone);
        }

        @Override
        public void renewLease(long lease, Consumer<Result> whenDone) {
            pending.add(whenDone);
        }

        @Override
        public void endLease(long lease, Consumer<Result> whenDone) {
            pending.add(whenDone);
        }
    }

    @BeforeEach
    void subscribe() {
        eras.subscribe((earlier, current) -> returns.add(earlier + " " + current + " " + results.size()));
    }

    private void respond(int call, Status status, long era) {
        pending.get(call).accept(new Result(status, List.of(), 9, 7, 2_500, 0, new StoreEra(era)));
    }

    private Result last() {
        return results.get(results.size() - 1);
    }

    /** Makes era 2 the newest one. */
    private void readInSecondEra() {
        store.readAll("", 1, results::add);
        respond(0, Status.DONE, 2);
    }

    /** Guards against a start during an outage that counts as a return. */
    @ParameterizedTest
    @EnumSource(names = {"REFUSED", "UNKNOWN"})
    void errorsBeforeTheFirstResponseAreNoReturn(Status status) {
        store.readAll("", 1, results::add);
        respond(0, status, 0);
        store.readAll("", 1, results::add);
        respond(1, status, 2);
        store.readAll("", 1, results::add);
        respond(2, Status.DONE, 2);
        assertEquals(List.of(), returns);
        assertEquals(Status.DONE, last().status());
    }

    /** Guards against a return that is known only after the first valid response. */
    @Test
    void errorOfTheStoreShowsTheReturn() {
        readInSecondEra();
        store.readAll("", 1, results::add);
        respond(1, Status.REFUSED, 3);
        assertEquals(List.of("2 3 1"), returns);
        assertEquals(Status.REFUSED, last().status());
    }

    /** Guards against a refusal by an instance on the way, or a timeout, that counts as an earlier era. */
    @Test
    void errorWithoutEraChangesNothing() {
        readInSecondEra();
        store.watch("", 9, 1, 1, results::add);
        respond(1, Status.UNKNOWN, 0);
        store.readAll("", 1, results::add);
        respond(2, Status.DONE, 2);
        assertEquals(List.of(), returns);
        assertEquals(0, eras.rejectedResponses());
    }

    /** Guards against a late response that shows a state of before the return. */
    @ParameterizedTest
    @EnumSource(names = {"DONE", "CONFLICT", "HISTORY_GONE"})
    void lateResponseOfAnEarlierEraIsNone(Status status) {
        readInSecondEra();
        store.readAll("", 1, results::add);
        store.renewLease(7, results::add);
        respond(1, Status.DONE, 4);
        respond(2, status, 2);
        assertEquals(List.of("2 4 1"), returns);
        assertEquals(Status.UNKNOWN, last().status());
        assertEquals(1, eras.rejectedResponses());
    }

    /** Guards against a watch from an earlier era that goes on, or ends as an outage, after two returns. */
    @Test
    void watchAcrossErasHasNoHistory() {
        readInSecondEra();
        store.watch("", 9, 1, 1, results::add);
        respond(1, Status.DONE, 4);
        assertEquals(Status.HISTORY_GONE, last().status());
        assertEquals(List.of(), last().records());
        assertEquals(new StoreEra(4), last().era());
    }

    /** Guards against a lease or role whose call was carried out in an era that its sender did not know. */
    @Test
    void writeAcrossErasHasNoKnownOutcome() {
        readInSecondEra();
        store.createLease(2_500, results::add);
        store.commit(new DurableStore.Transaction(List.of(), List.of(), 0), results::add);
        store.renewLease(7, results::add);
        respond(1, Status.DONE, 3);
        assertEquals(Status.UNKNOWN, last().status());
        assertEquals(0, last().lease());
        respond(2, Status.DONE, 3);
        assertEquals(Status.UNKNOWN, last().status());
        assertEquals(0, last().revision());
        respond(3, Status.CONFLICT, 3);
        assertEquals(Status.CONFLICT, last().status());
        assertEquals(List.of("2 3 1"), returns);
    }

    /** Guards against a read of the new era that is used before everybody knows of the return. */
    @Test
    void readAcrossErasIsUsedAfterTheNotification() {
        readInSecondEra();
        store.readAll("", 1, results::add);
        respond(1, Status.DONE, 3);
        assertEquals(List.of("2 3 1"), returns);
        assertEquals(Status.DONE, last().status());
        assertEquals(9, last().revision());
    }
}
