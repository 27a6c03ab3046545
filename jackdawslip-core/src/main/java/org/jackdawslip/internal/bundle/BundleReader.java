package org.jackdawslip.internal.bundle;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.jackdawslip.BackendServerId;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.bundle.ServicePolicy.Execution;
import org.jackdawslip.internal.bundle.ServicePolicy.ExecutionRule;
import org.jackdawslip.internal.bundle.ServicePolicy.OnSilence;
import org.jackdawslip.internal.bundle.ServicePolicy.Routing;
import org.jackdawslip.internal.json.Addresses;
import org.jackdawslip.internal.json.DocumentSchema;
import org.jackdawslip.internal.json.Fault;
import org.jackdawslip.internal.json.NameSuggestion;

/**
 * Reads bundles from JSON and reports all faults of a document at once. Stateless and thread-safe.
 *
 * <pre>{@code
 * Bundle bundle = BundleReader.read(Files.readAllBytes(path));
 * }</pre>
 */
public final class BundleReader {

    static final int DEFAULT_RANGES = 256;
    static final int DEFAULT_QUEUE_LIMIT = 1000;
    static final int DEFAULT_COLD_SLOTS = 1;
    static final int DEFAULT_RAMP_REQUESTS = 10;
    static final int DEFAULT_RAMP_MILLIS = 200;
    static final int DEFAULT_SLOTS = 3;

    private static final int MAX_RANGES = 4096;
    private static final DocumentSchema SCHEMA =
            new DocumentSchema(BundleReader.class, "bundle.schema.json", "bundle", ErrorCode.INVALID_BUNDLE);

    private BundleReader() {}

    /**
     * Reads and checks a bundle.
     *
     * @throws org.jackdawslip.internal.json.InvalidDocumentException with {@link ErrorCode#INVALID_BUNDLE}
     *     and every fault of the document
     */
    public static Bundle read(byte[] document) {
        JsonNode root = SCHEMA.parse(document);
        List<Fault> faults = SCHEMA.faults(root);
        checkServices(root, faults);
        checkBackendServers(root, faults);
        if (!faults.isEmpty()) {
            throw SCHEMA.failure(faults);
        }
        return new Bundle(
                root.get("version").asLong(),
                failureDomains(root.get("failureDomains")),
                services(root.get("services")),
                backendServers(root.get("backendServers")));
    }

    private static void checkServices(JsonNode root, List<Fault> faults) {
        Set<String> servicesWithBackendServers = new HashSet<>();
        root.path("backendServers")
                .forEach(server ->
                        servicesWithBackendServers.add(server.path("service").asText()));
        Set<String> names = new HashSet<>();
        for (int i = 0; i < root.path("services").size(); i++) {
            JsonNode service = root.get("services").path(i);
            String path = "$.services[" + i + "]";
            JsonNode name = service.path("name");
            if (name.isTextual()) {
                if (!names.add(name.asText())) {
                    faults.add(Fault.of(path + ".name", name, "a name that no other service has"));
                }
                if (!servicesWithBackendServers.contains(name.asText())) {
                    faults.add(Fault.of(path + ".name", name, "a service with at least one backend server"));
                }
            }
            JsonNode ranges = service.path("ranges");
            if (ranges.isIntegralNumber()) {
                long count = ranges.asLong();
                if (count < 1 || count > MAX_RANGES || Long.bitCount(count) != 1) {
                    faults.add(Fault.of(path + ".ranges", ranges, "a power of two from 1 to " + MAX_RANGES));
                }
            }
        }
    }

