package org.jackdawslip;

/**
 * The name of one client account.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the identifier: 1 to 64 letters, digits, dots, hyphens or underscores
 */
public record AccountName(String value) implements Comparable<AccountName> {

    /**
     * Validates the identifier.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_ARGUMENT} if the value is not a valid
     *     identifier
     */
    public AccountName {
        Identifiers.check("account name", value);
    }

    @Override
    public int compareTo(AccountName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
