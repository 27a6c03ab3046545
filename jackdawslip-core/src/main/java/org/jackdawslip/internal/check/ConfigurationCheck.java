package org.jackdawslip.internal.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Checks one routing configuration: invalid values, routes that can never match, and limits that contradict each other.
 * Credentials never appear in a finding. Not thread-safe; a check is used for one document.
 *
 * <pre>{@code
 * List<Finding> findings = new ConfigurationCheck(format, root, memoryBytes, Map.of()).run();
 * }</pre>
 */
public final class ConfigurationCheck {

    /** A cold server receives requests from two instances, each with a third of its rate. */
    private static final double WARMUP_SHARE = 1.0 / 3;

    private final ConfigurationFormat format;
    private final JsonNode root;
    private final long memoryBytes;
    private final Map<String, Integer> serverCounts;
    private final List<Finding> findings = new ArrayList<>();

    /**
     * Creates a check.
     *
     * @param memoryBytes memory of the smallest instance
     * @param serverCounts number of backend servers of services for which it is known
     */
    public ConfigurationCheck(
            ConfigurationFormat format, JsonNode root, long memoryBytes, Map<String, Integer> serverCounts) {
        this.format = format;
        this.root = root;
        this.memoryBytes = memoryBytes;
        this.serverCounts = serverCounts;
    }

    /** Returns all findings in the order of the document. */
    public List<Finding> run() {
        number(root, "$", ConfigurationField.VERSION, true, 1);
        Set<String> services = checkServices();
        checkRoutes(services);
        checkLimits();
        checkAccounts();
        return findings;
    }

    private Set<String> checkServices() {
        Set<String> names = new HashSet<>();
        forEach(root, "$", ConfigurationField.SERVICES, true, (service, path) -> {
            uniqueName(service, path, names);
            Double seconds = number(service, path, ConfigurationField.WARMUP_SECONDS, false, 0);
            Double rate = number(service, path, ConfigurationField.WARMUP_RATE, false, 0);
            if (seconds != null && seconds > 0 && rate != null && rate * WARMUP_SHARE * seconds < 1) {
                warn(
                        at(path, ConfigurationField.WARMUP_RATE),
                        rate + " requests a second for " + seconds
                                + " s are less than one request for each of the two instances"
                                + " that send to a cold server");
            }
        });
        return names;
    }

    private void checkRoutes(Set<String> services) {
        Set<String> names = new HashSet<>();
        Map<String, String> pathsByMatch = new HashMap<>();
        forEach(root, "$", ConfigurationField.ROUTES, true, (route, path) -> {
            uniqueName(route, path, names);
            checkMatch(route, path, pathsByMatch);
            checkKind(route, path);
            checkTimes(route, path);
            checkTargets(route, path, services);
        });
    }

    private void checkMatch(JsonNode route, String path, Map<String, String> pathsByMatch) {
        String host = text(route, path, ConfigurationField.HOST);
        String prefix = text(route, path, ConfigurationField.PREFIX);
        if (prefix != null && !(prefix.startsWith("/") && prefix.endsWith("/"))) {
            error(at(path, ConfigurationField.PREFIX), "\"" + prefix + "\" does not begin and end with a slash");
        }
        if (host != null && prefix != null) {
            String earlier = pathsByMatch.putIfAbsent(host.toLowerCase(Locale.ROOT) + prefix, path);
            if (earlier != null) {
                error(path, "never matches, because " + earlier + " has the same host and prefix");
            }
        }
    }

    private void checkKind(JsonNode route, String path) {
        String kind = text(route, path, ConfigurationField.KIND);
        if (kind != null && !format.kinds().contains(kind)) {
            warn(
                    at(path, ConfigurationField.KIND),
                    "\"" + kind + "\" is unknown, so requests run at most once; known: "
                            + String.join(", ", format.kinds().stream().sorted().toList()));
        }
    }

    private void checkTimes(JsonNode route, String path) {
        Double timeout = number(route, path, ConfigurationField.TIMEOUT_MILLIS, true, 1);
        Double target = number(route, path, ConfigurationField.TARGET_MILLIS, false, 1);
        if (timeout != null && target != null && timeout < target) {
            error(
                    at(path, ConfigurationField.TIMEOUT_MILLIS),
                    "is below " + name(ConfigurationField.TARGET_MILLIS) + " " + target.longValue()
                            + ", so no response can be late but in time");
        }
    }

    private void checkTargets(JsonNode route, String path, Set<String> services) {
        Double attempts = number(route, path, ConfigurationField.MAX_ATTEMPTS, false, 1);
        JsonNode shares = route.path(name(ConfigurationField.SHARES));
        if (!shares.isArray() || shares.isEmpty()) {
            checkService(route, path, services, attempts);
            return;
        }
        double[] total = {0};
        forEach(route, path, ConfigurationField.SHARES, true, (share, sharePath) -> {
            checkService(share, sharePath, services, attempts);
            Double weight = number(share, sharePath, ConfigurationField.WEIGHT, true, 0);
            total[0] += weight == null ? 0 : weight;
            if (weight != null && weight == 0) {
                warn(at(sharePath, ConfigurationField.WEIGHT), "0, so the service receives no requests of this route");
            }
        });
        if (total[0] == 0) {
            error(at(path, ConfigurationField.SHARES), "no service has a weight, so the route serves nothing");
        }
    }

