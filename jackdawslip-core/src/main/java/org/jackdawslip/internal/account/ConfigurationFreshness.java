package org.jackdawslip.internal.account;

import org.jackdawslip.internal.time.MonotonicClock;
import org.jackdawslip.internal.time.SuspensionDetector;

/**
 * Decides whether the configuration in force is certainly recent enough for requests with a key.
 *
 * <p>A configuration that revokes a key may be confirmed by the store at any moment after the start of the call whose
 * response showed the state of the store. Invariant: if {@link #isRecent} returns true, every configuration that was
 * confirmed earlier than the time limit before is in force. The age counts on the monotonic clock of this instance, so
 * the limit is reduced by the largest rate error of that clock and by the suspensions that are not detected. Not
 * thread-safe.
 */
public final class ConfigurationFreshness {

    /** Largest rate error of the monotonic clock, as for grants. */
    private static final double CLOCK_RATE_ERROR = 0.02;

    private final MonotonicClock clock;
    private final SuspensionDetector suspensions;
    private final long maxAgeMillis;
    private boolean viewKnown;
    private long currentAt;
    private boolean storedConfigurationInForce;

    /**
     * Creates the state of an instance that knows no configuration.
     *
     * @param limitMillis time from the confirmation of a configuration until no request is handled by an earlier one
     */
    public ConfigurationFreshness(MonotonicClock clock, SuspensionDetector suspensions, long limitMillis) {
        this.clock = clock;
        this.suspensions = suspensions;
        long rateErrorMillis = (long) Math.ceil(CLOCK_RATE_ERROR * limitMillis);
        this.maxAgeMillis = limitMillis - rateErrorMillis - suspensions.maxUndetectedMillis(limitMillis);
    }

    /** Returns the largest age of the view, in milliseconds, with which the configuration counts as recent. */
    public long maxAgeMillis() {
        return maxAgeMillis;
    }

    /**
     * Records what the store holds.
     *
     * @param inForce whether the accounts of the stored configuration are in force; false if it cannot be used
     */
    public void recordStoredConfiguration(boolean inForce) {
        storedConfigurationInForce = inForce;
    }

    /**
     * Records that all changes were applied that the store had confirmed at the given monotonic time in milliseconds.
     * It has no effect while the stored configuration is not in force.
     */
    public void recordView(long newCurrentAt) {
        // The detector is asked at each view, so that the wall clock may be adjusted while there are no requests.
        boolean continuous = suspensions.noneSince(newCurrentAt);
        if (storedConfigurationInForce && continuous) {
            currentAt = viewKnown ? Math.max(currentAt, newCurrentAt) : newCurrentAt;
            viewKnown = true;
        }
    }

    /** Returns whether the configuration in force is certainly recent enough. */
    public boolean isRecent() {
        return viewKnown && ageMillis() <= maxAgeMillis && suspensions.noneSince(currentAt);
    }

    /** Returns the age of the last view in milliseconds, or the largest value if there is none. */
    public long ageMillis() {
        return viewKnown ? clock.millis() - currentAt : Long.MAX_VALUE;
    }
}
