package org.jackdawslip.platform;

import java.io.IOException;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** An upstream runs requests that may run once, and fails part of them with 429 while its health probe is good. */
final class GreyCase {

    /** One of eight is a share of 0.125. */
    private static final int UPSTREAMS = 8;
    /** The faulty upstream fails every third request. */
    private static final int FAILS_ONE_IN = 3;

    private static final int CLIENTS = 4;
    private static final long TRAFFIC_MILLIS = 10_000;
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private GreyCase() {}

    public static void main(String[] arguments) {
        Trial.run(arguments, GreyCase::run);
    }

    private static int run(Trial trial) throws Exception {
        trial.writeManifest();
        Object lock = new Object();
        Set<String> ran = ConcurrentHashMap.newKeySet();
        Map<String, Integer> promised = new ConcurrentHashMap<>();
        AtomicInteger runs = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        for (int i = 1; i <= UPSTREAMS; i++) {
            boolean faulty = i == 2;
            new Upstream(trial, "s-" + i, "pool", lock, (life, from, target, fence) -> {}) {
                @Override
                void answerRun(Life of, Connection connection, Message message, String echo) throws IOException {
                    ran.add(message.id());
                    if (faulty && trial.trouble && runs.incrementAndGet() % FAILS_ONE_IN == 0) {
                        trial.record("run " + message.id() + " is answered 429 by " + of.name
                                + ", with Response-Signature and without Not-Executed");
                        connection.answer(429, signedHeaders(of, echo), new byte[0]);
                    } else {
                        super.answerRun(of, connection, message, echo);
                    }
                }
            }.start(false);
        }
        Trial.GatewayProcess gateway = trial.startGateway("front-1", "a");
        long end = trial.millis() + TRAFFIC_MILLIS;
        Thread[] clients = new Thread[CLIENTS];
        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            clients[c] = new Thread(() -> {
                for (int i = 0; trial.millis() < end; i++) {
                    String id = "c" + client + "-" + i;
                    try (Caller caller = new Caller(gateway.callerPort)) {
                        caller.send("POST", "/y/40", id, 3_000, "", new byte[100]);
                        int status = caller.read().status;
                        trial.record("request " + id + " is answered " + status);
                        answered.addAndGet(status == 200 ? 1 : 0);
                        if (PROMISES.contains(status)) {
                            promised.put(id, status);
                        }
                    } catch (IOException e) {
                        trial.record("request " + id + ": " + e.getMessage());
                    }
                }
            });
            clients[c].start();
        }
        for (Thread client : clients) {
            client.join();
        }
        Thread.sleep(1_000);
        promised.keySet().retainAll(ran);
        promised.forEach((id, status) -> trial.record("REQUEST " + id + " was answered " + status + " and has run"));
        trial.report(answered + " requests with success; " + promised.size()
                + " requests that may run once were answered 408, 421, 429 or 503 and have run");
        if (answered.get() == 0) {
            throw new IllegalStateException("no request was served");
        }
        return promised.isEmpty() ? Trial.HELD : Trial.BROKEN;
    }
}