    private static void checkBackendServers(JsonNode root, List<Fault> faults) {
        List<String> domains = new ArrayList<>();
        root.path("failureDomains").fieldNames().forEachRemaining(domains::add);
        List<String> services = new ArrayList<>();
        root.path("services")
                .forEach(service -> services.add(service.path("name").asText()));
        Set<String> ids = new HashSet<>();
        Map<String, String> addresses = new HashMap<>();
        for (int i = 0; i < root.path("backendServers").size(); i++) {
            JsonNode server = root.get("backendServers").path(i);
            String path = "$.backendServers[" + i + "]";
            checkReference(path + ".failureDomain", server.path("failureDomain"), "failure domain", domains, faults);
            checkReference(path + ".service", server.path("service"), "service", services, faults);
            JsonNode id = server.path("id");
            if (id.isTextual() && !ids.add(id.asText())) {
                faults.add(Fault.of(path + ".id", id, "an id that no other backend server has"));
            }
            JsonNode host = server.path("host");
            if (host.isTextual() && !Addresses.isIpAddress(host.asText())) {
                faults.add(Fault.of(path + ".host", host, "an IP address"));
            }
            String pathWithSameAddress = addresses.putIfAbsent(host + ":" + server.path("port"), path);
            if (pathWithSameAddress != null && host.isTextual()) {
                faults.add(Fault.of(
                        path + ".port", server.path("port"), "an address other than that of " + pathWithSameAddress));
            }
        }
    }

    private static void checkReference(
            String path, JsonNode value, String kind, List<String> knownNames, List<Fault> faults) {
        if (!value.isTextual() || knownNames.contains(value.asText())) {
            return;
        }
        Optional<String> suggestion = NameSuggestion.find(value.asText(), knownNames);
        faults.add(new Fault(
                path,
                "unknown " + kind + " " + value
                        + suggestion
                                .map(text -> ", did you mean \"" + text + "\"?")
                                .orElse(""),
                "one of " + String.join(", ", knownNames)));
    }

    private static Map<FailureDomainId, DomainState> failureDomains(JsonNode node) {
        Map<FailureDomainId, DomainState> result = new LinkedHashMap<>();
        node.properties()
                .forEach(field -> result.put(
                        new FailureDomainId(field.getKey()),
                        constant(DomainState.class, field.getValue().asText())));
        return result;
    }

    private static Map<ServiceName, ServicePolicy> services(JsonNode node) {
        Map<ServiceName, ServicePolicy> result = new LinkedHashMap<>();
        for (JsonNode service : node) {
            ServiceName name = new ServiceName(service.get("name").asText());
            List<ExecutionRule> rules = new ArrayList<>();
            for (JsonNode rule : service.path("rules")) {
                rules.add(new ExecutionRule(
                        rule.path("method").asText("*"),
                        rule.path("pathPrefix").asText("/"),
                        constant(Execution.class, rule.get("execution").asText())));
            }
            result.put(
                    name,
                    new ServicePolicy(
                            name,
                            constant(Routing.class, service.path("routing").asText("pool")),
                            service.path("checksTokens").asBoolean(true),
                            constant(OnSilence.class, service.path("onSilence").asText("stay")),
                            service.path("ranges").asInt(DEFAULT_RANGES),
                            service.path("queueLimit").asInt(DEFAULT_QUEUE_LIMIT),
                            service.path("coldSlots").asInt(DEFAULT_COLD_SLOTS),
                            service.path("rampRequests").asInt(DEFAULT_RAMP_REQUESTS),
                            service.path("rampMillis").asInt(DEFAULT_RAMP_MILLIS),
                            service.path("hedging").asBoolean(true),
                            rules));
        }
        return result;
    }

    private static Map<BackendServerId, BackendServer> backendServers(JsonNode node) {
        Map<BackendServerId, BackendServer> result = new LinkedHashMap<>();
        for (JsonNode server : node) {
            BackendServerId id = new BackendServerId(server.get("id").asText());
            result.put(
                    id,
                    new BackendServer(
                            id,
                            new ServiceName(server.get("service").asText()),
                            new FailureDomainId(server.get("failureDomain").asText()),
                            server.get("host").asText(),
                            server.get("port").asInt(),
                            server.path("slots").asInt(DEFAULT_SLOTS),
                            server.path("leaving").asBoolean(false)));
        }
        return result;
    }

    private static <E extends Enum<E>> E constant(Class<E> type, String text) {
        return Enum.valueOf(type, text.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
