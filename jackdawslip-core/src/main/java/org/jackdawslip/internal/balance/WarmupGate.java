package org.jackdawslip.internal.balance;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.InstanceId;

/**
 * Decides whether one instance may send a request to a backend server that may be cold.
 *
 * <p>A server may turn cold at any moment, and its listing tells so seconds later or, while the store does not answer,
 * not at all. Nothing would bound what instances send until then. So each request is sent on a recent statement of the
 * server that it is warm, or as one of the few that a cold server bears.
 *
 * <p>What a cold server bears is a bound on the sum over all instances, which do not ask one another. Only two of them
 * send to it, with or without keys, because a share for each would let as many requests through at once as there are
 * instances. An instance takes itself for one of the two only while it is established, so that their number does not
 * depend on whether the views of all instances agree. Not thread-safe.
 */
public final class WarmupGate {

    private final InstanceId self;
    private final BooleanSupplier established;
    private final Map<BackendServerId, Boolean> chosen = new HashMap<>();
    private Set<InstanceId> live;

    /**
     * Makes the gate of an instance that knows of no other.
     *
     * @param established whether every other instance that sends to cold servers knows this one
     */
    public WarmupGate(InstanceId self, BooleanSupplier established) {
        this.self = self;
        this.established = established;
        this.live = Set.of(self);
    }

    /** Takes the live instances, this one included. */
    public void instances(Set<InstanceId> newest) {
        live = newest;
        chosen.clear();
    }

    /** Returns whether the server may be chosen: it is not known to be cold, or it bears a request of this instance. */
    public boolean admits(BackendTracker server, long now) {
        return !server.cold(now) || server.pacer().mayAsk(now) && sendsTo(server);
    }

    /**
     * Decides on a request right before it is sent, and counts it if it is sent to a cold server.
     *
     * @param requestsPerSecond what the server bears while it is cold, from all instances together
     */
    public SendStep beforeSend(BackendTracker server, double requestsPerSecond, long now) {
        if (!server.cold(now)) {
            return server.takeWarmStatement(now) ? SendStep.SEND : SendStep.ASK;
        }
        if (!admits(server, now)) {
            return SendStep.WITHDRAW;
        }
        server.pacer().sent(now, requestsPerSecond);
        return SendStep.SEND;
    }

    /** Returns whether this instance is one of those that send to the server while it is cold. */
    public boolean sendsTo(BackendTracker server) {
        return established.getAsBoolean()
                && chosen.computeIfAbsent(server.backend().id(), id -> WarmupPacer.chosen(id, self, live));
    }
}
