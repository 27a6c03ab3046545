package org.jackdawslip.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The upstreams of a service with keys, and the check of the rule OWNER: no two of them hold the same keys for over half
 * a second, and none is given a key on which another is still at work before the hold of that one would have run out.
 * Thread-safe.
 */
final class KeyCheck {

    private static final long MAX_COMMON_MILLIS = 500;
    private static final long START_MILLIS = 20_000;

    /** Keys that were granted to one life while another held them or was at work on them. */
    private static final class Overlap {
        final Upstream.Life holder;
        final Upstream.Life granted;
        final int first;
        final int last;
        final long sinceNanos = System.nanoTime();
        boolean counted;

        Overlap(Upstream.Life holder, Upstream.Life granted, int first, int last) {
            this.holder = holder;
            this.granted = granted;
            this.first = first;
            this.last = last;
        }
    }

    /** Lock of the keys of all upstreams. */
    final Object keys = new Object();

    final List<Upstream> upstreams = new ArrayList<>();
    /** Latest end of the hold of each life, kept through a release; guarded by the lock. */
    private final Map<Upstream.Life, long[]> holdEnds = new HashMap<>();

    private final List<Overlap> overlaps = new ArrayList<>();
    private final Trial trial;
    private final Random random = new Random(33);
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger notAnswered = new AtomicInteger();
    private volatile boolean ended;
    private int commonHolds;
    private int grantsDuringWork;

    KeyCheck(Trial trial) {
        this.trial = trial;
    }

    /** Checks a grant that was just accepted; called under the lock. */
    void onGrant(Upstream.Life granted, int from, int target, long fence) {
        long now = System.nanoTime();
        long[] ends = holdEnds.computeIfAbsent(granted, life -> new long[Upstream.KEYS]);
        for (int key = from; key <= target; key++) {
            ends[key] = granted.heldUntil[key];
        }
        for (Upstream other : upstreams) {
            Upstream.Life holder = other.life;
            if (holder == granted || holder == null || !holder.up) {
                continue;
            }
            for (int[] range : Upstream.heldByBoth(holder, granted, from, target)) {
                trial.record("KEYS " + range[0] + "-" + range[1] + " are held by " + holder.name + " for another "
                        + (holder.heldUntil[range[0]] - now) / 1_000_000 + " ms and now by " + granted.name);
                if (!isKnown(holder, granted, range[0], range[1])) {
                    overlaps.add(new Overlap(holder, granted, range[0], range[1]));
                }
            }
            long[] holderEnds = holdEnds.get(holder);
            for (int key = from; key <= target && holderEnds != null; key++) {
                if (holder.running[key] > 0 && holderEnds[key] > now) {
                    grantsDuringWork++;
                    trial.report("KEY " + key + " is given to " + granted.name + " with fence " + fence + " while "
                            + holder.name + " is at work on it, " + (holderEnds[key] - now) / 1_000_000
                            + " ms before its hold would have run out");
                }
            }
        }
    }

    private boolean isKnown(Upstream.Life one, Upstream.Life other, int first, int last) {
        return overlaps.stream()
                .anyMatch(overlap -> (overlap.holder == one && overlap.granted == other
                                || overlap.holder == other && overlap.granted == one)
                        && overlap.first <= first
                        && overlap.last >= last);
    }

    /** Counts the overlaps that last for too long; called at short intervals. */
    private void countOverlaps() {
        synchronized (keys) {
            long now = System.nanoTime();
            overlaps.removeIf(overlap -> !overlap.holder.up
                    || !overlap.granted.up
                    || Upstream.heldByBoth(overlap.holder, overlap.granted, overlap.first, overlap.last)
                            .isEmpty());
            for (Overlap overlap : overlaps) {
                if (!overlap.counted && now - overlap.sinceNanos > MAX_COMMON_MILLIS * 1_000_000) {
                    overlap.counted = true;
                    commonHolds++;
                    trial.report("KEYS " + overlap.first + "-" + overlap.last + " have been held by "
                            + overlap.holder.name + " and by " + overlap.granted.name + " for over half a second");
                }
            }
        }
    }

    /** Starts the periodic check. */
    void start() {
        Thread thread = new Thread(() -> {
            while (!ended) {
                countOverlaps();
                try {
                    Thread.sleep(20);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Waits until each key has a holder. */
    void awaitAllHeld() throws InterruptedException {
        long deadline = trial.millis() + START_MILLIS;
        while (!allHeld()) {
            if (trial.millis() > deadline) {
                throw new IllegalStateException("not all keys have a holder");
            }
            Thread.sleep(50);
        }
        trial.record("all keys have a holder");
    }

    private boolean allHeld() {
        synchronized (keys) {
            long now = System.nanoTime();
            for (int key = 0; key < Upstream.KEYS; key++) {
                boolean held = false;
                for (Upstream upstream : upstreams) {
                    held |= upstream.life.up && upstream.life.heldUntil[key] > now;
                }
                if (!held) {
                    return false;
                }
            }
            return true;
        }
    }

    /** Sends requests for random keys, one after the other on new connections, until the end. */
    void startTraffic(List<Trial.GatewayProcess> gateways, int clients, long workMillis, long pauseMillis) {
        for (int i = 0; i < clients; i++) {
            int client = i;
            Thread thread = new Thread(() -> sendRequests(gateways, client, workMillis, pauseMillis));
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void sendRequests(List<Trial.GatewayProcess> gateways, int client, long workMillis, long pauseMillis) {
        for (int i = 0; !ended; i++) {
            int key;
            synchronized (random) {
                key = random.nextInt(Upstream.KEYS);
            }
            request(gateways.get((client + i) % gateways.size()), "c" + client + "-" + i, key, workMillis);
            try {
                Thread.sleep(pauseMillis);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Sends one request and records its answer. */
    void request(Trial.GatewayProcess gateway, String id, int key, long workMillis) {
        try (Caller caller = new Caller(gateway.callerPort)) {
            caller.send("GET", "/k/" + workMillis, id, 3_000, "Shard-Key: " + key + "\r\n");
            int status = caller.read().status;
            (status == 200 ? answered : notAnswered).incrementAndGet();
            trial.record("request " + id + " key " + key + " by " + gateway.name + ": " + status);
        } catch (IOException e) {
            notAnswered.incrementAndGet();
            trial.record("request " + id + " key " + key + " by " + gateway.name + ": " + e.getMessage());
        }
    }

    /** Returns whether the rule was broken so far. */
    boolean isBroken() {
        synchronized (keys) {
            return commonHolds + grantsDuringWork > 0;
        }
    }

    /** Ends the check and returns its result. */
    int result() {
        ended = true;
        trial.report("requests with success " + answered + ", without " + notAnswered + "; common holds of over half a"
                + " second " + commonHolds + "; keys given while another was at work " + grantsDuringWork);
        if (answered.get() == 0) {
            throw new IllegalStateException("no request was served");
        }
        return isBroken() ? Trial.BROKEN : Trial.HELD;
    }
}
