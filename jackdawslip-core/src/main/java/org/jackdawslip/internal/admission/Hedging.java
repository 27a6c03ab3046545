package org.jackdawslip.internal.admission;

import java.util.Comparator;
import java.util.OptionalLong;
import java.util.PriorityQueue;

import org.jackdawslip.internal.hedging.HedgeLimit;
import org.jackdawslip.internal.hedging.QuantileEstimate;

/**
 * Decides when a request in flight gets a second attempt (a hedge): when the first attempt takes longer than
 * the 95th percentile of recent latencies and the limit allows the hedge. Not thread-safe.
 */
final class Hedging<R> {

    private static final double DELAY_QUANTILE = 0.95;
    /** With fewer samples, at most one lies above the 95th percentile. */
    private static final int MIN_SAMPLES = 20;

    private static final double MICROS_PER_MILLI = 1_000;

    private final HedgeLimit limit;
    private final QuantileEstimate latencies = new QuantileEstimate();
    private final PriorityQueue<Timer<R>> timers = new PriorityQueue<>(Comparator.comparingLong(Timer::dueMillis));

    Hedging(HedgeLimit limit) {
        this.limit = limit;
    }

    void countRequest(long now) {
        limit.recordRequest(now);
    }

    void recordLatency(long micros) {
        latencies.add(micros / MICROS_PER_MILLI);
    }

    boolean tryTakeFromLimit(long now) {
        return limit.tryTake(now);
    }

    /**
     * Schedules the hedge of a request whose first attempt was dispatched now, if there are enough samples.
     */
    void schedule(PendingRequest<R> pending, long now) {
        if (limit.share() > 0 && latencies.samples() >= MIN_SAMPLES) {
            timers.add(new Timer<>(now + delayMillis(), pending));
        }
    }

    /**
     * Schedules the hedge again, after it was due and no backend server had a free slot or the limit was
     * reached.
     */
    void reschedule(PendingRequest<R> pending, long now) {
        timers.add(new Timer<>(now + Math.max(1, delayMillis() / 2), pending));
    }

    /**
     * Returns and removes a request whose hedge is due and whose first attempt is still in flight, or null.
     */
    PendingRequest<R> pollDue(long now) {
        while (!timers.isEmpty()) {
            PendingRequest<R> pending = timers.peek().pending;
            boolean hedgeable =
                    pending.state == PendingRequest.State.IN_FLIGHT && pending.attempts.size() == 1 && !pending.hedged;
            if (hedgeable && timers.peek().dueMillis > now) {
                return null;
            }
            timers.remove();
            if (hedgeable) {
                return pending;
            }
        }
        return null;
    }

    /** Returns the monotonic time of the next scheduled hedge, in milliseconds. */
    OptionalLong nextDueMillis() {
        return timers.isEmpty() ? OptionalLong.empty() : OptionalLong.of(timers.peek().dueMillis);
    }

    private long delayMillis() {
        return (long) latencies.quantile(DELAY_QUANTILE) + 1;
    }

    private record Timer<R>(long dueMillis, PendingRequest<R> pending) {}
}
