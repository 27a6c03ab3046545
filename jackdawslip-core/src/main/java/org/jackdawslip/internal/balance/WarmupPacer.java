package org.jackdawslip.internal.balance;

import java.util.Collection;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.InstanceId;

/**
 * Spaces out the requests of one instance to a cold backend server.
 *
 * <p>Only a few instances, chosen by rendezvous hash, send to a cold server; each gets an equal part of the rate that
 * the server bears. The sum stays within the bound without messages while views of the live instances agree, and within
 * twice the rate while two views differ. Not thread-safe.
 */
public final class WarmupPacer {

    /** Instances that send to one cold server, so that the loss of one does not stop its warm-up. */
    public static final int SENDERS = 2;

    private long nextSendAt = Long.MIN_VALUE;

    /**
     * Asks to send one request now.
     *
     * @param requestsPerSecond what the cold server bears from all instances together
     * @param senders instances that send to it, at least 1
     */
    public boolean trySend(long now, double requestsPerSecond, int senders) {
        if (now < nextSendAt) {
            return false;
        }
        nextSendAt = now + Math.round(1_000 * senders / Math.max(requestsPerSecond, 0.1));
        return true;
    }

    /** Returns whether a request could be sent now, without sending it. */
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
