package org.jackdawslip;

/**
 * The name of one service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the identifier: 1 to 64 letters, digits, dots, hyphens or underscores
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

    /**
     * Validates the identifier.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_ARGUMENT} if the value is not a valid
     *     identifier
     */
    public ServiceName {
        Identifiers.check("service name", value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
