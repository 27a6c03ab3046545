package org.jackdawslip.internal.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import org.jackdawslip.internal.balance.Balancer;
import org.jackdawslip.internal.balance.LoadReport;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.time.MonotonicClock;

/**
 * The components of a gateway that handle requests. Immutable; the components are confined to the event loop.
 *
 * @param loop the event loop
 * @param clock the monotonic clock
 * @param log the event log
 * @param adapter the translation of the platform's formats
 * @param routing the state that determines how requests are routed
 * @param directory the backend servers
 * @param balancer chooses a backend server for a request
 * @param peers the exchange of load reports and key uses with other instances
 * @param metrics counters and histograms
 * @param plannedStop the time that a planned stop leaves for requests
 * @param accounts authenticates requests by their client accounts
 */
record RequestComponents(
        EventLoop loop,
        MonotonicClock clock,
        EventLog log,
        PlatformAdapter adapter,
        RoutingState routing,
        BackendDirectory directory,
        Balancer balancer,
        PeerExchange peers,
        GatewayMetrics metrics,
        PlannedStop plannedStop,
        AccountGate accounts) {

    /** Records the load that a response of a backend server reports; returns null if it reports none. */
    LoadReport recordLoadReport(BackendDirectory.Target target, HttpHeaders headers) {
        LoadReport load = adapter.decodeLoadReport(headers);
        if (load != null) {
            target.tracker.recordLoadReport(load, clock.millis(), 0);
            peers.recordLoadReport(target, load);
        }
        return load;
    }
}
