package org.jackdawslip.internal.check;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Describes the differences between two configurations in words. Entries of lists are matched by their name or id, so
 * their order does not matter. Values of secret fields are only counted. Stateless apart from the names of the secret
 * fields; thread-safe.
 */
public final class DocumentDifferences {

    private static final List<String> IDENTIFIERS = List.of("name", "id");

    private final Set<String> secretFields;

    /** Creates a comparison that does not show values of the given fields. */
    public DocumentDifferences(Set<String> secretFields) {
        this.secretFields = Set.copyOf(secretFields);
    }

    /** Returns one line for each difference. */
    public List<String> describe(JsonNode inForce, JsonNode next) {
        List<String> lines = new ArrayList<>();
        compare("", "", inForce, next, lines);
        return lines;
    }

    private void compare(String path, String field, JsonNode before, JsonNode after, List<String> lines) {
        if (before.equals(after)) {
            return;
        }
        if (secretFields.contains(field)) {
            Set<JsonNode> removed = items(before);
            Set<JsonNode> added = items(after);
            removed.removeAll(items(after));
            added.removeAll(items(before));
            lines.add(path + ": " + added.size() + " added, " + removed.size() + " removed");
        } else if (before.isObject() && after.isObject()) {
            compareEntries(path, entries(before), entries(after), lines);
        } else if (isNamedList(before) && isNamedList(after) && !(before.isEmpty() && after.isEmpty())) {
            compareEntries(path, namedEntries(before), namedEntries(after), lines);
        } else {
            lines.add(path + ": " + before + " becomes " + after);
        }
    }

    private void compareEntries(
            String path, Map<String, JsonNode> before, Map<String, JsonNode> after, List<String> lines) {
        Set<String> names = new LinkedHashSet<>(before.keySet());
        names.addAll(after.keySet());
        for (String name : names) {
            String entryPath = path.isEmpty() ? name : path + (name.startsWith("\"") ? " " : ".") + name;
            if (!after.containsKey(name)) {
                lines.add(entryPath + ": removed");
            } else if (!before.containsKey(name)) {
                JsonNode value = after.get(name);
                lines.add(entryPath + ": added"
                        + (value.isValueNode() && !secretFields.contains(name) ? ", " + value : ""));
            } else {
                compare(entryPath, name, before.get(name), after.get(name), lines);
            }
        }
    }

    private static Set<JsonNode> items(JsonNode list) {
        Set<JsonNode> items = new LinkedHashSet<>();
        list.forEach(items::add);
        return items;
    }

    private static Map<String, JsonNode> entries(JsonNode object) {
        Map<String, JsonNode> entries = new LinkedHashMap<>();
        for (Iterator<String> names = object.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            entries.put(name, object.get(name));
        }
        return entries;
    }

    private static boolean isNamedList(JsonNode list) {
        boolean named = list.isArray();
        for (JsonNode entry : list) {
            named &= identifier(entry) != null;
        }
        return named;
    }

    private static Map<String, JsonNode> namedEntries(JsonNode list) {
        Map<String, JsonNode> entries = new LinkedHashMap<>();
        list.forEach(entry -> entries.put('"' + identifier(entry) + '"', entry));
        return entries;
    }

    private static String identifier(JsonNode entry) {
        return IDENTIFIERS.stream()
                .filter(name -> entry.path(name).isTextual())
                .map(name -> entry.get(name).asText())
                .findFirst()
                .orElse(null);
    }
}
