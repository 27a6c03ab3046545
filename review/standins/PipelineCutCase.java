package org.jackdawslip.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Faulty upstreams break off some of their large answers. Clients send further idempotent requests before the first has
 * been answered; sound upstreams run them.
 */
final class PipelineCutCase {

    private static final int UPSTREAMS = 5;
    /** Two of five are a share of 0.4. */
    private static final int FAULTY = 2;
    /** A faulty upstream breaks off one answer in 50, a share of 0.02. */
    private static final int BREAKS_ONE_IN = 50;

    private static final int ANSWER_BYTES = 60_000;
    private static final int CLIENTS = 8;
    private static final int PIPELINED = 3;
    private static final long TRAFFIC_MILLIS = 15_000;
    /** Requests that may be lost; the rule counts more than three. */
    private static final int MAX_LOST = 3;

    private final Trial trial;
    /** Whether a sound upstream ran the request, by request id. */
    private final Map<String, Boolean> ranSound = new ConcurrentHashMap<>();

    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger brokenOff = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();

    private PipelineCutCase(Trial trial) {
        this.trial = trial;
    }

    public static void main(String[] arguments) {
        Trial.run(arguments, trial -> new PipelineCutCase(trial).run());
    }

    private int run() throws Exception {
        trial.writeManifest();
        Object lock = new Object();
        for (int i = 1; i <= UPSTREAMS; i++) {
            start("s-" + i, i <= FAULTY, lock);
        }
        Trial.GatewayProcess gateway = trial.startGateway("front-1", "a");
        Thread[] clients = new Thread[CLIENTS];
        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            clients[c] = new Thread(() -> sendRequests(gateway, client));
            clients[c].start();
        }
        for (Thread client : clients) {
            client.join();
        }
        trial.report(answered + " answers; " + brokenOff + " broken off by faulty upstreams; " + lost
                + " requests that a sound upstream ran got none, because the connection was closed");
        if (answered.get() == 0) {
            throw new IllegalStateException("no request was answered");
        }
        return lost.get() > MAX_LOST ? Trial.BROKEN : Trial.HELD;
    }

    private void start(String upstreamId, boolean faulty, Object lock) throws IOException {
        AtomicInteger runs = new AtomicInteger();
        new Upstream(trial, upstreamId, "pool", lock, (life, from, target, fence) -> {}) {
            @Override
            void answerRun(Life of, Connection connection, Message message, String echo) throws IOException {
                ranSound.put(message.id(), !faulty);
                byte[] body = new byte[ANSWER_BYTES];
                if (faulty && trial.trouble && runs.incrementAndGet() % BREAKS_ONE_IN == 0) {
                    brokenOff.incrementAndGet();
                    trial.record("the answer to " + message.id() + " is broken off by " + of.name);
                    connection.write(("HTTP/1.1 200 OK\r\n" + signedHeaders(of, echo) + "Content-Length: " + body.length
                                    + "\r\n\r\n" + "x".repeat(ANSWER_BYTES * 4 / 5))
                            .getBytes(StandardCharsets.ISO_8859_1));
                    connection.socket.close();
                    return;
                }
                connection.answer(200, signedHeaders(of, echo), body);
            }
        }.start(false);
    }

    private void sendRequests(Trial.GatewayProcess gateway, int client) {
        long end = trial.millis() + TRAFFIC_MILLIS;
        for (int i = 0; trial.millis() < end; ) {
            Deque<String> open = new ArrayDeque<>();
            try (Caller caller = new Caller(gateway.callerPort)) {
                while (trial.millis() < end) {
                    for (int k = 0; k < PIPELINED; k++) {
                        String id = "c" + client + "-" + i++;
                        open.addLast(id);
                        caller.send("GET", "/x/60", id, 3_000, "");
                    }
                    while (!open.isEmpty()) {
                        caller.read();
                        open.removeFirst();
                        answered.incrementAndGet();
                    }
                }
            } catch (IOException e) {
                open.pollFirst();
                for (String id : open) {
                    if (ranSound.getOrDefault(id, false)) {
                        lost.incrementAndGet();
                        trial.record("REQUEST " + id + " has run and got no answer: " + e.getMessage());
                    }
                }
            }
        }
    }
}
