package org.jackdawslip.internal.balance;

import java.util.Set;

import org.jackdawslip.InstanceId;

/**
 * Decides whether one instance may send a request to a backend server that may be cold.
 *
 * <p>What a cold server bears is a bound on the sum over all instances, which do not ask one another. Not thread-safe.
 */
public final class WarmupGate {

    private final InstanceId self;
    private Set<InstanceId> live;

    /** Makes the gate of an instance that knows of no other. */
    public WarmupGate(InstanceId self) {
        this.self = self;
        this.live = Set.of(self);
    }

    /** Takes the live instances, this one included. */
    public void instances(Set<InstanceId> newest) {
        live = newest;
    }

    /**
     * Returns whether a request may be sent to the server now.
     *
     * @param keyed whether only this server may serve the request
     */
    public boolean admits(BackendTracker server, boolean keyed, long now) {
        if (!server.cold(now)) {
            return true;
        }
        return server.pacer().mayAsk(now)
                && (keyed || WarmupPacer.chosen(server.backend().id(), self, live));
    }

    /**
     * Counts a send.
     *
     * @param requestsPerSecond what the server bears while it is cold, from all instances together
     */
    public void sent(BackendTracker server, boolean keyed, double requestsPerSecond, long now) {
        if (server.cold(now)) {
            int senders = keyed ? live.size() : WarmupPacer.SENDERS;
            server.pacer().trySend(now, requestsPerSecond, senders);
        }
    }
}
