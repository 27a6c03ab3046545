package org.jackdawslip.internal.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.jackdawslip.RequestId;

/**
 * A request at the sender, with all callers that wait for its response (repeats with the same id included)
 * and its attempts in flight. Not thread-safe.
 */
final class PendingRequest<R> {

    /** The state of the request. */
    enum State {
        /** The creation time of the id is in the future; the request waits for the wall clock. */
        HELD,
        /** The request waits for a slot. */
        QUEUED,
        /** At least one attempt is in flight. */
        IN_FLIGHT,
        /** No caller waits for the request any more; cancelled attempts may still be in flight. */
        FINISHED
    }

    final long sequence;
    final long submittedMillis;
    final boolean urgent;
    final boolean atMostOnce;
    final boolean onlyIfFree;
    final RequestId requestId;
    final long keyHash;
    final ServerState<R> owner;
    private final long senderEpoch;
    private final Optional<RangeStart> rangeAtSubmission;
    final List<Waiter<R>> waiters = new ArrayList<>(1);
    final List<Attempt<R>> attempts = new ArrayList<>(1);
    State state = State.QUEUED;
    boolean mayHaveRun;
    boolean hedged;

    PendingRequest(Submission<R> submission, ServerState<R> owner, long sequence, long now) {
        this.sequence = sequence;
        this.submittedMillis = now;
        this.urgent = submission.urgent();
        this.atMostOnce = submission.atMostOnce();
        this.onlyIfFree = submission.onlyIfFree();
        this.requestId = submission.requestId();
        this.keyHash = submission.keyHash();
        this.owner = owner;
        this.senderEpoch = owner == null ? 0 : owner.senderEpoch();
        this.rangeAtSubmission = owner == null ? Optional.empty() : owner.registry.rangeStart(keyHash);
    }

    /**
     * Returns whether the request may still be dispatched to its owner, which must still own the key. For an
     * at-most-once request, neither this instance's time as sender nor the range token may have changed since
     * admission: another sender may have run a repeat in between, so only the registry may admit the request
     * again.
     */
    boolean isOwnerStillValid() {
        Optional<RangeStart> current = owner.registry.rangeStart(keyHash);
        return owner.isUsable()
                && current.isPresent()
                && (!atMostOnce || senderEpoch == owner.senderEpoch() && current.equals(rangeAtSubmission));
    }

    /** A caller that waits for the response. Ordered by deadline. */
    record Waiter<R>(R request, long deadlineMillis, long sequence, PendingRequest<R> pending)
            implements Comparable<Waiter<R>> {
        @Override
        public int compareTo(Waiter<R> other) {
            int byDeadline = Long.compare(deadlineMillis, other.deadlineMillis);
            return byDeadline != 0 ? byDeadline : Long.compare(sequence, other.sequence);
        }

        @Override
        public boolean equals(Object other) {
            return this == other;
        }

        @Override
        public int hashCode() {
            return Long.hashCode(sequence);
        }
    }

    /** One attempt of the request at one backend server. */
    static final class Attempt<R> {
        final long id;
        final PendingRequest<R> pending;
        final ServerState<R> server;
        final long dispatchedMillis;
        final long deadlineMillis;
        final long rampEpoch;
        final long senderEpoch;
        boolean cancelled;

        Attempt(long id, PendingRequest<R> pending, ServerState<R> server, long now, long deadlineMillis) {
            this.id = id;
            this.pending = pending;
            this.server = server;
            this.dispatchedMillis = now;
            this.deadlineMillis = deadlineMillis;
            this.rampEpoch = server.rampEpoch();
            this.senderEpoch = server.senderEpoch();
        }
    }
}
