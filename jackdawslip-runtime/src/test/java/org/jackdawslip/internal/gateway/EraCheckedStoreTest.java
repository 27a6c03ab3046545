package org.jackdawslip.internal.gateway;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.jackdawslip.internal.durable.StoreEra;
import org.jackdawslip.internal.durable.StoreEraTracker;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against results that are used in another era of the store than that of their call. */
class EraCheckedStoreTest {

    private static final StoreEra FIRST = new StoreEra(3);
    private static final StoreEra SECOND = new StoreEra(4);

    private final List<Consumer<DurableStore.Result>> calls = new ArrayList<>();
    private final StoreEraTracker eras = new StoreEraTracker();
    private final DurableStore store = new EraCheckedStore(pendingStore(), eras);
    private final List<String> events = new ArrayList<>();

    @SuppressWarnings("unchecked")
    private DurableStore pendingStore() {
        return (DurableStore) Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {DurableStore.class}, (proxy, method, arguments) -> {
                    calls.add((Consumer<DurableStore.Result>) arguments[arguments.length - 1]);
                    return null;
                });
    }

    private void record(DurableStore.Result result) {
        events.add(result.status() + " " + result.revision() + " in " + result.era());
    }

    private static DurableStore.Result result(DurableStore.Status status, StoreEra era) {
        return new DurableStore.Result(status, List.of(), 40, 0, 0).withEra(era);
    }

    private static DurableStore.Result done(StoreEra era) {
        return result(DurableStore.Status.DONE, era);
    }

    private void learnFirstEra() {
        store.readAll("", 100, result -> {});
        calls.remove(0).accept(done(FIRST));
        eras.subscribe((earlier, current) -> events.add("restored"));
    }

    /** Guards against changes after a revision that the store has given out again. */
    @Test
    void watchAcrossErasEndsAsHistoryGone() {
        learnFirstEra();
        store.watch("", 30, 100, 200, this::record);
        calls.get(0).accept(done(SECOND));
        assertEquals(List.of("restored", "HISTORY_GONE 0 in 4"), events);
    }

    /** Guards against a transaction whose condition held by chance, because revisions are given out again. */
    @Test
    void writeAcrossErasIsUnknownUnlessItHadNoEffect() {
        learnFirstEra();
        store.createLease(1_000, this::record);
        store.renewLease(1, this::record);
        calls.get(0).accept(done(SECOND));
        calls.get(1).accept(result(DurableStore.Status.CONFLICT, SECOND));
        assertEquals(List.of("restored", "UNKNOWN 0 in 4", "CONFLICT 40 in 4"), events);
    }

    @Test
    void readAcrossErasShowsTheNewState() {
        learnFirstEra();
        store.readAll("", 100, this::record);
        calls.get(0).accept(done(SECOND));
        assertEquals(List.of("restored", "DONE 40 in 4"), events);
    }

    /** Guards against a late response, or one of a replica that still has the earlier state. */
    @Test
    void responseOfAnEarlierEraIsNotUsed() {
        learnFirstEra();
        for (int i = 0; i < 3; i++) {
            store.watch("", 30, 100, 200, this::record);
        }
        calls.get(0).accept(done(SECOND));
        calls.get(1).accept(done(FIRST));
        calls.get(2).accept(done(StoreEra.NONE));
        assertEquals(List.of("restored", "HISTORY_GONE 0 in 4", "UNKNOWN 0 in 0", "UNKNOWN 0 in 0"), events);
        assertEquals(2, eras.rejectedResponses());
    }

    /** An instance on the way to the store refuses without an era. */
    @Test
    void refusalWithoutAnEraEndsNoEra() {
        learnFirstEra();
        store.readAll("", 100, this::record);
        store.readAll("", 100, this::record);
        calls.get(0).accept(result(DurableStore.Status.REFUSED, StoreEra.NONE));
        calls.get(1).accept(result(DurableStore.Status.UNKNOWN, SECOND));
        assertEquals(List.of("REFUSED 40 in 0", "restored", "UNKNOWN 40 in 4"), events);
        assertEquals(0, eras.rejectedResponses());
    }
}
