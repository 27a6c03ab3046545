package org.jackdawslip.internal.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.Future;
import org.jackdawslip.Outcome;
import org.jackdawslip.protocol.Envelope;

/**
 * The outgoing connection to one peer, with the requests that have no reply yet.
 *
 * <p>All state is confined to one event loop; the package-private methods may be called from any thread.
 * Invariants: each request completes exactly once, and envelopes are queued only while the connection is
 * being established.
 */
final class PeerConnection {

    private static final long INITIAL_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 2_000;
    // Large enough for the heartbeats and relays within one connect timeout.
    private static final int MAX_QUEUED_ENVELOPES = 1_024;

    private final InetSocketAddress peer;
    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final PeerCounters counters;

    private final Map<Long, PendingEnvelope> awaitingReply = new HashMap<>();
    private final Queue<PendingEnvelope> queued = new ArrayDeque<>();
    private Channel channel;
    private boolean connecting;
    private boolean closed;
    private long backoffMillis;
    private long nextConnectNanos;

    PeerConnection(InetSocketAddress peer, Bootstrap bootstrap, EventLoop loop, PeerCounters counters) {
        this.peer = peer;
        this.loop = loop;
        this.counters = counters;
        this.bootstrap = bootstrap.group(loop).handler(new ChannelInitializer<SocketChannel>() {
            @Override
            protected void initChannel(SocketChannel socket) {
                PeerPipeline.install(socket, counters, PeerConnection.this::completeRequest);
            }
        });
    }

    CompletableFuture<Void> send(Envelope envelope) {
        PendingEnvelope pending = new PendingEnvelope(envelope, false);
        executeOnLoop(pending, () -> submit(pending));
        return pending.result.thenApply(reply -> null);
    }

    CompletableFuture<Envelope> request(Envelope envelope, Duration timeout) {
        PendingEnvelope pending = new PendingEnvelope(envelope, true);
        executeOnLoop(pending, () -> {
            pending.timeout =
                    loop.schedule(() -> failAfterTimeout(pending, timeout), timeout.toMillis(), TimeUnit.MILLISECONDS);
            submit(pending);
        });
        return pending.result;
    }

    private void executeOnLoop(PendingEnvelope pending, Runnable task) {
        try {
            loop.execute(task);
        } catch (RejectedExecutionException e) {
            fail(pending, "the peer transport is closed", e);
        }
    }

    void close() {
        loop.execute(() -> {
            closed = true;
            failQueued("the connection to " + peer + " was closed", null);
            if (channel != null) {
                channel.close();
            }
        });
    }

    private void submit(PendingEnvelope pending) {
        if (closed) {
            fail(pending, "the connection to " + peer + " is closed", null);
        } else if (channel != null) {
            write(pending);
        } else if (connecting) {
            enqueue(pending);
        } else if (nextConnectNanos != 0 && System.nanoTime() - nextConnectNanos < 0) {
            fail(
                    pending,
                    "peer " + peer + " could not be reached; the next connect is attempted after the backoff",
                    null);
        } else {
            enqueue(pending);
            connect();
        }
    }

    private void enqueue(PendingEnvelope pending) {
        if (queued.size() >= MAX_QUEUED_ENVELOPES) {
            counters.queueFull.increment();
            fail(pending, "too many envelopes are queued for the connection to " + peer, null);
        } else {
            queued.add(pending);
        }
    }

    private void connect() {
        connecting = true;
        bootstrap.connect(peer).addListener((ChannelFuture future) -> {
            connecting = false;
            if (future.isSuccess()) {
                onConnected(future.channel());
            } else {
                counters.connectsFailed.increment();
                startBackoff();
                failQueued(
                        "peer " + peer + " cannot be reached: " + future.cause().getMessage(), future.cause());
            }
        });
    }

    private void onConnected(Channel newChannel) {
        if (closed) {
            newChannel.close();
            return;
        }
        channel = newChannel;
        newChannel.closeFuture().addListener(future -> onDisconnected());
        // A write may close the channel, so the state is checked again for each envelope, which may be queued
        // again.
        List<PendingEnvelope> previouslyQueued = new ArrayList<>(queued);
        queued.clear();
        previouslyQueued.forEach(this::submit);
    }

    // The backoff also applies after an established connection was closed; otherwise this instance would
    // reconnect without pause to a peer that rejects the preamble. A reply resets the backoff.
    private void onDisconnected() {
        channel = null;
        startBackoff();
        List<PendingEnvelope> lost = new ArrayList<>(awaitingReply.values());
        awaitingReply.clear();
        lost.forEach(
                pending -> fail(pending, "the connection to " + peer + " was closed before the reply arrived", null));
    }

    private void startBackoff() {
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, Math.max(INITIAL_BACKOFF_MILLIS, backoffMillis * 2));
        long delayMillis = ThreadLocalRandom.current().nextLong(backoffMillis / 2, backoffMillis + 1);
        nextConnectNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMillis);
    }

    private void failQueued(String message, Throwable cause) {
        while (!queued.isEmpty()) {
            fail(queued.remove(), message, cause);
        }
    }

    private void write(PendingEnvelope pending) {
        if (pending.result.isDone()) {
            return;
        }
        if (pending.envelope.getSerializedSize() > PeerTransport.MAX_FRAME_BYTES - Integer.BYTES) {
            fail(
                    pending,
                    "envelope of " + pending.envelope.getSerializedSize() + " bytes exceeds the frame limit",
                    null);
            return;
        }
        if (!channel.isWritable()) {
            counters.queueFull.increment();
            fail(pending, "the outgoing queue of the connection to " + peer + " is full", null);
            return;
        }
        // After this point, a failure leaves it unknown whether bytes reached the peer.
        pending.written = true;
        counters.framesSent.increment();
        if (pending.replyExpected) {
            awaitingReply.put(pending.envelope.getCorrelationId(), pending);
        }
        channel.writeAndFlush(pending.envelope).addListener(future -> {
            if (!future.isSuccess()) {
                awaitingReply.remove(pending.envelope.getCorrelationId());
                fail(
                        pending,
                        "writing to peer " + peer + " failed: " + future.cause().getMessage(),
                        future.cause());
            } else if (!pending.replyExpected) {
                pending.result.complete(null);
            }
        });
    }

    private void completeRequest(Envelope reply) {
        PendingEnvelope pending = awaitingReply.remove(reply.getCorrelationId());
        if (pending == null) {
            counters.unmatchedReplies.increment();
            return;
        }
        backoffMillis = 0;
        pending.timeout.cancel(false);
        pending.result.complete(reply);
    }

    private void failAfterTimeout(PendingEnvelope pending, Duration timeout) {
        awaitingReply.remove(pending.envelope.getCorrelationId());
        queued.remove(pending);
        fail(pending, "peer " + peer + " sent no reply within " + timeout.toMillis() + " ms", null);
    }

    private static void fail(PendingEnvelope pending, String message, Throwable cause) {
        if (pending.timeout != null) {
            pending.timeout.cancel(false);
        }
        Outcome outcome = pending.written ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        pending.result.completeExceptionally(new PeerException(outcome, message, cause));
    }

    /**
     * An envelope that is queued or sent, with the future of its result. Confined to the event loop, except
     * the future.
     */
    private static final class PendingEnvelope {
        private final Envelope envelope;
        private final boolean replyExpected;
        private final CompletableFuture<Envelope> result = new CompletableFuture<>();
        private Future<?> timeout;
        private boolean written;

        PendingEnvelope(Envelope envelope, boolean replyExpected) {
            this.envelope = envelope;
            this.replyExpected = replyExpected;
        }
    }
}
