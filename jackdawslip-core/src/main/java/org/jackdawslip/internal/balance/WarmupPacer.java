package org.jackdawslip.internal.balance;

import java.util.Collection;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.InstanceId;

/**
 * Spaces out the requests of one instance to a cold backend server.
 *
 * <p>Only a few instances, chosen by rendezvous hash, send to a cold server. Each gets less than an equal part of the
 * rate that the server bears, so that twice as many do little harm: instances that were just removed from the view of
 * the others may go on until they notice. Not thread-safe.
 */
public final class WarmupPacer {

    /** Instances that send to one cold server, so that the loss of one does not stop its warm-up. */
    public static final int SENDERS = 2;
    /** Parts into which the rate is divided; each sender gets one. */
    private static final int PARTS = SENDERS + 1;
    /** Lowest rate that is taken from a configuration, in requests a second. */
    private static final double LOWEST_RATE = 0.1;

    private long nextSendAt = Long.MIN_VALUE;

    /**
     * Counts a send.
     *
     * @param requestsPerSecond what the cold server bears from all instances together
     */
    public void sent(long now, double requestsPerSecond) {
        nextSendAt = now + Math.round(1_000 * PARTS / Math.max(requestsPerSecond, LOWEST_RATE));
    }

    /** Returns whether a request may be sent now. */
    public boolean mayAsk(long now) {
        return now >= nextSendAt;
    }

    /** Returns whether the instance is one of those that send to the server while it is cold. */
    public static boolean chosen(BackendServerId server, InstanceId self, Collection<InstanceId> live) {
        long own = score(server, self);
        long ahead = live.stream()
                .filter(other -> !other.equals(self))
                .filter(other -> score(server, other) > own)
                .count();
        return ahead < SENDERS;
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
