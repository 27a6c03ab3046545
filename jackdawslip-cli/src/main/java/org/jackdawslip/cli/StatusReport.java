package org.jackdawslip.cli;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Combines the status of several instances, as each instance reports itself and the failure domains.
 * Immutable and thread-safe.
 *
 * <p>The field names of {@link #toJson()} are a stable interface, because operators' scripts read them.
 */
final class StatusReport {

    private final List<AdminClient.Response> responses;
    private final long newestVersion;

    StatusReport(List<AdminClient.Response> responses) {
        this.responses = List.copyOf(responses);
        long highestVersion = 0;
        for (AdminClient.Response response : responses) {
            highestVersion = Math.max(highestVersion, bundleVersion(response));
        }
        newestVersion = highestVersion;
    }

    private static long bundleVersion(AdminClient.Response response) {
        return response.body().path("bundleVersion").asLong();
    }

    /** Returns {@code silent}, {@code no-bundle}, {@code behind} or {@code current}. */
    private String responseState(AdminClient.Response response) {
        if (!response.isSuccess()) {
            return "silent";
        }
        return newestVersion == 0 ? "no-bundle" : bundleVersion(response) < newestVersion ? "behind" : "current";
    }

    /** Returns the report in the form that {@code --output json} prints. */
    Map<String, Object> toJson() {
        Map<String, Object> root = new LinkedHashMap<>();
        root.put("bundleVersion", newestVersion);
        root.put("inForceEverywhere", inForceEverywhere());
        root.put("silent", addressesInState("silent"));
        root.put("behind", addressesInState("behind"));
        root.put("duplicateInstances", duplicateInstances());
        root.put("failureDomains", failureDomains());
        List<Object> instances = new ArrayList<>();
        for (AdminClient.Response response : responses) {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("address", response.address());
            entry.put("reply", responseState(response));
            entry.put(
                    response.isSuccess() ? "answer" : "problem",
                    response.isSuccess() ? response.body() : response.problem());
            instances.add(entry);
        }
        root.put("instances", instances);
        root.put("ranges", rangeCountsByOwner());
        return root;
    }

    /**
     * Returns whether all queried instances and all failure domains confirm the newest bundle. An instance or
     * failure domain that does not respond counts as not confirmed.
     */
    private boolean inForceEverywhere() {
        return newestVersion > 0
                && responses.stream()
                        .allMatch(response -> responseState(response).equals("current"))
                && failureDomains().values().stream()
                        .allMatch(state -> state.get("bundle").equals("in-force"));
    }

    private List<String> addressesInState(String state) {
        return responses.stream()
                .filter(response -> responseState(response).equals(state))
                .map(AdminClient.Response::address)
                .toList();
    }

    /**
     * Returns the duplicate instance ids that instances report, and the ids that two of the queried processes
     * share.
     */
    private List<String> duplicateInstances() {
        TreeSet<String> duplicates = new TreeSet<>();
        Map<String, String> startIds = new HashMap<>();
        for (AdminClient.Response response : responses) {
            response.body().path("duplicateInstances").forEach(id -> duplicates.add(id.asText()));
            String id = response.body().path("instance").asText();
            String startId = response.body().path("startId").asText();
            String otherStartId = startIds.putIfAbsent(id, startId);
            if (!id.isEmpty() && otherStartId != null && !otherStartId.equals(startId)) {
                duplicates.add(id);
            }
        }
        return List.copyOf(duplicates);
    }

    /**
     * Returns the state of each failure domain. A failure domain is reported as behind or unreachable if any
     * responding instance reports it so, and as behind if one of its own instances has an older bundle.
     * Reports about the bundle count only from instances that have the newest one.
     */
    private Map<String, Map<String, Object>> failureDomains() {
        Map<String, Map<String, Object>> result = new TreeMap<>();
        for (AdminClient.Response response : responses) {
            response.body().path("domains").properties().forEach(field -> {
                JsonNode reportedDomain = field.getValue();
                Map<String, Object> entry = result.computeIfAbsent(field.getKey(), domain -> {
                    Map<String, Object> created = new LinkedHashMap<>();
                    created.put("state", reportedDomain.path("state").asText());
                    created.put("bundle", "in-force");
                    created.put("cutOffFrom", new TreeSet<String>());
                    return created;
                });
                if (!reportedDomain.path("reachable").asBoolean()) {
                    cutOffFrom(entry).add(response.body().path("failureDomain").asText());
                }
                String bundle = bundleVersion(response) < newestVersion
                        ? "in-force"
                        : reportedDomain.path("bundle").asText();
                if (!bundle.equals("in-force") && !entry.get("bundle").equals("behind")) {
                    entry.put("bundle", bundle);
                }
            });
        }
        for (AdminClient.Response response : responses) {
            Map<String, Object> entry =
                    result.get(response.body().path("failureDomain").asText());
            if (entry != null && responseState(response).equals("behind")) {
                entry.put("bundle", "behind");
            }
        }
        return result;
    }

    @SuppressWarnings("unchecked")
    private static TreeSet<String> cutOffFrom(Map<String, Object> domain) {
        return (TreeSet<String>) domain.get("cutOffFrom");
    }

    /**
     * Counts the ranges of each service by owner. Each failure domain has its own assignment table. The
     * coordinator's copy is used if the coordinator responded, because copies at other instances can be
     * older.
     */
    private Map<String, Map<String, Integer>> rangeCountsByOwner() {
        Map<String, JsonNode> tables = new TreeMap<>();
        for (AdminClient.Response response : responses) {
            String domain = response.body().path("failureDomain").asText();
            boolean coordinator = response.body().path("role").asText().equals("coordinator");
            if (response.isSuccess() && (coordinator || !tables.containsKey(domain))) {
                tables.put(domain, response.body().path("ranges"));
            }
        }
        Map<String, Map<String, Integer>> counts = new TreeMap<>();
        for (JsonNode table : tables.values()) {
            for (JsonNode range : table) {
                String owner = range.path("owner").asText();
                counts.computeIfAbsent(range.path("service").asText(), service -> new TreeMap<>())
                        .merge(owner.isEmpty() ? "none" : owner, 1, Integer::sum);
            }
        }
        return counts;
    }

    /** Prints the report as tables. */
    void print(PrintWriter out) {
        Output.printTable(out, instanceRows());
        out.println();
        out.println(
                newestVersion == 0
                        ? "no instance has a bundle"
                        : "bundle version " + newestVersion + " is "
                                + (inForceEverywhere() ? "in force everywhere" : "not confirmed everywhere"));
        if (!duplicateInstances().isEmpty()) {
            out.println("two processes use the same instance id: " + String.join(", ", duplicateInstances()));
        }
        printTableIfNotEmpty(out, domainRows());
        printTableIfNotEmpty(out, senderRows());
        printTableIfNotEmpty(out, ownerRows());
    }

    private static void printTableIfNotEmpty(PrintWriter out, List<List<String>> rows) {
        if (rows.size() > 1) {
            out.println();
            Output.printTable(out, rows);
        }
    }

    private List<List<String>> instanceRows() {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("address", "reply", "instance", "failureDomain", "bundleVersion", "role", "ready", "problem"));
        for (AdminClient.Response response : responses) {
            JsonNode body = response.body();
            boolean draining = body.path("draining").asBoolean();
            rows.add(List.of(
                    response.address(),
                    responseState(response),
                    body.path("instance").asText("-"),
                    body.path("failureDomain").asText("-"),
                    body.path("bundleVersion").asText("-"),
                    body.path("role").asText("-"),
                    draining ? "draining" : body.path("ready").asText("-"),
                    response.problem()));
        }
        return rows;
    }

    private List<List<String>> domainRows() {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("failureDomain", "state", "bundle", "cutOffFrom"));
        failureDomains()
                .forEach((domain, entry) -> rows.add(List.of(
                        domain,
                        entry.get("state").toString(),
                        entry.get("bundle").toString(),
                        cutOffFrom(entry).isEmpty() ? "-" : String.join(",", cutOffFrom(entry)))));
        return rows;
    }

    private List<List<String>> senderRows() {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("backendServer", "service", "sender", "limit", "inFlight", "queue", "state"));
        for (AdminClient.Response response : responses) {
            for (JsonNode sender : response.body().path("senders")) {
                String state = !sender.path("accepting").asBoolean()
                        ? "no new work"
                        : sender.path("straggler").asBoolean() ? "straggler" : "accepting";
                rows.add(List.of(
                        sender.path("backendServer").asText(),
                        sender.path("service").asText(),
                        response.body().path("instance").asText(),
                        sender.path("limit").asText(),
                        sender.path("inFlight").asText(),
                        sender.path("queueLength").asText(),
                        state));
            }
        }
        return rows;
    }

    private List<List<String>> ownerRows() {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("owner", "service", "ranges"));
        rangeCountsByOwner()
                .forEach((service, counts) ->
                        counts.forEach((owner, count) -> rows.add(List.of(owner, service, Integer.toString(count)))));
        return rows;
    }
}
