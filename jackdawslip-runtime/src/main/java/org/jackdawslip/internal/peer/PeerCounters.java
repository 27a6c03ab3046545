package org.jackdawslip.internal.peer;

import java.util.concurrent.atomic.LongAdder;

/** Counts events of a {@link PeerTransport}. Thread-safe. */
public final class PeerCounters {

    final LongAdder framesSent = new LongAdder();
    final LongAdder framesReceived = new LongAdder();
    final LongAdder framesRejected = new LongAdder();
    final LongAdder queueFull = new LongAdder();
    final LongAdder connectsFailed = new LongAdder();
    final LongAdder unmatchedReplies = new LongAdder();

    PeerCounters() {}

    /** Returns the number of frames written to connections. */
    public long framesSent() {
        return framesSent.sum();
    }

    /** Returns the number of frames received completely. */
    public long framesReceived() {
        return framesReceived.sum();
    }

    /**
     * Returns the number of connections closed because of a wrong preamble or an oversized or invalid frame.
     */
    public long framesRejected() {
        return framesRejected.sum();
    }

    /** Returns the number of envelopes not sent because the outgoing queue of their connection was full. */
    public long queueFull() {
        return queueFull.sum();
    }

    /** Returns the number of failed attempts to connect. */
    public long connectsFailed() {
        return connectsFailed.sum();
    }

    /** Returns the number of replies that arrived after their timeout or belong to no request. */
    public long unmatchedReplies() {
        return unmatchedReplies.sum();
    }
}
