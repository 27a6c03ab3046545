package org.jackdawslip;

import java.util.regex.Pattern;

/** Validates the text of identifiers. Stateless and thread-safe. */
final class Identifiers {

    private static final Pattern VALID = Pattern.compile("[A-Za-z0-9._-]{1,64}");

    private Identifiers() {}

    static void check(String kind, String value) {
        if (value == null || !VALID.matcher(value).matches()) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_ARGUMENT,
                    kind + " \"" + abbreviate(value)
                            + "\" is not valid: use 1 to 64 letters, digits, dots, hyphens or underscores");
        }
    }

    private static String abbreviate(String value) {
        return value != null && value.length() > 80 ? value.substring(0, 80) + "..." : value;
    }
}
