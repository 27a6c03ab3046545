package org.jackdawslip.internal.gateway;

import io.netty.util.internal.PlatformDependent;
import org.jackdawslip.internal.limits.CallerMemory;
import org.jackdawslip.internal.limits.ClientLimits;
import org.jackdawslip.internal.limits.ConnectionBudget;
import org.jackdawslip.internal.limits.MemoryShares;
import org.jackdawslip.internal.limits.MemoryUse;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.time.MonotonicClock;

/** What the callers of this instance may occupy, and the record of what was refused. Confined to the event loop. */
final class CallerResources {

    private final ClientLimits limits;
    private final CallerMemory heap;
    private final CallerMemory largeBodies;
    private final ConnectionBudget connections;
    private final MonotonicClock clock;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private int openRequests;

    CallerResources(ClientLimits limits, MonotonicClock clock, EventLog log, GatewayMetrics metrics) {
        this.limits = limits;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
        heap = new CallerMemory(MemoryShares.ofHeap(limits.heapBytes()));
        largeBodies = new CallerMemory(MemoryShares.ofLargeBodies(limits.largeBodyBytes()));
        connections = new ConnectionBudget(limits.callerConnections());
    }

    /** Derives the limits of this process from the resources of its host. */
    static ClientLimits limitsOf(GatewaySettings.InstanceLimits host) {
        return ClientLimits.derive(
                host.fileDescriptors(),
                host.memoryBytes(),
                Runtime.getRuntime().maxMemory(),
                PlatformDependent.maxDirectMemory());
    }

    /** Registers the gauges of the limits and of what is in use. */
    void registerGauges() {
        metrics.registerGauge("callers.connections", connections::open);
        metrics.registerGauge("callers.connections.limit", connections::limit);
        metrics.registerGauge("callers.connections.replaced", connections::replaced);
        metrics.registerGauge("callers.connections.refused", connections::refused);
        metrics.registerGauge("callers.requests.open", () -> openRequests);
        registerGauges("callers.memory", heap);
        registerGauges("callers.large.bodies", largeBodies);
        metrics.registerGauge("callers.memory.unread.bytes", () -> heap.reservedBytes(MemoryUse.RESPONSE));
    }

    private void registerGauges(String prefix, CallerMemory memory) {
        metrics.registerGauge(prefix + ".bytes", memory::reservedBytes);
        metrics.registerGauge(prefix + ".peak.bytes", memory::peakBytes);
        metrics.registerGauge(prefix + ".limit.bytes", memory::limitBytes);
        metrics.registerGauge(prefix + ".refused", memory::refusals);
        metrics.registerGauge(prefix + ".dropped", memory::drops);
    }

    /** A request is passed on; it may take a connection to a server. */
    void recordStart() {
        openRequests++;
    }

    /** A request that was passed on has ended. */
    void recordEnd() {
        openRequests--;
    }

    /** Returns whether a connection that has an open request may pass on another one. */
    boolean mayPipeline() {
        return openRequests < limits.pipelinedRequests();
    }

    /** Counts and logs that a request was refused or a connection closed to protect the instance. */
    void recordRefusal(CallerRefusal refusal, Object address) {
        String decision = refusal.status() == null ? "caller-closed" : "caller-refused";
        metrics.countDecision(decision, refusal.label());
        log.info(
                decision,
                "reason",
                refusal.label(),
                "address",
                address,
                "connections",
                connections.open(),
                "memoryBytes",
                heap.reservedBytes(),
                "largeBodyBytes",
                largeBodies.reservedBytes());
    }

    /** Counts and logs a fault in the processing of a connection. */
    void recordFault(Throwable cause, Object address) {
        recordRefusal(CallerRefusal.FAULT, address);
        log.warnTaskFailure("caller-connection", cause);
    }

    ClientLimits limits() {
        return limits;
    }

    CallerMemory heap() {
        return heap;
    }

    CallerMemory largeBodies() {
        return largeBodies;
    }

    ConnectionBudget connections() {
        return connections;
    }

    long now() {
        return clock.millis();
    }
}
