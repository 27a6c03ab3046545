package org.jackdawslip.platform;

import java.io.IOException;
import java.util.Locale;

/**
 * Another writer puts entries of the largest size that cannot be read below the prefix of the servers. Then one of two
 * gateways is killed and started again. Later the store drops its history, and in the calm after that the operator
 * replaces the only route by another one.
 */
final class ForeignBytesCase {

    private static final int ENTRIES = Integer.getInteger("entries", 64);
    private static final long ENTRY_GAP_MILLIS = 100;
    private static final long SETTLE_MILLIS = 3_000;
    private static final long START_MILLIS = 35_000;
    private static final int LIMIT_MILLIS = 3_000;
    private static final int CALLS = 20;
    private static final int READY = 200;
    private static final int NOT_FOUND = 404;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long CONFIG_APPLY_MILLIS = 2_000;
    private static final int PAIRS = 10;
    private static final long PAIR_GAP_MILLIS = 1_000;

    private ForeignBytesCase() {}

    public static void main(String[] arguments) {
        Lab.main(arguments, ForeignBytesCase::run);
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
        PagedStore store = new PagedStore(lab.store);
        Lab.GatewayProcess first = lab.startGateway("front-a-1", "a", store.address());
        Lab.GatewayProcess second = lab.startGateway("front-a-2", "a", store.address());
        lab.awaitReady(first);
        lab.awaitReady(second);
        int servedBefore = served(lab, second, "before");
        for (int i = 0; lab.trouble && i < ENTRIES; i++) {
            lab.store.put(String.format(Locale.ROOT, "%s%03d", PagedStore.FOREIGN_PREFIX, i), "x");
            Thread.sleep(ENTRY_GAP_MILLIS);
        }
        lab.record("trouble", (lab.trouble ? ENTRIES : 0) + " entries of another writer");
        Thread.sleep(SETTLE_MILLIS);
        int servedBeside = served(lab, second, "beside");
        second.process.destroyForcibly().waitFor();
        lab.record("kill", "front-a-2 is killed and started again");
        Lab.GatewayProcess restarted = lab.startGateway("front-a-2", "a", store.address());
        long startedAt = System.nanoTime();
        int readiness = 0;
        while (readiness != READY && System.nanoTime() - startedAt < START_MILLIS * 1_000_000) {
            Thread.sleep(250);
            readiness = Caller.readinessStatus(restarted.readinessPort);
        }
        double waitedSeconds = (System.nanoTime() - startedAt) / 1e9;
        int servedAfter = served(lab, restarted, "after");
        int servedByFirst = served(lab, first, "first");
        int lateRequests = changeRoute(lab, first);
        String text = String.format(
                Locale.ROOT,
                "of %d requests served: before %d, beside the entries %d, after the restart %d, at the other gateway %d%n"
                        + "of %d pairs of requests after a change, handled as the older version: %d%n"
                        + "ready address after %.1f s: %d; process runs: %s; longest answer of the store: %d ms",
                CALLS, servedBefore, servedBeside, servedAfter, servedByFirst, PAIRS, lateRequests, waitedSeconds, readiness,
                restarted.process.isAlive(), store.longestMillis());
        lab.record("sum", text);
        System.out.println(text);
        store.close();
        if (servedBefore < CALLS || servedBeside < CALLS) {
            return Lab.EXIT_NOT_RUN;
        }
        boolean started = readiness == READY && servedAfter > 0;
        return started && lateRequests == 0 ? Lab.EXIT_HELD : Lab.EXIT_BROKEN;
    }

    /**
     * Lets the store drop its history, and replaces the route once the store has been calm for longer than
     * {@code contact_ms}; returns how many pairs of requests, sent later than {@code config_apply_ms} after the
     * confirmation, are handled as only the older version allows.
     */
    private static int changeRoute(Lab lab, Lab.GatewayProcess gateway) throws InterruptedException {
        lab.store.dropHistory();
        lab.record("compact", "the store drops its history");
        Thread.sleep(CONTACT_MILLIS + 1_000);
        String newer = CrowdCase.config().replace("\"version\":1", "\"version\":2").replace("/read/", "/newer/");
        lab.store.put("op/config", newer);
        lab.record("change", "version 2 has the route /newer/ in place of /read/");
        Thread.sleep(CONFIG_APPLY_MILLIS + 500);
        int late = 0;
        for (int i = 0; i < PAIRS; i++) {
            int old = status(lab, gateway, "/read/1", "old-" + i);
            int added = status(lab, gateway, "/newer/1", "newer-" + i);
            late += old == READY || added == NOT_FOUND ? 1 : 0;
            Thread.sleep(PAIR_GAP_MILLIS);
        }
        return late;
    }

    private static int served(Lab lab, Lab.GatewayProcess gateway, String phase) {
        int served = 0;
        for (int i = 0; i < CALLS; i++) {
            int status = status(lab, gateway, "/read/1", phase + "-" + i);
            served += status == READY ? 1 : 0;
        }
        return served;
    }

    private static int status(Lab lab, Lab.GatewayProcess gateway, String path, String id) {
        int status = Caller.CLOSED;
        try (Caller caller = new Caller(gateway.callerPort)) {
            caller.send(Caller.head("GET", path, id, LIMIT_MILLIS, 0, ""));
            lab.record("sent", id + " " + path);
            status = caller.read(System.nanoTime() + LIMIT_MILLIS * 1_000_000L).status();
        } catch (IOException e) {
            lab.record("failed", id + " " + e);
        }
        lab.record("answered", id + " " + status);
        return status;
    }
}
