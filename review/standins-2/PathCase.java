package org.jackdawslip.platform;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that the operators do not control write letters beyond ASCII into their paths as they are, in UTF-8 and in
 * ISO 8859-1. Without the disruption they encode them with percent signs.
 */
final class PathCase {

    private static final int REQUESTS = 20;
    private static final int LIMIT_MILLIS = 1_500;
    /** The letter e with an acute accent: its two bytes in UTF-8 and its byte in ISO 8859-1, each byte as a char. */
    private static final String[] RAW_LETTERS = {"\u00c3\u00a9", "\u00e9"};

    private static final String[] ENCODED_LETTERS = {"%C3%A9", "%E9"};

    private PathCase() {}

    public static void main(String[] arguments) {
        Lab.main(arguments, PathCase::run);
    }

    private static String config() {
        return CrowdCase.config().replace("\"idempotent\"", "\"non_idempotent\"").replace("/read/", "/order/");
    }

    private static int run(Lab lab) throws Exception {
        Map<String, String> sent = new ConcurrentHashMap<>();
        AtomicInteger unchanged = new AtomicInteger();
        AtomicInteger changed = new AtomicInteger();
        BackendStandin upstream = new BackendStandin("i-0");
        upstream.setRequestHandler((request, out, socket) -> {
            String id = request.headers().get("request-id");
            String path = request.line().split(" ")[1];
            boolean same = path.equals(sent.get(id));
            (same ? unchanged : changed).incrementAndGet();
            lab.record("ran", id + " " + visible(path) + (same ? "" : ", which nobody sent"));
            return BackendStandin.respondOk(request, out, socket);
        });
        lab.store.put(
                "servers/i-0",
                TestDeployment.listingJson(
                        upstream.address(), "ledger", "a", System.currentTimeMillis(), "ready", 0, 4));
        lab.store.put("op/config", config());
        Lab.GatewayProcess gateway = lab.startGateway("front-a-1", "a", lab.store.address());
        lab.awaitReady(gateway);
        String[] letters = lab.trouble ? RAW_LETTERS : ENCODED_LETTERS;
        int answered = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = "y" + i;
            String path = "/order/caf" + letters[i % letters.length] + "?n=" + i;
            sent.put(id, path);
            lab.record("sent", id + " " + visible(path));
            try (Caller caller = new Caller(gateway.callerPort)) {
                caller.send(Caller.head("POST", path, id, LIMIT_MILLIS, 0, ""));
                int status = caller.read(System.nanoTime() + LIMIT_MILLIS * 1_000_000L).status();
                lab.record("answered", id + " " + status);
                answered += status > 0 ? 1 : 0;
            } catch (IOException e) {
                lab.record("failed", id + " " + e);
            }
        }
        String text = REQUESTS + " sent, " + answered + " answered, " + unchanged + " ran as sent, " + changed
                + " ran with another path";
        lab.record("sum", text);
        System.out.println(text);
        if (answered == 0) {
            return Lab.EXIT_NOT_RUN;
        }
        return changed.get() > 0 ? Lab.EXIT_BROKEN : Lab.EXIT_HELD;
    }

    private static String visible(String path) {
        StringBuilder text = new StringBuilder();
        path.chars().forEach(c -> text.append(c > 126 ? String.format("<%02x>", c) : String.valueOf((char) c)));
        return text.toString();
    }
}
