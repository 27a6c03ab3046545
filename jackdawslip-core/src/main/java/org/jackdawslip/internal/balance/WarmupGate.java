package org.jackdawslip.internal.balance;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.InstanceId;

/**
 * Decides whether this instance may send a request to a backend server that may be cold.
 *
 * <p>A server may become cold at any time. Its listing reports this seconds later or, while the store is
 * unavailable, not at all, and until then the listing would not limit the requests of the instances. Each
 * request therefore needs a recent state report that the server is warm, or has to fit into the capacity of a
 * cold server.
 *
 * <p>The capacity of a cold server is a global limit, and instances do not coordinate its use. Only
 * {@value WarmupPacer#SENDERS} instances send to a cold server, for keyed and other services, because a share
 * for each instance would admit as many simultaneous requests as there are instances. An instance counts
 * itself as a sender only while its membership is established, so that the number of senders does not depend
 * on whether all instances have the same list of live instances. Not thread-safe.
 */
public final class WarmupGate {

    private final InstanceId self;
    private final BooleanSupplier established;
    private final Map<BackendServerId, Boolean> senderByServer = new HashMap<>();
    private Set<InstanceId> liveInstances;

    /**
     * Creates a gate whose only live instance is this one.
     *
     * @param established whether every other instance that sends to cold servers counts this instance
     */
    public WarmupGate(InstanceId self, BooleanSupplier established) {
        this.self = self;
        this.established = established;
        this.liveInstances = Set.of(self);
    }

    /** Sets the live instances, this one included. */
    public void setLiveInstances(Set<InstanceId> instances) {
        liveInstances = instances;
        senderByServer.clear();
    }

    /**
     * Returns whether the server may be chosen: it is not known to be cold, or this instance may send it one
     * of the requests within the capacity of a cold server.
     */
    public boolean admits(BackendTracker server, long now) {
        return !server.cold(now) || server.pacer().maySend(now) && isSenderTo(server);
    }

    /**
     * Decides on a request right before it is sent, and counts it if it is to be sent to a cold server.
     *
     * @param requestsPerSecond capacity of the server while it is cold, for all instances together
     */
    public SendDecision beforeSend(BackendTracker server, double requestsPerSecond, long now) {
        if (!server.cold(now)) {
            return server.useWarmReport(now) ? SendDecision.SEND : SendDecision.PROBE;
        }
        if (!admits(server, now)) {
            return SendDecision.WITHDRAW;
        }
        server.pacer().recordSent(now, requestsPerSecond);
        return SendDecision.SEND;
    }

    /** Returns whether this instance is one of the senders to the server while the server is cold. */
    public boolean isSenderTo(BackendTracker server) {
        return established.getAsBoolean()
                && senderByServer.computeIfAbsent(
                        server.backend().id(), id -> WarmupPacer.isSender(id, self, liveInstances));
    }
}
