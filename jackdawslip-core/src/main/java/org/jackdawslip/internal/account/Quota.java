package org.jackdawslip.internal.account;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;

/**
 * The limit on the requests of one client account over all instances. Immutable and thread-safe.
 *
 * @param requestsPerSecond the sustained rate, in requests per second; 0 means no limit
 * @param burst the number of requests beyond the sustained rate that may be admitted at once
 */
public record Quota(double requestsPerSecond, double burst) {

    /** The quota of an account without a limit. */
    public static final Quota UNLIMITED = new Quota(0, 0);

    /**
     * Checks the quota.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_BUNDLE} if a value is negative or not a number
     */
    public Quota {
        if (!(requestsPerSecond >= 0) || !(burst >= 0)) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_BUNDLE,
                    "a quota needs a rate and a burst of 0 or more, but has " + requestsPerSecond + " and " + burst);
        }
    }

    /** Returns whether the account has a limit. */
    public boolean limited() {
        return requestsPerSecond > 0;
    }
}
