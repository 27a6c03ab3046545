package org.jackdawslip.internal.store;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.http.RawServer;
import org.jackdawslip.standins.StoreServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

class ConsulStoreTest {

    private static final String KEY = "jackdawslip/bundle";

    private final StoreServer server = StoreServer.builder().start();
    private final Store store = new ConsulStore("127.0.0.1", server.port());

    @AfterEach
    void close() {
        store.close();
        server.close();
    }

    /** Guards against two operators whose writes both take effect. */
    @Test
    void secondWriteWithTheSameIndexIsAConflict() {
        assertInstanceOf(ReadResult.Absent.class, store.read(KEY).join());
        assertEquals(WriteResult.Kind.APPLIED, write(0, "a"));
        assertEquals(WriteResult.Kind.CONFLICT, write(0, "b"));
        ReadResult.Found found = found();
        assertEquals("a", text(found));
        assertEquals(WriteResult.Kind.APPLIED, write(found.index(), "b"));
    }

    /** Guards against a write with a lost response that is reported as failed or is sent a second time. */
    @Test
    void lostResponseLeavesTheOutcomeUnknown() {
        server.dropWriteResponses(1);
        assertEquals(WriteResult.Kind.OUTCOME_UNKNOWN, write(0, "a"));
        assertEquals("a", text(found()));
        assertEquals(1, server.callCountsByKind().get("writes"));
    }

    /** Guards against a call to a slow store that takes longer than the timeout of one second. */
    @Test
    void slowStoreLeavesTheOutcomeUnknown() {
        server.setCallDelayMillis(1500);
        assertEquals(WriteResult.Kind.OUTCOME_UNKNOWN, write(0, "a"));
    }

    /** Guards against calls to an unreachable store that hang or are reported as sent. */
    @Test
    void unreachableStoreIsUnavailable() {
        server.close();
        assertEquals(WriteResult.Kind.UNAVAILABLE, write(0, "a"));
        assertInstanceOf(ReadResult.Unavailable.class, store.read(KEY).join());
        assertInstanceOf(ListResult.Unavailable.class, store.listInstances().join());
    }

    /** Guards against a watch that polls, misses a change, or stays pending after the client was closed. */
    @Test
    void watchReturnsOnChangeAndEndsOnClose() throws Exception {
        write(0, "a");
        ReadResult.Found first = found();
        CompletableFuture<ReadResult> watch = store.watch(KEY, first.index(), Duration.ofSeconds(30));
        while (server.callCountsByKind().get("waiting") == 0) {
            Thread.sleep(1);
        }
        assertFalse(watch.isDone());
        write(first.index(), "b");
        ReadResult.Found second = assertInstanceOf(ReadResult.Found.class, watch.join());
        assertArrayEquals("b".getBytes(StandardCharsets.UTF_8), second.value());
        CompletableFuture<ReadResult> next = store.watch(KEY, second.index(), Duration.ofSeconds(30));
        store.close();
        assertInstanceOf(ReadResult.Unavailable.class, next.join());
        assertEquals(2, server.callCountsByKind().get("writes"));
    }

    /**
     * Guards against entries without failure domain or leaving flag, and against a list other than the
     * store's.
     */
    @Test
    void listsRegisteredInstances() {
        ListedInstance instance =
                new ListedInstance(new InstanceId("entry-1"), new FailureDomainId("mitte-1"), "127.0.0.1", 7001, true);
        assertEquals(WriteResult.Kind.APPLIED, store.register(instance).join().kind());
        assertEquals(
                new ListResult.Listed(List.of(instance)), store.listInstances().join());
        server.setListingFrozen(true);
        store.deregister(instance.instance()).join();
        assertEquals(
                new ListResult.Listed(List.of(instance)), store.listInstances().join());
        server.setListingFrozen(false);
        assertEquals(new ListResult.Listed(List.of()), store.listInstances().join());
    }

    /** Guards against a malformed response that counts as an answer of the store. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "000 X",
                "099 X",
                "600 X",
                "999 X",
                "+20 X",
                "200 X\r\nX Bad: 1",
                "200 X\r\nX-Bad : 1",
                "200 X\r\nX\u0001Bad: 1"
            })
    void malformedResponseIsNoAnswer(String head) throws IOException {
        assertNoAnswer(head);
    }

    /** Guards against a status that is accepted because of its first three characters. */
    @ParameterizedTest
    @Tag("known-red")
    @ValueSource(strings = {"2000 X", "20000 X", "200x X"})
    void responseWithLongStatusIsNoAnswer(String head) throws IOException {
        assertNoAnswer(head);
    }

    private static void assertNoAnswer(String head) throws IOException {
        String body = "[{\"ModifyIndex\":7,\"Value\":\"\"}]";
        try (RawServer malformed = new RawServer((number, socket) -> RawServer.write(
                        socket, "HTTP/1.1 " + head + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
                Store client = new ConsulStore("127.0.0.1", malformed.port())) {
            assertInstanceOf(ReadResult.Unavailable.class, client.read(KEY).join());
            assertInstanceOf(
                    ListResult.Unavailable.class, client.listInstances().join());
            assertEquals(
                    WriteResult.Kind.OUTCOME_UNKNOWN,
                    client.compareAndSwap(KEY, 0, new byte[] {1}).join().kind());
        }
    }

    private WriteResult.Kind write(long index, String value) {
        return store.compareAndSwap(KEY, index, value.getBytes(StandardCharsets.UTF_8))
                .join()
                .kind();
    }

    private ReadResult.Found found() {
        return assertInstanceOf(ReadResult.Found.class, store.read(KEY).join());
    }

    private static String text(ReadResult.Found found) {
        return new String(found.value(), StandardCharsets.UTF_8);
    }
}
