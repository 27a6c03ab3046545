package org.jackdawslip.internal.admission;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The slots of lost attempts, which may still run, until they are released. Not thread-safe.
 *
 * @param <R> the handle of a request
 */
final class LostAttempts<R> {

    private final PriorityQueue<LostAttempt<R>> attempts =
            new PriorityQueue<>(Comparator.comparingLong(LostAttempt::slotUntilMillis));

    void add(ServerState<R> server, long slotUntilMillis) {
        attempts.add(new LostAttempt<>(slotUntilMillis, server));
    }

    /** Releases the slots that are due. */
    void releaseDue(long now) {
        while (nextReleaseMillis() <= now) {
            attempts.remove().server().releaseSlot();
        }
    }

    /** Returns the monotonic time of the next release, or {@link Long#MAX_VALUE} if there is none. */
    long nextReleaseMillis() {
        return attempts.isEmpty() ? Long.MAX_VALUE : attempts.peek().slotUntilMillis();
    }

    private record LostAttempt<R>(long slotUntilMillis, ServerState<R> server) {}
}
