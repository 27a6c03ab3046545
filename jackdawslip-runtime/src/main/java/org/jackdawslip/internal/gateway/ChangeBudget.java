package org.jackdawslip.internal.gateway;

/**
 * Divides the time within which a confirmed change has to be in force among the steps from the store's confirmation to
 * the last request that is handled as before it.
 *
 * <p>Invariant: the steps add up to at most the bound, unless the bound is shorter than the steps without a pause.
 * Immutable and thread-safe.
 */
final class ChangeBudget {

    /** Time for the answer to a watch beyond its wait. A slow store answers within 250 ms. */
    static final long ANSWER_MILLIS = 300;
    /** Time for one page. A large one takes 200 ms on a link of 10 Mbit/s that callers use as well. */
    static final long PAGE_MILLIS = 400;
    /** Longest pause before a call is repeated for the first time. */
    static final long RETRY_MILLIS = 50;
    /** Time for reading everything on such a link, and for decoding it. */
    private static final long READ_MILLIS = 250;
    /** Delay of the event loop at a busy instance; a longer one is logged. */
    static final long LOOP_MILLIS = 150;
    /** Time from the decision to send a request to its arrival. */
    private static final long REQUEST_MILLIS = 50;

    /** What follows the wait of a watch: a page without an answer, the whole read again, the request. */
    private static final long STEPS_MILLIS =
            ANSWER_MILLIS + RETRY_MILLIS + PAGE_MILLIS + RETRY_MILLIS + READ_MILLIS + LOOP_MILLIS + REQUEST_MILLIS;

    /**
     * Pause after a watch that brought changes, for each instance of the fleet, so that changes which come together
     * cost one call and the calls of a large fleet stay bounded.
     */
    private static final long PAUSE_MILLIS_PER_INSTANCE = 12;

    private static final long SHORTEST_PAUSE_MILLIS = 400;
    /** Part of the remaining time for the wait of a watch, the rest is for the pause: both cost about as many calls. */
    private static final double WATCH_SHARE = 0.47;
    /** Shortest wait of a watch, for a bound that is too short for the steps. */
    private static final long SHORTEST_WATCH_MILLIS = 100;

    private final long watchMillis;
    private final long longestPauseMillis;

    /** Makes the budget for a bound, from the store's confirmation of a change to its effect. */
    ChangeBudget(long boundMillis) {
        long left = Math.max(0, boundMillis - STEPS_MILLIS);
        watchMillis = Math.max(SHORTEST_WATCH_MILLIS, Math.round(WATCH_SHARE * left));
        longestPauseMillis = Math.max(0, left - watchMillis);
    }

    /** Returns the wait of one watch. It bounds for how long an instance relies on a watch that hears nothing. */
    long watchMillis() {
        return watchMillis;
    }

    /** Returns the pause between two watches if the first brought changes. */
    long pauseMillis(int instances) {
        long pause = Math.max(SHORTEST_PAUSE_MILLIS, PAUSE_MILLIS_PER_INSTANCE * instances);
        return Math.min(longestPauseMillis, pause);
    }

    /** Returns the longest pause for a fleet of any size. */
    long longestPauseMillis() {
        return longestPauseMillis;
    }

    /** Returns the time within which a change is in force and acted upon in a fleet of the given size. */
    long worstMillis(int instances) {
        return pauseMillis(instances) + watchMillis + STEPS_MILLIS;
    }
}
