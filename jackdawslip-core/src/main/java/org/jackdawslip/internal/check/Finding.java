package org.jackdawslip.internal.check;

/**
 * One finding about a configuration. Immutable and thread-safe.
 *
 * @param severity whether the configuration must not be put in force
 * @param path the JSON path of the value
 * @param problem the description of the problem, without secrets
 */
public record Finding(Severity severity, String path, String problem) {

    /** Whether a configuration with the finding must not be put in force. */
    public enum Severity {
        /** The value is invalid, or requests would fail that the configuration is meant to serve. */
        ERROR,
        /** The value is valid but has no effect or an unusual one. */
        WARNING
    }

    @Override
    public String toString() {
        return severity.name().toLowerCase(java.util.Locale.ROOT) + " " + path + ": " + problem;
    }
}
