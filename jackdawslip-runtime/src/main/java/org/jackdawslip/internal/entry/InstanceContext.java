package org.jackdawslip.internal.entry;

import java.util.random.RandomGenerator;

import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.internal.admission.ClockReading;
import org.jackdawslip.internal.concurrent.DecisionThread;
import org.jackdawslip.internal.http.BackendClient;
import org.jackdawslip.internal.metrics.RouterMetrics;
import org.jackdawslip.internal.peer.PeerTransport;
import org.jackdawslip.internal.settings.EntrySettings;
import org.jackdawslip.internal.store.Store;
import org.jackdawslip.internal.time.MonotonicClock;
import org.jackdawslip.internal.time.TimerService;
import org.jackdawslip.internal.time.WallClock;
import org.jackdawslip.protocol.InstanceAddress;
import org.tinylog.Logger;

/**
 * The objects that all components of one instance share. The peer directory is confined to the decision
 * thread; everything else is thread-safe.
 */
record InstanceContext(
        EntrySettings settings,
        InstanceAddress address,
        DecisionThread decisionThread,
        TimerService timers,
        MonotonicClock monotonicClock,
        WallClock wallClock,
        PeerTransport transport,
        BackendClient backendClient,
        Store store,
        RouterMetrics metrics,
        PeerDirectory peerDirectory,
        RandomGenerator random) {

    InstanceId self() {
        return settings.instance();
    }

    FailureDomainId domain() {
        return settings.failureDomain();
    }

    long nowMillis() {
        return monotonicClock.millis();
    }

    ClockReading clockReading() {
        return new ClockReading(monotonicClock.millis(), wallClock.millis());
    }

    /** Runs an action on the decision thread. Does nothing after the instance has stopped. */
    void runOnDecisionThread(Runnable action) {
        try {
            decisionThread.execute(action);
        } catch (JackdawslipException e) {
            Logger.debug(e, "event dropped, because the decision thread has stopped");
        }
    }
}
