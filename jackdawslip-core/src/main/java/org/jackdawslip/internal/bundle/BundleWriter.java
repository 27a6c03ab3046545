package org.jackdawslip.internal.bundle;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Writes bundles as JSON, sorted by name or id and without omitting default values. Stateless and
 * thread-safe.
 */
public final class BundleWriter {

    private static final ObjectMapper JSON = new ObjectMapper();

    private BundleWriter() {}

    /** Returns the JSON document, from which {@link BundleReader} reads an equal bundle. */
    public static byte[] write(Bundle bundle) {
        Map<String, Object> root = new LinkedHashMap<>();
        root.put("version", bundle.version());
        Map<String, String> domains = new TreeMap<>();
        bundle.failureDomains().forEach((domain, state) -> domains.put(domain.value(), text(state)));
        root.put("failureDomains", domains);
        List<Object> services = new ArrayList<>();
        new TreeMap<>(bundle.services()).values().forEach(policy -> services.add(service(policy)));
        root.put("services", services);
        List<Object> servers = new ArrayList<>();
        new TreeMap<>(bundle.backendServers()).values().forEach(server -> servers.add(backendServer(server)));
        root.put("backendServers", servers);
        try {
            return JSON.writeValueAsBytes(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("bundle cannot be serialized as JSON", e);
        }
    }

    private static Map<String, Object> service(ServicePolicy policy) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("name", policy.name().value());
        json.put("routing", text(policy.routing()));
        json.put("checksTokens", policy.checksTokens());
        json.put("onSilence", text(policy.onSilence()));
        json.put("ranges", policy.ranges());
        json.put("queueLimit", policy.queueLimit());
        json.put("coldSlots", policy.coldSlots());
        json.put("rampRequests", policy.rampRequests());
        json.put("rampMillis", policy.rampMillis());
        json.put("hedging", policy.hedging());
        List<Object> rules = new ArrayList<>();
        for (ServicePolicy.ExecutionRule rule : policy.rules()) {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("method", rule.method());
            entry.put("pathPrefix", rule.pathPrefix());
            entry.put("execution", text(rule.execution()));
            rules.add(entry);
        }
        json.put("rules", rules);
        return json;
    }

    private static Map<String, Object> backendServer(BackendServer server) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("id", server.id().value());
        json.put("service", server.service().value());
        json.put("failureDomain", server.failureDomain().value());
        json.put("host", server.host());
        json.put("port", server.port());
        json.put("slots", server.slots());
        json.put("leaving", server.leaving());
        return json;
    }

    private static String text(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
