package org.jackdawslip.internal.balance;

import java.util.Collection;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.InstanceId;

/**
 * Limits the request rate of one instance to a cold backend server.
 *
 * <p>Only {@value #SENDERS} instances, chosen by rendezvous hashing, send to a cold server. Each uses less
 * than an equal share of the capacity of the server, so that twice as many senders exceed the capacity only
 * slightly: an instance that the others have just removed from their lists may send until it observes its
 * removal. Not thread-safe.
 */
public final class WarmupPacer {

    /** Instances that send to one cold server. With two, the warm-up continues when one of them fails. */
    public static final int SENDERS = 2;
    /** Shares into which the capacity is divided; each sender uses one. */
    private static final int RATE_SHARES = SENDERS + 1;
    /** Lower bound on the configured capacity, in requests per second. */
    private static final double MIN_REQUESTS_PER_SECOND = 0.1;

    private long nextSendAt = Long.MIN_VALUE;

    /**
     * Records that a request was sent, which delays the next one.
     *
     * @param requestsPerSecond capacity of the cold server, for all instances together
     */
    public void recordSent(long now, double requestsPerSecond) {
        nextSendAt = now + Math.round(1_000 * RATE_SHARES / Math.max(requestsPerSecond, MIN_REQUESTS_PER_SECOND));
    }

    /** Returns whether a request may be sent now. */
    public boolean maySend(long now) {
        return now >= nextSendAt;
    }

    /**
     * Returns whether this instance is one of the senders to the server while the server is cold.
     *
     * @param live the live instances
     */
    public static boolean isSender(BackendServerId server, InstanceId self, Collection<InstanceId> live) {
        long ownScore = score(server, self);
        long higherScores = live.stream()
                .filter(other -> !other.equals(self))
                .filter(other -> score(server, other) > ownScore)
                .count();
        return higherScores < SENDERS;
    }

    private static long score(BackendServerId server, InstanceId instance) {
        long hash = 1_125_899_906_842_597L;
        String text = server.value() + '/' + instance.value();
        for (int i = 0; i < text.length(); i++) {
            hash = 31 * hash + text.charAt(i);
        }
        hash ^= hash >>> 33;
        hash *= 0xff51afd7ed558ccdL;
        hash ^= hash >>> 33;
        return hash;
    }
}
