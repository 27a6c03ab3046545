package org.jackdawslip.internal.balance;

import java.util.HashMap;
import java.util.Map;

import org.jackdawslip.internal.traffic.HostRoute;

/**
 * Decides for how long an answer to a request is worth waiting for in the queue of a backend server.
 *
 * <p>A queue that is longer than the target latency makes every answer late, while the servers do the same work. A
 * first attempt is therefore admitted only if its answer is expected on time. A caller that was refused and came back
 * is admitted as long as it gets an answer at all. Not thread-safe.
 */
public final class Admission {

    /** A caller that states less than this part of the longest known time has made an attempt before. */
    private static final double FIRST_ATTEMPT_SHARE = 0.97;
    /** Shortest pause that a refused caller is asked to make, in milliseconds; about one request at a server. */
    private static final long SHORTEST_PAUSE_MILLIS = 80;
    /** Longest pause as a part of the remaining time; callers honour up to a third. */
    private static final double LONGEST_PAUSE_SHARE = 0.3;

    private final Map<String, Long> longestRemaining = new HashMap<>();

    /**
     * Returns within which time an answer is useful, in milliseconds from now.
     *
     * @param callerMillis how long the caller still waits
     */
    public long usefulMillis(HostRoute route, long callerMillis) {
        long longest = longestRemaining.merge(route.name(), callerMillis, Math::max);
        long limit = Math.min(callerMillis, route.timeoutMillis());
        boolean first = callerMillis >= FIRST_ATTEMPT_SHARE * longest;
        return first ? Math.min(limit, route.targetLatencyMillis()) : limit;
    }

    /**
     * Returns the pause after which a refused caller may find room, in milliseconds.
     *
     * @param excessMillis by how much the expected time exceeds the useful one
     * @param remainingMillis how long the caller still waits
     */
    public static long pauseMillis(double excessMillis, long remainingMillis) {
        double longest = Math.max(SHORTEST_PAUSE_MILLIS, LONGEST_PAUSE_SHARE * remainingMillis);
        return Math.round(Math.max(SHORTEST_PAUSE_MILLIS, Math.min(longest, excessMillis)));
    }
}
