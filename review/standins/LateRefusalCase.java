package org.jackdawslip.platform;

import java.io.IOException;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/**
 * Upstreams with keys are replaced one after the other, and faulty ones send a second copy of some of their answers 421
 * late, on a connection that may be in use again. The requests for keys may run once.
 */
final class LateRefusalCase {

    private static final int UPSTREAMS = 10;
    /** Six of ten are a share of 0.6. */
    private static final int FAULTY = 6;
    /** Part of the answers of the faulty upstreams, in one disruption, that have a second copy. */
    private static final double MAX_COPIES = 0.03;

    /** Each disruption takes 5 s and begins before an upstream drains. */
    private static final long DISRUPTION_BEFORE_MILLIS = 4_000;

    private static final long DISRUPTION_AFTER_MILLIS = 1_000;
    private static final long DRAIN_MILLIS = 3_000;
    private static final long COPY_DELAY_MILLIS = 90;
    /** Four of ten are a share of 0.4. */
    private static final int REPLACED = 4;

    private static final long WORK_MILLIS = 60;
    private static final int CLIENTS = 16;
    /** Part of the requests that are about the keys of one upstream. */
    private static final int BUSY_PERCENT = 60;

    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private final Trial trial;
    private final KeyCheck check;
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, Integer> statuses = new ConcurrentHashMap<>();
    private final AtomicInteger turnedAway = new AtomicInteger();
    private final AtomicInteger allCopies = new AtomicInteger();
    private final AtomicInteger copies = new AtomicInteger();
    private volatile int answersBefore;
    private volatile boolean disrupted;
    private volatile boolean ended;
    /** Keys that one upstream held when they became busy. */
    private volatile int[] busyKeys;

    private LateRefusalCase(Trial trial) {
        this.trial = trial;
        this.check = new KeyCheck(trial);
    }

    public static void main(String[] arguments) {
        Trial.run(arguments, trial -> new LateRefusalCase(trial).run());
    }

    /** An upstream that counts runs and, if it is faulty, copies refusals. */
    private final class OrderUpstream extends Upstream {
        private final boolean faulty;

        OrderUpstream(int number, boolean faulty) {
            super(LateRefusalCase.this.trial, "s-" + number, "keyed", check.keys, check::onGrant);
            this.faulty = faulty;
        }

        @Override
        void beforeRun(Message message) {
            runs.computeIfAbsent(message.id(), id -> new AtomicInteger()).incrementAndGet();
        }

        @Override
        void answerNotHeld(Life of, Connection connection, Message message, String echo) throws IOException {
            super.answerNotHeld(of, connection, message, echo);
            turnedAway.incrementAndGet();
            if (faulty && disrupted && trial.trouble && mayCopy()) {
                byte[] answer = connection.lastAnswer;
                Thread thread = new Thread(() -> copy(connection, answer, message.id()));
                thread.setDaemon(true);
                thread.start();
            }
        }

        private void copy(Connection connection, byte[] answer, String requestId) {
            try {
                Thread.sleep(COPY_DELAY_MILLIS);
                connection.write(answer);
                allCopies.incrementAndGet();
                trial.record("a second copy of the 421 to " + requestId + " is sent by " + id);
            } catch (IOException | InterruptedException e) {
                trial.record("the second copy of the 421 to " + requestId + " is not sent: the connection has ended");
            }
        }
    }

