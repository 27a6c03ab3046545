package org.jackdawslip.internal.metrics;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.ToDoubleFunction;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.ServiceName;

/**
 * The metrics of an instance, exported in the Prometheus text format.
 *
 * <p>The number of time series is limited: tenants beyond the limit are recorded as {@value #OTHER_TENANTS}.
 * Thread-safe.
 *
 * <pre>{@code
 * RouterMetrics metrics = new RouterMetrics(100);
 * metrics.recordLatency("tenant-a", service, true, Duration.ofMillis(3));
 * String text = metrics.scrape();
 * }</pre>
 */
public final class RouterMetrics implements AutoCloseable {

    /** Label value for all tenants beyond the limit. */
    public static final String OTHER_TENANTS = "other";

    /**
     * Label value for requests without a tenant. An empty value is not possible, because Prometheus drops
     * empty labels.
     */
    public static final String NO_TENANT = "none";

    private static final List<String> ROLES = List.of("coordinator", "successor", "member");
    private static final String PREFIX = "jackdawslip.";

    // Bucket bounds of the latency histogram, from a hop inside a failure domain to the longest usual
    // timeout. 14 ms is the latency target for 99 of 100 requests.
    private static final int[] LATENCY_BUCKETS_MICROS = {
        500,
        1_000,
        2_000,
        3_000,
        5_000,
        7_000,
        10_000,
        14_000,
        20_000,
        30_000,
        50_000,
        100_000,
        200_000,
        500_000,
        1_000_000,
        2_000_000,
        5_000_000,
        10_000_000
    };

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final JvmGcMetrics garbageCollection = new JvmGcMetrics();
    private final Map<TimerKey, Timer> timers = new ConcurrentHashMap<>();
    private final Map<ErrorCode, Counter> refusals = new ConcurrentHashMap<>();
    private final Map<Event, Counter> events = new ConcurrentHashMap<>();
    private final Map<String, String> tenants = new ConcurrentHashMap<>();
    private final AtomicInteger tenantCount = new AtomicInteger();
    private final Map<ValueKey, AtomicLong> values = new ConcurrentHashMap<>();
    private final AtomicLong bundleVersionValue = new AtomicLong();
    private final Duration[] latencyBuckets = new Duration[LATENCY_BUCKETS_MICROS.length];
    private final int maxTenants;

    /**
     * Creates the registry with the metrics of the JVM.
     *
     * @param maxTenants the maximum number of tenants with separate time series
     */
    public RouterMetrics(int maxTenants) {
        this.maxTenants = maxTenants;
        for (int i = 0; i < latencyBuckets.length; i++) {
            latencyBuckets[i] = Duration.ofNanos(LATENCY_BUCKETS_MICROS[i] * 1_000L);
        }
        Gauge.builder("jackdawslip.bundle.version", bundleVersionValue, AtomicLong::get)
                .description("version of the bundle in force, 0 without one")
                .register(registry);
        for (Event event : Event.values()) {
            events.put(
                    event,
                    Counter.builder(PREFIX + event.metric)
                            .description(event.description)
                            .register(registry));
        }
        new JvmMemoryMetrics().bindTo(registry);
        garbageCollection.bindTo(registry);
        new ProcessorMetrics().bindTo(registry);
    }

    /** Records the time from the arrival of a request to its response. */
    public void recordLatency(String tenant, ServiceName service, boolean urgent, Duration latency) {
        TimerKey key = new TimerKey(tenantLabel(tenant), service.value(), urgent);
        timers.computeIfAbsent(key, this::registerTimer).record(latency);
    }

    /** Counts a request to which the router itself responded with an error. */
    public void countRefusal(ErrorCode code) {
        refusals.computeIfAbsent(code, this::registerRefusalCounter).increment();
    }

    /** Counts an event. */
    public void count(Event event) {
        events.get(event).increment();
    }

    /** Counts several occurrences of an event. */
    public void count(Event event, int times) {
        events.get(event).increment(times);
    }

    /** Counts a call to the store, by its kind and by whether the store responded. */
    public void countStoreCall(String kind, boolean responded) {
        Counter.builder(PREFIX + "store.calls")
                .description("calls to the store")
                .tags("kind", kind, "outcome", responded ? "answered" : "failed")
                .register(registry)
                .increment();
    }

    /** Sets a gauge without labels. */
    public void set(Value value, long number) {
        set(new ValueKey(value, "", ""), number);
    }

    /** Sets the gauge of a service. */
    public void set(Value value, ServiceName service, long number) {
        set(new ValueKey(value, "service", service.value()), number);
    }

    /** Sets the gauge of the current role of the instance to 1, and the gauges of the other roles to 0. */
    public void setRole(String current) {
        for (String role : ROLES) {
            set(new ValueKey(Value.ROLE, "role", role), role.equals(current) ? 1 : 0);
        }
    }

    private void set(ValueKey key, long number) {
        values.computeIfAbsent(key, this::registerValueGauge).set(number);
    }

