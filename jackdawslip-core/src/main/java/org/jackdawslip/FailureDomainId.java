package org.jackdawslip;

/**
 * The identifier of one failure domain.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the identifier: 1 to 64 letters, digits, dots, hyphens or underscores
 */
public record FailureDomainId(String value) implements Comparable<FailureDomainId> {

    /**
     * Validates the identifier.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_ARGUMENT} if the value is not a valid
     *     identifier
     */
    public FailureDomainId {
        Identifiers.check("failure domain id", value);
    }

    @Override
    public int compareTo(FailureDomainId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