    private int run() throws Exception {
        trial.writeManifest();
        for (int i = 1; i <= UPSTREAMS; i++) {
            start(new OrderUpstream(i, i <= FAULTY), false);
        }
        trial.startGateway("front-1", "a");
        trial.startGateway("front-2", "b");
        trial.startGateway("front-3", "b");
        check.awaitAllHeld();
        Thread.sleep(2_000);
        setBusy(check.upstreams.get(UPSTREAMS - 1));
        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            Thread thread = new Thread(() -> sendOrders(client));
            thread.setDaemon(true);
            thread.start();
        }
        Thread.sleep(5_000);
        for (int i = 0; i < REPLACED; i++) {
            start(new OrderUpstream(UPSTREAMS + 1 + i, false), true);
            empty(check.upstreams.get(UPSTREAMS - 1 - i), check.upstreams.get(UPSTREAMS - 2 - i));
        }
        // Two more, a share of 0.2, are taken away.
        empty(check.upstreams.get(UPSTREAMS - 1 - REPLACED), check.upstreams.get(UPSTREAMS));
        empty(check.upstreams.get(UPSTREAMS), check.upstreams.get(UPSTREAMS + 1));
        Thread.sleep(2_000);
        ended = true;
        Thread.sleep(1_000);
        return result();
    }

    private void startDisruption() {
        answersBefore = countFaultyAnswers();
        copies.set(0);
        disrupted = true;
    }

    private int countFaultyAnswers() {
        return check.upstreams.stream()
                .limit(FAULTY)
                .mapToInt(upstream -> upstream.answers.get())
                .sum();
    }

    private synchronized boolean mayCopy() {
        if (copies.get() + 1 > MAX_COPIES * (countFaultyAnswers() - answersBefore)) {
            return false;
        }
        copies.incrementAndGet();
        return true;
    }

    private void start(Upstream upstream, boolean cold) throws IOException {
        check.upstreams.add(upstream);
        upstream.start(cold);
    }

    /** The busy upstream drains and leaves while faulty ones copy answers; the keys of another become busy. */
    private void empty(Upstream old, Upstream nextBusy) throws Exception {
        startDisruption();
        Thread.sleep(DISRUPTION_BEFORE_MILLIS);
        trial.report(old.id + " reports that it is draining");
        old.state = "draining";
        old.writePing();
        Thread.sleep(DISRUPTION_AFTER_MILLIS);
        disrupted = false;
        setBusy(nextBusy);
        Thread.sleep(DRAIN_MILLIS - DISRUPTION_AFTER_MILLIS);
        trial.report(old.id + " has left");
        old.end();
        old.crash();
        trial.store.delete("servers/" + old.id);
    }

    private int result() {
        int answers = check.upstreams.stream()
                .mapToInt(upstream -> upstream.answers.get())
                .sum();
        trial.report("requests turned away with 421: " + turnedAway + "; second copies: " + allCopies + " of " + answers
                + " answers of all upstreams");
        int twice = 0;
        int refused = 0;
        for (Map.Entry<String, AtomicInteger> run : runs.entrySet()) {
            if (run.getValue().get() > 1) {
                twice++;
                trial.report("ORDER " + run.getKey() + " has run " + run.getValue() + " times");
            }
            int status = statuses.getOrDefault(run.getKey(), 0);
            if (PROMISES.contains(status)) {
                refused++;
                trial.report("ORDER " + run.getKey() + " was answered " + status + " and has run");
            }
        }
        long served = statuses.values().stream().filter(status -> status == 200).count();
        trial.report("orders with success " + served + " of " + statuses.size() + "; run twice " + twice
                + "; refused and run " + refused);
        if (served == 0) {
            throw new IllegalStateException("no order was served");
        }
        return refused + twice > 0 ? Trial.BROKEN : Trial.HELD;
    }

    private void setBusy(Upstream upstream) {
        synchronized (check.keys) {
            long now = System.nanoTime();
            busyKeys = IntStream.range(0, Upstream.KEYS)
                    .filter(key -> upstream.life.heldUntil[key] > now)
                    .toArray();
        }
    }

    private int nextKey(Random random) {
        int[] keys = busyKeys;
        boolean isBusy = keys.length > 0 && random.nextInt(100) < BUSY_PERCENT;
        return isBusy ? keys[random.nextInt(keys.length)] : random.nextInt(Upstream.KEYS);
    }

    private void sendOrders(int client) {
        Random random = new Random(client);
        for (int i = 0; !ended; i++) {
            String id = "c" + client + "-" + i;
            int key = nextKey(random);
            try (Caller caller = new Caller(trial.gateways.get(i % trial.gateways.size()).callerPort)) {
                caller.send("POST", "/o/" + WORK_MILLIS, id, 3_000, "Shard-Key: " + key + "\r\n", new byte[100]);
                int status = caller.read().status;
                statuses.put(id, status);
                trial.record("order " + id + " key " + key + ": " + status);
            } catch (IOException e) {
                trial.record("order " + id + " key " + key + ": " + e.getMessage());
            }
        }
    }
}
