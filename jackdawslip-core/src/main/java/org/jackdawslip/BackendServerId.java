package org.jackdawslip;

/**
 * The identifier of one backend server.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the identifier: 1 to 64 letters, digits, dots, hyphens or underscores
 */
public record BackendServerId(String value) implements Comparable<BackendServerId> {

    /**
     * Validates the identifier.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_ARGUMENT} if the value is not a valid
     *     identifier
     */
    public BackendServerId {
        Identifiers.check("backend server id", value);
    }

    @Override
    public int compareTo(BackendServerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
