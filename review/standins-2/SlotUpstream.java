package org.jackdawslip.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound upstream with work slots and a queue. Its open connections can go silent for good, as on a network that
 * drops their packets; new ones work. Thread-safe.
 */
final class SlotUpstream implements AutoCloseable {

    private static final int SLOTS = 3;
    private static final int QUEUE = 12;

    final BackendStandin standin;
    final AtomicInteger runs = new AtomicInteger();
    private final Lab lab;
    private final int workMillis;
    private final Semaphore slots = new Semaphore(SLOTS, true);
    private final AtomicInteger present = new AtomicInteger();
    private final Set<Socket> silent = ConcurrentHashMap.newKeySet();
    private final Set<Socket> seen = ConcurrentHashMap.newKeySet();

    SlotUpstream(Lab lab, String id, int workMillis) throws IOException {
        this.lab = lab;
        this.workMillis = workMillis;
        standin = new BackendStandin(id);
        standin.setRequestHandler(this::handle);
        standin.setStateProbeHandler(this::reportState);
    }

    /** The connections that are open now carry nothing any more, and nobody is told. */
    void silenceOpenConnections() {
        silent.addAll(seen);
    }

    private String load() {
        int running = SLOTS - slots.availablePermits();
        return "Server-Load: " + running + "," + Math.max(0, present.get() - running) + "," + SLOTS + ",100\r\n";
    }

    private boolean reportState(BackendStandin.ReceivedRequest request, OutputStream out, Socket socket)
            throws IOException, InterruptedException {
        seen.add(socket);
        awaitNothingIfSilent(socket);
        BackendStandin.writeResponse(out, 200, "Instance-Id: " + standin.id + "\r\n" + load(), "");
        return true;
    }

    private boolean handle(BackendStandin.ReceivedRequest request, OutputStream out, Socket socket)
            throws IOException, InterruptedException {
        seen.add(socket);
        awaitNothingIfSilent(socket);
        String id = request.headers().get("request-id");
        String echo = "Request-Id: " + id + "\r\n";
        long limitMillis = Long.parseLong(request.headers().getOrDefault("deadline-ms", "1500"));
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
        if (present.incrementAndGet() > SLOTS + QUEUE) {
            present.decrementAndGet();
            BackendStandin.writeResponse(out, 503, "Not-Executed: 1\r\n" + echo + load(), "");
            return true;
        }
        try {
            if (!slots.tryAcquire(limitMillis, TimeUnit.MILLISECONDS)) {
                awaitNothingIfSilent(socket);
                BackendStandin.writeResponse(out, 503, "Not-Executed: 1\r\n" + echo + load(), "");
                return true;
            }
            runs.incrementAndGet();
            try {
                int work = workMillis / 2 + ThreadLocalRandom.current().nextInt(workMillis);
                Thread.sleep(Math.min(work, Math.max(0, (end - System.nanoTime()) / 1_000_000)));
            } finally {
                slots.release();
            }
        } finally {
            present.decrementAndGet();
        }
        lab.record("ran", id + " at " + standin.id);
        awaitNothingIfSilent(socket);
        BackendStandin.writeResponse(out, 200, echo + "Response-Signature: s." + id + "\r\n" + load(), "ran " + id);
        return true;
    }

    private void awaitNothingIfSilent(Socket socket) throws InterruptedException {
        while (silent.contains(socket)) {
            Thread.sleep(1_000);
        }
    }

    @Override
    public void close() throws IOException {
        standin.close();
    }
}
