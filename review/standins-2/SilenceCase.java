package org.jackdawslip.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * During a burst of orders, open connections to the upstreams of the orders go silent for good, three times; new ones
 * work. Afterwards all is calm.
 */
final class SilenceCase {

    private static final int UPSTREAMS = 6;
    private static final int ORDER_WORK_MILLIS = 210;
    private static final int READ_WORK_MILLIS = 60;
    private static final int LIMIT_MILLIS = 1_500;
    /** A new connection to a client takes two ways of 1 ms; the time limit of the client runs from its start. */
    private static final long HANDSHAKE_MILLIS = 2;

    private static final double ORDERS_PER_SECOND = 55;
    private static final double READS_PER_SECOND = 130;
    private static final double BURST_FACTOR = 1.7;
    /** Time after the start in which instances do not count as established. */
    private static final long ESTABLISHED_MILLIS = 12_000;

    private static final double BURST_START = 1;
    private static final double FIRST_EVENT = 3;
    private static final double EVENT_GAP = 4;
    private static final int EVENTS = Integer.getInteger("events", 3);
    private static final double BURST_END = FIRST_EVENT + EVENT_GAP * (EVENTS - 1) + 0.5;
    private static final double CALM_START = BURST_END + 10;
    private static final double END = CALM_START + 73;

    private SilenceCase() {}

    /** The requests of one kind in one phase. */
    private static final class Counts {
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();
        final AtomicInteger refused = new AtomicInteger();

        @Override
        public String toString() {
            return sent + " sent, " + served + " served, " + refused + " refused";
        }
    }

    public static void main(String[] arguments) {
        Lab.main(arguments, SilenceCase::run);
    }

    private static String route(String name, String prefix, String kind, String service) {
        return "{\"name\":\"" + name + "\",\"host\":\"a.example\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"timeout_ms\":1500,\"target_latency_ms\":600,\"priority\":1,\"service\":\"" + service
                + "\",\"max_attempts\":2}";
    }

    private static String service(String name) {
        return "{\"name\":\"" + name + "\",\"health_check_path\":\"/health\",\"max_connections\":120,\"protocol\":"
                + "\"h1\",\"tls\":false,\"warmup_s\":3.0,\"warmup_per_s\":4.3}";
    }

    private static String config() {
        return "{\"version\":1,\"routes\":[" + route("r-order", "/order/", "non_idempotent", "ledger") + ","
                + route("r-read", "/read/", "idempotent", "matchbook") + "],\"services\":[" + service("ledger") + ","
                + service("matchbook") + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }

    private static List<SlotUpstream> startUpstreams(Lab lab, String service, int workMillis) throws IOException {
        List<SlotUpstream> upstreams = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            String id = "i-" + service + "-" + i;
            SlotUpstream upstream = new SlotUpstream(lab, id, workMillis);
            upstreams.add(upstream);
            String address = upstream.standin.address();
            lab.store.put(
                    "servers/" + id,
                    TestDeployment.listingJson(address, service, "a", System.currentTimeMillis(), "ready", 0, 4));
        }
        return upstreams;
    }

    private static int run(Lab lab) throws Exception {
        List<SlotUpstream> ledger = startUpstreams(lab, "ledger", ORDER_WORK_MILLIS);
        startUpstreams(lab, "matchbook", READ_WORK_MILLIS);
        lab.store.put("op/config", config());
        Lab.GatewayProcess gateway = lab.startGateway("front-a-1", "a", lab.store.address());
        lab.awaitReady(gateway);
        Thread.sleep(ESTABLISHED_MILLIS);
        double start = lab.seconds();
        Counts orders = new Counts();
        Counts calmOrders = new Counts();
        Counts reads = new Counts();
        ExecutorService executor = Executors.newCachedThreadPool();
        ScheduledExecutorService readTimer = Executors.newSingleThreadScheduledExecutor();
        AtomicInteger readNumber = new AtomicInteger();
        Runnable sendRead = () -> executor.execute(() -> send(
                lab, gateway.callerPort, "GET", "/read/1", String.format("x%08x", readNumber.incrementAndGet()), reads));
        readTimer.scheduleAtFixedRate(sendRead, 0, Math.round(1e6 / READS_PER_SECOND), TimeUnit.MICROSECONDS);
        int events = 0;
        int number = 0;
        for (double now = 0; now < END; now = lab.seconds() - start) {
            if (lab.trouble && events < EVENTS && now >= FIRST_EVENT + events * EVENT_GAP) {
                events++;
                ledger.forEach(SlotUpstream::silenceOpenConnections);
                lab.record("trouble", "open connections to the upstreams of orders are silent, time " + events);
            }
            Counts counts = now < CALM_START ? orders : calmOrders;
            String id = String.format("y%08x", ++number);
            executor.execute(() -> send(lab, gateway.callerPort, "POST", "/order/1", id, counts));
            boolean burst = lab.trouble && now >= BURST_START && now < BURST_END;
            Thread.sleep(Math.round(1_000 / (ORDERS_PER_SECOND * (burst ? BURST_FACTOR : 1))));
        }
        readTimer.shutdownNow();
        Thread.sleep(LIMIT_MILLIS + 500);
        executor.shutdownNow();
        return judge(lab, orders, calmOrders, reads);
    }

    /** "Starved": a kind of request is served less than a quarter as often as all requests. */
    private static int judge(Lab lab, Counts orders, Counts calmOrders, Counts reads) {
        int ordersSent = orders.sent.get() + calmOrders.sent.get();
        int ordersServed = orders.served.get() + calmOrders.served.get();
        double orderShare = (double) ordersServed / ordersSent;
        double share = (double) (ordersServed + reads.served.get()) / (ordersSent + reads.sent.get());
        String text = String.format(
                Locale.ROOT,
                "orders until the calm: %s%norders in the calm: %s%nreads: %s%nserved: %.3f of the orders, %.3f of all",
                orders, calmOrders, reads, orderShare, share);
        lab.record("sum", text);
        System.out.println(text);
        if (reads.served.get() < 0.9 * reads.sent.get()) {
            return Lab.EXIT_NOT_RUN;
        }
        return orderShare < share / 4 ? Lab.EXIT_BROKEN : Lab.EXIT_HELD;
    }

    private static void send(Lab lab, int port, String method, String path, String id, Counts counts) {
        long endNanos = System.nanoTime() + LIMIT_MILLIS * 1_000_000L;
        counts.sent.incrementAndGet();
        try (Caller caller = new Caller(port)) {
            Thread.sleep(HANDSHAKE_MILLIS);
            caller.send(Caller.head(method, path, id, LIMIT_MILLIS, 0, ""));
            lab.record("sent", id);
            Caller.Answer answer = caller.read(endNanos);
            lab.record("answered", id + " " + answer.status());
            if (answer.status() == 200) {
                counts.served.incrementAndGet();
            } else if (answer.status() == 503) {
                counts.refused.incrementAndGet();
            }
        } catch (IOException | InterruptedException e) {
            lab.record("answered", id + " " + e);
        }
    }
}
