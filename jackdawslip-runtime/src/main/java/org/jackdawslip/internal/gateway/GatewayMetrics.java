package org.jackdawslip.internal.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.AdmissionDecision;
import org.jackdawslip.internal.balance.RequestClass;
import org.jackdawslip.internal.traffic.HostRoute;

/**
 * Counters and latency histograms of the gateway.
 *
 * <p>Labels contain services, accounts, error codes and fixed words, never request ids, hosts or addresses, so the
 * configuration limits the number of time series. Confined to the event loop.
 */
final class GatewayMetrics {

    private static final Duration[] LATENCY_BUCKETS = {
        Duration.ofMillis(10),
        Duration.ofMillis(25),
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(200),
        Duration.ofMillis(400),
        Duration.ofMillis(800),
        Duration.ofMillis(1_600),
        Duration.ofMillis(3_200)
    };

    /** Largest priority that is a label of its own; a configuration may contain any number. */
    private static final int MAX_PRIORITY_LABEL = 999;

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<String, Counter> counters = new HashMap<>();
    private final AccountMetrics accounts = new AccountMetrics(registry);
    private final Map<String, Timer> timers = new HashMap<>();

    /** Returns the counters of requests by client account. */
    AccountMetrics accounts() {
        return accounts;
    }

    /** Counts a decision. The reason must come from a limited set, because it becomes a label. */
    void countDecision(String decision, String reason) {
        counters.computeIfAbsent(decision + '/' + reason, key -> Counter.builder("jackdawslip.decisions")
                        .tag("decision", decision)
                        .tag("reason", reason)
                        .register(registry))
                .increment();
    }

    /** Counts a decision on the admission of a request to a server. */
    void countAdmission(RequestClass requestClass, AdmissionDecision.Reason reason) {
        String service = requestClass.service().value();
        String priority = Integer.toString(Math.min(requestClass.priority(), MAX_PRIORITY_LABEL));
        counters.computeIfAbsent("admission/" + service + '/' + priority + '/' + reason.label(), key -> Counter.builder(
                                "jackdawslip.admissions")
                        .tag("service", service)
                        .tag("priority", priority)
                        .tag("decision", reason.label())
                        .register(registry))
                .increment();
    }

    /** Counts a local response. */
    void countLocalResponse(ErrorCode code) {
        countDecision("own-answer", code.name());
    }

    /**
     * Records the latency and the status of a response to a caller.
     *
     * @param millis time from the arrival of the request to the response
     */
    void recordResponse(HostRoute route, long millis, int status) {
        String service = route.services().get(0).service().value();
        String outcome = (status / 100) + "xx";
        timers.computeIfAbsent(service + '/' + outcome, key -> Timer.builder("jackdawslip.requests")
                        .tag("service", service)
                        .tag("priority", Integer.toString(route.priority()))
                        .tag("outcome", outcome)
                        .serviceLevelObjectives(LATENCY_BUCKETS)
                        .register(registry))
                .record(Duration.ofMillis(millis));
    }

    /**
     * Records a hedged request that received its response.
     *
     * @param won whether the response came from the hedged attempt
     * @param extraMillis time for which the hedged attempt kept a server busy; upper limit of the extra work
     * @param savedMillis estimated time by which the response came earlier
     */
    void recordHedge(HostRoute route, ServiceName service, boolean won, long extraMillis, long savedMillis) {
        addToHedgeCounter("jackdawslip.hedged.requests", route, service, won ? "won" : "lost", 1);
        addToHedgeCounter("jackdawslip.hedge.extra.millis", route, service, won ? "won" : "lost", extraMillis);
        addToHedgeCounter("jackdawslip.hedge.saved.millis", route, service, "won", savedMillis);
    }

    private void addToHedgeCounter(String name, HostRoute route, ServiceName service, String result, long amount) {
        counters.computeIfAbsent(name + '/' + route.name() + '/' + service + '/' + result, key -> Counter.builder(name)
                        .tag("route", route.name())
                        .tag("service", service.value())
                        .tag("result", result)
                        .register(registry))
                .increment(amount);
    }

    /** Registers a gauge. Its value is read when the metrics are scraped. */
    void registerGauge(String name, Supplier<Number> value) {
        Gauge.builder("jackdawslip." + name, value).register(registry);
    }

    /** Returns all metrics in the Prometheus text format. */
    String scrape() {
        return registry.scrape();
    }
}
