package org.jackdawslip.internal.gateway;

import java.util.List;

/** Parses the Retry-After header of backend servers. Stateless and thread-safe. */
final class RetryAfter {

    /**
     * Longest time that is taken from the header, one hour. With a larger value, which is probably wrong, a server
     * would not be used again before its restart.
     */
    static final long MAX_MILLIS = 3_600_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private RetryAfter() {}

    /**
     * Returns the longest of the times in milliseconds. A value that is not a positive number of seconds counts as 0;
     * dates are not used, because the clocks of servers and instances may differ.
     */
    static long parseMillis(List<String> values) {
        long longest = 0;
        for (String value : values) {
            longest = Math.max(longest, parseMillis(value));
        }
        return longest;
    }

    private static long parseMillis(String value) {
        try {
            double millis = MILLIS_PER_SECOND * Double.parseDouble(value.trim());
            return millis > 0 ? (long) Math.ceil(Math.min(MAX_MILLIS, millis)) : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
