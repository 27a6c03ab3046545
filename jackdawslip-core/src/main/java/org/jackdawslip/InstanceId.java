package org.jackdawslip;

/**
 * The identifier of one entry instance. At most one running process uses an instance id at any time.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the identifier: 1 to 64 letters, digits, dots, hyphens or underscores
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

    /**
     * Validates the identifier.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_ARGUMENT} if the value is not a valid
     *     identifier
     */
    public InstanceId {
        Identifiers.check("instance id", value);
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
