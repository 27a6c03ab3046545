package org.jackdawslip.internal.json;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One violation of the rules for a JSON document. Immutable and thread-safe.
 *
 * @param path the JSON path of the invalid value, such as {@code $.services[0].ranges}
 * @param problem the description of the problem, which includes the value
 * @param allowed the description of the allowed values
 */
public record Fault(String path, String problem, String allowed) {

    private static final int VALUE_LIMIT = 80;

    /** Returns a fault whose problem is the value itself, shortened if it is long. */
    public static Fault of(String path, JsonNode value, String allowed) {
        return new Fault(path, "value " + shorten(value.toString()), allowed);
    }

    private static String shorten(String text) {
        return text.length() > VALUE_LIMIT ? text.substring(0, VALUE_LIMIT) + "..." : text;
    }

    @Override
    public String toString() {
        return path + ": " + problem + "; allowed: " + allowed;
    }
}
