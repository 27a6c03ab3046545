package org.jackdawslip.internal.gateway;

/**
 * The names that headers have on the wire. Immutable and thread-safe.
 *
 * @param requestId identifies one try of a caller; backend servers echo it
 * @param remainingMillis how many milliseconds the caller still waits
 * @param signature proves that the answer was made by a backend server
 * @param expectedServer the id of the only backend server that may run the request
 * @param load the load of the backend server: running, waiting, slots and, from some servers, the pace in percent
 * @param notExecuted states that the backend server did not run the request
 * @param serverId the id of the backend server, in health answers
 * @param warmupRemainingMillis how long the backend server stays cold, in health answers
 * @param key the key slot of a request to a keyed service
 * @param handover the state that an owner hands over with a release
 */
public record HeaderNames(
        String requestId,
        String remainingMillis,
        String signature,
        String expectedServer,
        String load,
        String notExecuted,
        String serverId,
        String warmupRemainingMillis,
        String key,
        String handover) {}
