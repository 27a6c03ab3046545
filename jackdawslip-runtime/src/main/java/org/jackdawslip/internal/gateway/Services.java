package org.jackdawslip.internal.gateway;

import io.netty.channel.EventLoop;
import org.jackdawslip.internal.balance.Balancer;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.time.MonotonicClock;

/**
 * The parts of a gateway that requests use. Immutable; the parts are confined to the event loop.
 *
 * @param loop the event loop
 * @param clock the monotonic clock
 * @param log the event log
 * @param adapter the formats of the platform
 * @param routing what decides where a request goes
 * @param directory the backend servers
 * @param balancer the choice among them
 * @param peers what instances tell one another
 * @param metrics counters and histograms
 */
record Services(
        EventLoop loop,
        MonotonicClock clock,
        EventLog log,
        PlatformAdapter adapter,
        RoutingState routing,
        BackendDirectory directory,
        Balancer balancer,
        PeerExchange peers,
        GatewayMetrics metrics) {}
