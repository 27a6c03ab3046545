package org.jackdawslip.internal.account;

import java.util.List;

/**
 * The credential that a request carries: a scheme, a space and a key. Only the digest of the key is kept. Immutable
 * and thread-safe.
 *
 * @param status whether there is a key
 * @param key the digest of the key, or null if there is none
 */
public record Credential(Status status, KeyDigest key) {

    /** Longest accepted value. Keys have about 20 characters. */
    public static final int MAX_LENGTH = 512;

    private static final char FIRST_VISIBLE = '!';
    private static final char LAST_VISIBLE = '~';

    /** Whether a request carries a key. */
    public enum Status {
        /** There is exactly one well-formed key. */
        PRESENT,
        /** There is no credential. */
        MISSING,
        /** The credential has another scheme. */
        OTHER_SCHEME,
        /** There is more than one credential. */
        REPEATED,
        /** The key is empty or has characters that no key has. */
        MALFORMED,
        /** The credential exceeds {@link #MAX_LENGTH}. */
        TOO_LONG
    }

    /**
     * Parses the values of the header that carries the credential.
     *
     * @param values all values of the header, in any order
     * @param scheme the scheme of the credential, which is compared without regard to case
     */
    public static Credential parse(List<String> values, String scheme) {
        if (values.isEmpty()) {
            return new Credential(Status.MISSING, null);
        }
        if (values.size() > 1) {
            return new Credential(Status.REPEATED, null);
        }
        String value = values.get(0);
        if (value.length() > MAX_LENGTH) {
            return new Credential(Status.TOO_LONG, null);
        }
        if (!value.regionMatches(true, 0, scheme + " ", 0, scheme.length() + 1)) {
            boolean withoutKey = value.equalsIgnoreCase(scheme);
            return new Credential(withoutKey ? Status.MALFORMED : Status.OTHER_SCHEME, null);
        }
        String key = value.substring(scheme.length() + 1);
        boolean visible = key.chars().allMatch(character -> character >= FIRST_VISIBLE && character <= LAST_VISIBLE);
        return key.isEmpty() || !visible
                ? new Credential(Status.MALFORMED, null)
                : new Credential(Status.PRESENT, KeyDigest.of(key));
    }
}
