package org.jackdawslip.internal.gateway;

/**
 * The names of HTTP headers on the platform. Immutable and thread-safe.
 *
 * @param requestId id of one attempt of a caller; backend servers copy it to the response
 * @param remainingMillis time until the caller stops waiting, in milliseconds
 * @param signature proof that a backend server produced the response
 * @param expectedServer id of the only backend server that may execute the request
 * @param load load of the backend server: running requests, waiting requests, slots and, from some servers,
 *     the slowdown in percent
 * @param notExecuted present if the backend server did not execute the request
 * @param serverId id of the backend server, in responses to health checks
 * @param warmupRemainingMillis remaining warm-up time of the backend server, in responses to health checks
 * @param key key slot of a request to a keyed service
 * @param leaving present with the value {@link #LEAVING} if the backend server is shutting down
 * @param account name of the client account of a request, for the backend server
 * @param credentialScheme scheme of the Authorization header with the key of a client account
 * @param handover state that a backend server returns with a release, for the next owner of the keys
 * @param storeEra the era of the store, in all its responses
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
        String leaving,
        String account,
        String credentialScheme,
        String handover,
        String storeEra) {

    /** Value of the header by which a backend server states that it is shutting down. */
    public static final String LEAVING = "1";
}