    private AtomicLong registerValueGauge(ValueKey key) {
        AtomicLong gaugeValue = new AtomicLong();
        Gauge.Builder<AtomicLong> builder = Gauge.builder(PREFIX + key.value.metric, gaugeValue, AtomicLong::get)
                .description(key.value.description);
        if (!key.label.isEmpty()) {
            builder.tag(key.label, key.text);
        }
        builder.register(registry);
        return gaugeValue;
    }

    /** Sets the version of the bundle in force. */
    public void setBundleVersion(long version) {
        bundleVersionValue.set(version);
    }

    /**
     * Registers a gauge with the prefix {@code jackdawslip.}. The caller must keep a strong reference to the
     * source.
     */
    public <T> void registerGauge(String name, String description, T source, ToDoubleFunction<T> value) {
        Gauge.builder(PREFIX + name, source, value).description(description).register(registry);
    }

    /**
     * Registers a counter with the prefix {@code jackdawslip.}. The caller must keep a strong reference to
     * the source.
     */
    public <T> void registerCounter(String name, String description, T source, ToDoubleFunction<T> value) {
        FunctionCounter.builder(PREFIX + name, source, value)
                .description(description)
                .register(registry);
    }

    /** Returns all metrics in the Prometheus text format, version 0.0.4. */
    public String scrape() {
        return registry.scrape();
    }

    private Timer registerTimer(TimerKey key) {
        return Timer.builder("jackdawslip.request.latency")
                .description("time from the arrival of a request to its answer")
                .tags("tenant", key.tenant, "service", key.service, "priority", key.urgent ? "urgent" : "normal")
                .serviceLevelObjectives(latencyBuckets)
                .register(registry);
    }

    private Counter registerRefusalCounter(ErrorCode code) {
        return Counter.builder("jackdawslip.refusals")
                .description("requests that got an error answer of the router")
                .tag("code", code.name())
                .register(registry);
    }

    private String tenantLabel(String tenantName) {
        String tenant = tenantName.isEmpty() ? NO_TENANT : tenantName;
        String knownTenant = tenants.get(tenant);
        if (knownTenant != null) {
            return knownTenant;
        }
        if (tenantCount.get() >= maxTenants || tenantCount.incrementAndGet() > maxTenants) {
            return OTHER_TENANTS;
        }
        // If two threads add the same new tenant at once, one place of the limit is wasted.
        tenants.putIfAbsent(tenant, tenant);
        return tenant;
    }

    @Override
    public void close() {
        garbageCollection.close();
        registry.close();
    }

    private record ValueKey(Value value, String label, String text) {}

    private record TimerKey(String tenant, String service, boolean urgent) {}

    /** Gauges that are set at short intervals. */
    public enum Value {
        /** Whether the instance has the role of the label. */
        ROLE("role", "1 for the role that the instance has in its failure domain"),
        /** Whether the load balancer may send requests to the instance. */
        READY("ready", "1 if the instance takes requests"),
        /** Requests without a response, including relayed ones. */
        OPEN_REQUESTS("open.requests", "requests that have no answer yet, with relayed ones"),
        /** Requests in the queue of a service. */
        QUEUE_LENGTH("queue.length", "requests that wait for a slot at this sender"),
        /** Attempts that occupy a slot of a backend server. */
        IN_FLIGHT("in.flight", "attempts that occupy a slot of a backend server"),
        /** Slots that this sender may use now; the ramps of cold backend servers limit them. */
        SLOTS("slots", "slots that this sender may use now"),
        /** Backend servers to which this instance has the exclusive right to send. */
        SENDERS("senders", "backend servers to which this instance holds the right to send"),
        /** Backend servers that are marked as stragglers and receive only probe requests. */
        STRAGGLERS("stragglers", "backend servers that are marked as stragglers"),
        /** Instance ids that two running processes use at the same time. */
        DUPLICATE_INSTANCES("duplicate.instances", "instance ids that two running processes use");

        private final String metric;
        private final String description;

        Value(String metric, String description) {
            this.metric = metric;
            this.description = description;
        }
    }

    /** Events that are counted without labels. */
    public enum Event {
        /** A request was relayed to another instance. */
        RELAY("relays", "requests relayed to another instance"),
        /** An idempotent request was sent again after a failure. */
        RETRY("retries", "attempts after a failure"),
        /** An idempotent request was sent to a second backend server because the first was slow. */
        HEDGE("hedges", "attempts while an earlier one was still running"),
        /** A claim or renewal of grants was sent. */
        GRANT("grants", "claims and renewals sent to backend servers"),
        /** A key range was assigned to another owner. */
        MOVE("moves", "changes of an owner in the table of the failure domain, as this instance saw them"),
        /** The response of an attempt was lost, so the outcome of the attempt is unknown. */
        RESPONSE_LOST("answers.lost", "attempts whose outcome is not known");

        private final String metric;
        private final String description;

        Event(String metric, String description) {
            this.metric = metric;
            this.description = description;
        }
    }
}
