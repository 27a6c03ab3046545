package org.jackdawslip.internal.gateway;

/**
 * Divides the time limit for putting a confirmed change in force among the steps between the confirmation by
 * the store and the last request that is handled as before the change.
 *
 * <p>Invariant: the steps add up to at most the limit, unless the limit is shorter than the steps of fixed
 * duration. Immutable and thread-safe.
 */
final class ChangeTimeBudget {

    /** Time for the response to a watch after its wait. A slow store responds within 250 ms. */
    static final long WATCH_RESPONSE_MILLIS = 300;
    /**
     * Time for one page. A large page takes 200 ms on a link of 10 Mbit/s shared with the traffic of callers.
     */
    static final long PAGE_READ_MILLIS = 400;
    /** Longest delay before the first retry of a call. */
    static final long MAX_FIRST_RETRY_DELAY_MILLIS = 50;
    /** Time for reading all records on such a link of 10 Mbit/s and for decoding them. */
    private static final long FULL_READ_MILLIS = 250;
    /** Delay of tasks on the event loop of an instance under load. Longer delays are logged. */
    static final long EVENT_LOOP_DELAY_MILLIS = 150;
    /** Time from the choice of a backend server for a request to the arrival of the request there. */
    private static final long REQUEST_DELIVERY_MILLIS = 50;

    /** Time for passing a change on from the instance that watches the store to the others of its failure domain. */
    private static final long FEED_DELIVERY_MILLIS = 50;
    /** Longest wait of a watch at another instance; such watches cause no calls to the store. */
    private static final long MAX_SOURCE_WAIT_MILLIS = 800;
    /** Part of the time limit for the wait of a watch at another instance that does not answer. */
    private static final double SOURCE_WAIT_SHARE = 0.4;

    /**
     * Steps after the wait of a watch in the worst case: its response, a page without a response, the full
     * read again, the delay of the event loop, the delivery to another instance, the delay of its event loop, and a
     * request.
     */
    private static final long FIXED_STEPS_MILLIS = WATCH_RESPONSE_MILLIS
            + MAX_FIRST_RETRY_DELAY_MILLIS
            + PAGE_READ_MILLIS
            + MAX_FIRST_RETRY_DELAY_MILLIS
            + FULL_READ_MILLIS
            + EVENT_LOOP_DELAY_MILLIS
            + FEED_DELIVERY_MILLIS
            + EVENT_LOOP_DELAY_MILLIS
            + REQUEST_DELIVERY_MILLIS;

    /**
     * Delay per live instance after a watch that returned changes. The delay combines changes in quick
     * succession into one call and limits the call rate of a large fleet.
     */
    private static final long DELAY_MILLIS_PER_INSTANCE = 12;

    private static final long MIN_DELAY_MILLIS = 400;
    /** Part of the variable time for the wait of a watch. The rest, the delay, causes about as many calls. */
    private static final double WATCH_SHARE = 0.47;
    /** Shortest wait of a watch, for limits that are too short for the fixed steps. */
    private static final long MIN_WATCH_WAIT_MILLIS = 100;

    private final long watchWaitMillis;
    private final long sourceWaitMillis;
    private final long maxWatchDelayMillis;

    /**
     * Creates a budget for the time limit in milliseconds from the confirmation of a change to its effect.
     */
    ChangeTimeBudget(long limitMillis) {
        long variableMillis = Math.max(0, limitMillis - FIXED_STEPS_MILLIS);
        watchWaitMillis = Math.max(MIN_WATCH_WAIT_MILLIS, Math.round(WATCH_SHARE * variableMillis));
        sourceWaitMillis = Math.min(MAX_SOURCE_WAIT_MILLIS, Math.round(SOURCE_WAIT_SHARE * limitMillis));
        maxWatchDelayMillis = Math.max(0, variableMillis - watchWaitMillis);
    }

    /**
     * Returns the wait of one watch, which limits how long an instance relies on a watch that misses changes.
     */
    long watchWaitMillis() {
        return watchWaitMillis;
    }

    /** Returns the wait of one watch at another instance that watches the store. */
    long sourceWaitMillis() {
        return sourceWaitMillis;
    }

    /**
     * Returns the largest age of the view of an instance whose watches at the store are answered. An older view must
     * not be passed on, because its changes would be later than a watch at the store.
     */
    long maxSourceViewAgeMillis() {
        return maxWatchDelayMillis + watchWaitMillis + WATCH_RESPONSE_MILLIS;
    }

    /** Returns the delay between two watches if the first one returned changes. */
    long watchDelayMillis(int instances) {
        long delayMillis = Math.max(MIN_DELAY_MILLIS, DELAY_MILLIS_PER_INSTANCE * instances);
        return Math.min(maxWatchDelayMillis, delayMillis);
    }

    /** Returns the longest such delay for a fleet of any size. */
    long maxWatchDelayMillis() {
        return maxWatchDelayMillis;
    }

    /**
     * Returns the worst-case time from a change to the last request without it, in a fleet of the given size.
     */
    long worstCaseMillis(int instances) {
        return watchDelayMillis(instances) + watchWaitMillis + FIXED_STEPS_MILLIS;
    }
}
