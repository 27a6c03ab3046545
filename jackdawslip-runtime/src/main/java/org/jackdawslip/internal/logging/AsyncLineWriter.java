package org.jackdawslip.internal.logging;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes lines to a stream on a dedicated thread, through a bounded queue.
 *
 * <p>Invariant: {@link #add} never blocks. If the stream is written too slowly and the queue is full, lines
 * are dropped and counted. Thread-safe.
 */
public final class AsyncLineWriter implements AutoCloseable {

    /** About 600 KB, at about 300 bytes a line. */
    private static final int MAX_QUEUED_LINES = 2_000;

    private static final long CLOSE_TIMEOUT_MILLIS = 300;

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final PrintStream out;
    private final Thread thread;
    private volatile boolean closing;

    /** Starts the thread that writes to the stream. */
    public AsyncLineWriter(PrintStream out) {
        this.out = out;
        this.thread = new Thread(this::writeQueuedLines, "log-writer");
        thread.setDaemon(true);
        thread.start();
    }

    /** Queues a line, or drops the line if the queue is full. */
    public void add(String line) {
        if (!queue.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    /** Returns the number of dropped lines. */
    public long dropped() {
        return dropped.get();
    }

    private void writeQueuedLines() {
        try {
            while (!closing || !queue.isEmpty()) {
                writeNextLine();
            }
            out.flush();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeNextLine() throws InterruptedException {
        String line = queue.poll(closing ? 1 : 10_000, TimeUnit.MILLISECONDS);
        try {
            if (line != null && !line.isEmpty()) {
                out.println(line);
            }
        } catch (RuntimeException | Error e) {
            // Without this thread nothing would be logged any more. An exhausted heap may be free again for the next
            // line.
            dropped.incrementAndGet();
        }
    }

    /** Writes the queued lines, for at most 300 ms, and stops the thread. */
    @Override
    public void close() {
        closing = true;
        // An empty line ends the wait of the thread and is not written.
        queue.offer("");
        try {
            thread.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
