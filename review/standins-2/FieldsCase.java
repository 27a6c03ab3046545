package org.jackdawslip.platform;

import java.io.IOException;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that do not behave send requests with a head of legal size that is made of very many short fields, among them
 * a Connection field with very many names. Each of them waits for its answer before it sends the next, at most one every
 * 2.5 seconds.
 */
final class FieldsCase {

    private static final int CROWD = Integer.getInteger("crowd", 900);
    /**
     * With 2,700 names of two letters and 1,500 fields the head has 15.7 KB; the limit is 16,384 bytes. One name and 3,100
     * fields give a head of the same size for comparison.
     */
    private static final int CONNECTION_NAMES = Integer.getInteger("names", 2_700);

    private static final int FIELDS = Integer.getInteger("fields", 1_500);
    private static final int LIMIT_MILLIS = 3_000;
    private static final long CALL_GAP_MILLIS = 200;
    /** A client of the crowd sends its next request this long after the last one, or later. */
    private static final long CROWD_GAP_MILLIS = 2_500;

    private static final long SETTLE_MILLIS = 3_000;
    private static final long RECOVERY_MILLIS = 25_000;
    private static final long CROWD_MILLIS = 20_000;
    private static final long PHASE_MILLIS = 5_000;

    private static volatile boolean crowdRuns;

    private FieldsCase() {}

    /** What ordinary callers got in one phase. */
    private static final class Counts {
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();

        @Override
        public String toString() {
            return sent + " sent, " + served + " served";
        }
    }

    public static void main(String[] arguments) {
        Lab.main(arguments, FieldsCase::run);
    }

    private static int run(Lab lab) throws Exception {
        for (int i = 0; i < 6; i++) {
            SlotUpstream upstream = new SlotUpstream(lab, "i-" + i, 60);
            lab.store.put(
                    "servers/i-" + i,
                    TestDeployment.listingJson(
                            upstream.standin.address(), "ledger", "a", System.currentTimeMillis(), "ready", 0, 4));
        }
        lab.store.put("op/config", CrowdCase.config());
        Lab.GatewayProcess gateway = lab.startGateway("front-a-1", "a", lab.store.address());
        lab.awaitReady(gateway);
        ExecutorService executor = Executors.newCachedThreadPool();
        Counts before = call(lab, gateway, executor, "before", PHASE_MILLIS);
        AtomicInteger crowdRequests = new AtomicInteger();
        if (lab.trouble) {
            crowdRuns = true;
            lab.record("trouble", CROWD + " clients of the crowd arrive");
            for (int i = 0; i < CROWD; i++) {
                executor.execute(() -> runClient(gateway.callerPort, crowdRequests));
            }
        }
        Thread.sleep(SETTLE_MILLIS);
        Counts during = call(lab, gateway, executor, "during", CROWD_MILLIS);
        crowdRuns = false;
        lab.record("trouble", "the crowd leaves after " + crowdRequests + " requests");
        Thread.sleep(RECOVERY_MILLIS);
        Counts after = call(lab, gateway, executor, "after", PHASE_MILLIS);
        String text = String.format(
                Locale.ROOT,
                "before: %s%nduring: %s; %d requests of the crowd%nafter: %s",
                before, during, crowdRequests.get(), after);
        lab.record("sum", text);
        System.out.println(text);
        executor.shutdownNow();
        if (before.served.get() < before.sent.get() - 2) {
            return Lab.EXIT_NOT_RUN;
        }
        return 10 * during.served.get() < during.sent.get() ? Lab.EXIT_BROKEN : Lab.EXIT_HELD;
    }

    private static Counts call(
            Lab lab, Lab.GatewayProcess gateway, ExecutorService executor, String phase, long millis)
            throws InterruptedException {
        Counts counts = new Counts();
        long end = System.nanoTime() + millis * 1_000_000;
        for (int number = 0; System.nanoTime() < end; number++) {
            String id = phase + "-" + number;
            counts.sent.incrementAndGet();
            executor.execute(() -> read(lab, gateway.callerPort, id, counts));
            Thread.sleep(CALL_GAP_MILLIS);
        }
        Thread.sleep(LIMIT_MILLIS);
        return counts;
    }

    private static void read(Lab lab, int port, String id, Counts counts) {
        long endNanos = System.nanoTime() + LIMIT_MILLIS * 1_000_000L;
        int status = Caller.CLOSED;
        try (Caller caller = new Caller(port)) {
            caller.send(Caller.head("GET", "/read/1", id, LIMIT_MILLIS, 0, ""));
            lab.record("sent", id);
            status = caller.read(endNanos).status();
        } catch (IOException e) {
            lab.record("failed", id + " " + e);
        }
        lab.record("answered", id + " " + status);
        if (status == 200) {
            counts.served.incrementAndGet();
        }
    }

    private static void runClient(int port, AtomicInteger requests) {
        StringBuilder fields = new StringBuilder("Connection: aa");
        for (int i = 1; i < CONNECTION_NAMES; i++) {
            fields.append(',').append(letter()).append(letter());
        }
        fields.append("\r\n");
        for (int i = 0; i < FIELDS; i++) {
            fields.append(i % 10).append(letter()).append(":\r\n");
        }
        while (crowdRuns) {
            long nextNanos = System.nanoTime() + CROWD_GAP_MILLIS * 1_000_000L;
            try (Caller client = new Caller(port)) {
                String id = Long.toHexString(ThreadLocalRandom.current().nextLong());
                client.send(Caller.head("GET", "/read/1", id, LIMIT_MILLIS, 0, fields.toString()));
                client.read(System.nanoTime() + LIMIT_MILLIS * 1_000_000L);
                requests.incrementAndGet();
            } catch (IOException e) {
                requests.incrementAndGet();
            }
            try {
                Thread.sleep(Math.max(0, (nextNanos - System.nanoTime()) / 1_000_000));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static char letter() {
        return (char) ('a' + ThreadLocalRandom.current().nextInt(26));
    }
}
