package org.jackdawslip.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A crowd of clients that do not behave: each sends a request with a head of legal size and reads its answer, then a
 * head of legal size with very many short fields, and stops just short of its end. The crowd leaves after some seconds.
 */
final class CrowdCase {

    private static final int CROWD = Integer.getInteger("crowd", 1_200);
    /** Bytes of the longest field; the head with it is below the limit of 16,384 bytes. */
    private static final int LONG_FIELD_BYTES = 15_900;
    /** Fields of five bytes; the head with them is below the limit as well. */
    private static final int SHORT_FIELDS = 2_500;

    private static final long CROWD_MILLIS = 10_000;
    private static final long RECOVERY_MILLIS = 15_000;
    private static final long CALM_MILLIS = 15_000;
    private static final int LIMIT_MILLIS = 3_000;
    private static final long CALL_GAP_MILLIS = 200;

    /** What ordinary callers got in one phase. */
    private static final class Counts {
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();
        final AtomicInteger refused = new AtomicInteger();
        final AtomicInteger unanswered = new AtomicInteger();

        @Override
        public String toString() {
            return sent + " sent, " + served + " served, " + refused + " refused, " + unanswered + " without an answer";
        }
    }

    private CrowdCase() {}

    public static void main(String[] arguments) {
        Lab.main(arguments, CrowdCase::run);
    }

    static String config() {
        return "{\"version\":1,\"routes\":[{\"name\":\"r-read\",\"host\":\"a.example\",\"prefix\":\"/read/\","
                + "\"kind\":\"idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":1200,\"priority\":1,"
                + "\"service\":\"ledger\",\"max_attempts\":2}],\"services\":[{\"name\":\"ledger\","
                + "\"health_check_path\":\"/health\",\"max_connections\":120,\"protocol\":\"h1\",\"tls\":false,"
                + "\"warmup_s\":3.0,\"warmup_per_s\":4.3}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }

    private static int run(Lab lab) throws Exception {
        for (int i = 0; i < 6; i++) {
            SlotUpstream upstream = new SlotUpstream(lab, "i-" + i, 60);
            lab.store.put(
                    "servers/i-" + i,
                    TestDeployment.listingJson(
                            upstream.standin.address(), "ledger", "a", System.currentTimeMillis(), "ready", 0, 4));
        }
        lab.store.put("op/config", config());
        Lab.GatewayProcess gateway = lab.startGateway("front-a-1", "a", lab.store.address());
        lab.awaitReady(gateway);
        ExecutorService executor = Executors.newCachedThreadPool();
        Counts before = call(lab, gateway, executor, "before", 5_000);
        List<Caller> crowd = lab.trouble ? openCrowd(lab, gateway) : List.of();
        Counts during = call(lab, gateway, executor, "during", CROWD_MILLIS);
        for (Caller client : crowd) {
            client.close();
        }
        lab.record("trouble", "the crowd has left");
        Thread.sleep(RECOVERY_MILLIS);
        Counts after = call(lab, gateway, executor, "after", CALM_MILLIS);
        int readiness = Caller.readinessStatus(gateway.readinessPort);
        boolean alive = gateway.process.isAlive();
        String text = String.format(
                Locale.ROOT,
                "before: %s%nduring: %s%nafter: %s%nprocess runs: %s, readiness after: %d",
                before, during, after, alive, readiness);
        lab.record("sum", text);
        System.out.println(text);
        executor.shutdownNow();
        if (before.served.get() < before.sent.get() - 2) {
            return Lab.EXIT_NOT_RUN;
        }
        boolean serves = after.served.get() > 0 && readiness == 200;
        return alive && serves ? Lab.EXIT_HELD : Lab.EXIT_BROKEN;
    }

    /** Lets ordinary callers send requests for some time. */
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
        Thread.sleep(LIMIT_MILLIS + 200);
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
        AtomicInteger count = status == 200 ? counts.served : status == 503 ? counts.refused : counts.unanswered;
        count.incrementAndGet();
    }

    private static List<Caller> openCrowd(Lab lab, Lab.GatewayProcess gateway) throws InterruptedException {
        String complete = "GET /nowhere/ HTTP/1.1\r\nHost: a.example\r\nX: " + "a".repeat(LONG_FIELD_BYTES) + "\r\n\r\n";
        String incomplete = "GET /nowhere/ HTTP/1.1\r\nHost: a.example\r\n" + "a:b\r\n".repeat(SHORT_FIELDS);
        List<Caller> crowd = new ArrayList<>();
        int answered = 0;
        for (int i = 0; i < CROWD; i++) {
            try {
                Caller client = new Caller(gateway.callerPort);
                crowd.add(client);
                client.send(complete);
                answered += client.read(System.nanoTime() + 1_000_000_000L).status() > 0 ? 1 : 0;
            } catch (IOException e) {
                lab.record("crowd", "client " + i + " " + e);
            }
        }
        lab.record("trouble", crowd.size() + " clients of the crowd, " + answered + " answered");
        int sent = 0;
        for (Caller client : crowd) {
            try {
                client.send(incomplete);
                sent++;
            } catch (IOException e) {
                lab.record("crowd", e.toString());
            }
        }
        lab.record("trouble", sent + " clients sent the second head and stopped short of its end");
        return crowd;
    }
}
