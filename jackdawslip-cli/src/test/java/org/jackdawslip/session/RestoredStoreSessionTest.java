package org.jackdawslip.session;

import java.nio.file.Path;
import java.time.Duration;

import org.jackdawslip.cli.Operator;
import org.jackdawslip.internal.bundle.SignedBundle;
import org.jackdawslip.internal.store.ConsulStore;
import org.jackdawslip.internal.store.ReadResult;
import org.jackdawslip.internal.store.Store;
import org.jackdawslip.standins.StoreServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** The store comes back from an earlier copy while instances run. */
class RestoredStoreSessionTest {

    /** Far more than a change takes to arrive, and less than the 30 s of the longest watches. */
    private static final Duration BEFORE_WATCH_ENDS = Duration.ofSeconds(20);

    @TempDir
    private Path directory;

    private Session start() throws Exception {
        Session session = new Session(directory, "a1", "a2", "a3");
        session.addService("lookup", "pool");
        session.addBackend("lookup-a1", AtMostOnceSessionTest.fastBackend());
        session.startAll();
        return session;
    }

    private static void awaitVersion(Session session, int version) {
        Session.await("bundle " + version + " in force", () -> session.instances.keySet().stream()
                .allMatch(name -> session.status(name).path("bundleVersion").asInt() == version));
    }

    /** Guards against a failure domain that an operator takes out, with success, but that no instance treats as taken out. */
    @Test
    void failureDomainIsTakenOutAfterALostRollout() throws Exception {
        try (Session session = start()) {
            StoreServer.Copy copy = session.store.copy();
            session.rollOutNext();
            awaitVersion(session, 2);
            session.store.restore(copy);
            Session.await("the lost bundle in the store", () -> storedVersion(session) == 2);
            assertEquals(
                    "OK",
                    Operator.run(
                            "domain",
                            "take-out",
                            "fd-a",
                            "--store",
                            session.storeAddress(),
                            "--key",
                            session.file("ops.key")));
            awaitVersion(session, 3);
        }
    }

    /** Guards against a watch that waits for an index above that of the lost records. */
    @Test
    void bundleAfterLostWritesIsInForceBeforeAWatchEnds() throws Exception {
        try (Session session = start();
                Store store = new ConsulStore("127.0.0.1", session.store.port())) {
            StoreServer.Copy copy = session.store.copy();
            for (int i = 0; i < 20; i++) {
                store.compareAndSwap("other-" + i, 0, new byte[0]).join();
            }
            session.rollOutNext();
            String lost = session.sign("ops.key");
            awaitVersion(session, 2);
            session.store.restore(copy);
            long restoredNanos = System.nanoTime();
            assertEquals("OK", session.rollOut(lost));
            session.bundle.put("version", 3);
            assertEquals("OK", session.rollOut(session.sign("ops.key")));
            awaitVersion(session, 3);
            Duration elapsed = Duration.ofNanos(System.nanoTime() - restoredNanos);
            assertTrue(elapsed.compareTo(BEFORE_WATCH_ENDS) < 0, elapsed::toString);
        }
    }

    private static long storedVersion(Session session) {
        try (Store store = new ConsulStore("127.0.0.1", session.store.port())) {
            return store.read("jackdawslip/bundle").join() instanceof ReadResult.Found found
                    ? SignedBundle.parse(found.value()).version()
                    : 0;
        }
    }
}