    private void checkService(JsonNode owner, String path, Set<String> services, Double attempts) {
        String service = text(owner, path, ConfigurationField.SERVICE);
        if (service == null) {
            return;
        }
        if (!services.contains(service)) {
            error(at(path, ConfigurationField.SERVICE), "unknown service \"" + service + "\"");
        }
        Integer servers = serverCounts.get(service);
        if (servers != null && attempts != null && attempts > servers) {
            warn(
                    at(path, ConfigurationField.SERVICE),
                    "\"" + service + "\" has " + servers + " servers, fewer than "
                            + name(ConfigurationField.MAX_ATTEMPTS) + " " + attempts.longValue());
        }
    }

    private void checkLimits() {
        JsonNode limits = root.path(name(ConfigurationField.LIMITS));
        String path = at("$", ConfigurationField.LIMITS);
        for (ConfigurationField field :
                List.of(ConfigurationField.MAX_BODY_BYTES, ConfigurationField.MAX_HEADER_BYTES)) {
            Double bytes = number(limits, path, field, false, 1);
            if (bytes != null && bytes > memoryBytes) {
                warn(
                        at(path, field),
                        bytes.longValue() + " bytes are more than the memory of an instance, " + memoryBytes
                                + " bytes");
            }
        }
    }

    private void checkAccounts() {
        Set<String> names = new HashSet<>();
        Map<String, String> credentialPaths = new HashMap<>();
        forEach(root, "$", ConfigurationField.ACCOUNTS, false, (account, path) -> {
            uniqueName(account, path, names);
            Double rate = number(account, path, ConfigurationField.RATE, false, 0);
            Double burst = number(account, path, ConfigurationField.BURST, false, 0);
            if (rate != null && rate > 0 && (burst == null || burst == 0)) {
                warn(
                        at(path, ConfigurationField.BURST),
                        "is 0 or absent although " + name(ConfigurationField.RATE)
                                + " is a limit, so a bucket of this size admits no request");
            }
            JsonNode credentials = account.path(name(ConfigurationField.CREDENTIALS));
            String listPath = at(path, ConfigurationField.CREDENTIALS);
            if (!credentials.isArray() || credentials.isEmpty()) {
                warn(listPath, "has no entry, so the account can send no requests");
            }
            for (int i = 0; i < credentials.size(); i++) {
                String itemPath = listPath + "[" + i + "]";
                JsonNode credential = credentials.get(i);
                if (!credential.isTextual() || credential.asText().isBlank()) {
                    error(itemPath, "must be a string that is not empty");
                    continue;
                }
                String earlier = credentialPaths.putIfAbsent(credential.asText(), itemPath);
                if (earlier != null) {
                    error(itemPath, "is the same as " + earlier);
                }
            }
        });
    }

    private void uniqueName(JsonNode owner, String path, Set<String> names) {
        String name = text(owner, path, ConfigurationField.NAME);
        if (name != null && !names.add(name)) {
            error(at(path, ConfigurationField.NAME), "\"" + name + "\" is the name of an earlier entry");
        }
    }

    private void forEach(JsonNode owner, String path, ConfigurationField field, boolean required, Entry action) {
        JsonNode list = owner.path(name(field));
        if (!list.isArray()) {
            if (required || !list.isMissingNode()) {
                error(at(path, field), "must be a list");
            }
            return;
        }
        for (int i = 0; i < list.size(); i++) {
            String itemPath = at(path, field) + "[" + i + "]";
            if (list.get(i).isObject()) {
                action.check(list.get(i), itemPath);
            } else {
                error(itemPath, "must be an object");
            }
        }
    }

    private String text(JsonNode owner, String path, ConfigurationField field) {
        JsonNode value = owner.path(name(field));
        if (!value.isTextual() || value.asText().isBlank()) {
            error(at(path, field), "must be a string that is not empty");
            return null;
        }
        return value.asText();
    }

    /** Returns a number, or null if it is absent or invalid. */
    private Double number(JsonNode owner, String path, ConfigurationField field, boolean required, double minimum) {
        JsonNode value = owner.path(name(field));
        if (value.isMissingNode() && !required) {
            return null;
        }
        if (!value.isNumber() || value.asDouble() < minimum) {
            error(at(path, field), "must be a number of at least " + (long) minimum + ", but is " + value);
            return null;
        }
        return value.asDouble();
    }

    private String name(ConfigurationField field) {
        return format.name(field);
    }

    private String at(String path, ConfigurationField field) {
        return path + "." + name(field);
    }

    private void error(String path, String problem) {
        findings.add(new Finding(Finding.Severity.ERROR, path, problem));
    }

    private void warn(String path, String problem) {
        findings.add(new Finding(Finding.Severity.WARNING, path, problem));
    }

    private interface Entry {
        void check(JsonNode entry, String path);
    }
}
