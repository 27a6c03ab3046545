package org.jackdawslip.internal.logging;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes lines to a stream on a thread of its own.
 *
 * <p>Invariant: adding a line never waits. If the reader of the stream is slow and the queue is full, lines are dropped
 * and counted. Thread-safe.
 */
public final class BoundedLines implements AutoCloseable {

    /** Lines that wait at most; about 300 bytes each. */
    private static final int CAPACITY = 2_000;

    private static final long CLOSE_WAIT_MILLIS = 300;

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
    private final PrintStream out;
    private final Thread thread;
    private volatile boolean closing;

    /** Starts the thread. */
    public BoundedLines(PrintStream out) {
        this.out = out;
        this.thread = new Thread(this::write, "log-writer");
        thread.setDaemon(true);
        thread.start();
    }

    /** Adds a line, or drops it if too many wait. */
    public void add(String line) {
        if (!queue.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    /** Returns how many lines were dropped. */
    public long dropped() {
        return dropped.get();
    }

    private void write() {
        try {
            while (!closing || !queue.isEmpty()) {
                String line = queue.poll(closing ? 1 : 10_000, TimeUnit.MILLISECONDS);
                if (line != null && !line.isEmpty()) {
                    out.println(line);
                }
            }
            out.flush();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes the lines that wait, for a short time at most. */
    @Override
    public void close() {
        closing = true;
        // An empty line wakes the thread.
        queue.offer("");
        try {
            thread.join(CLOSE_WAIT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
