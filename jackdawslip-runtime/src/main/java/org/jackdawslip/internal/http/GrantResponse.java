package org.jackdawslip.internal.http;

/**
 * The response of a backend server to a {@link GrantRequest}. Implementations are immutable and thread-safe.
 */
public sealed interface GrantResponse {

    /**
     * The backend server put the grants in force, at some time between the call and its response.
     *
     * @param startId the start id of the backend server
     * @param serverMillis the monotonic clock of the backend server in milliseconds when it responded
     */
    record Accepted(String startId, long serverMillis) implements GrantResponse {}

    /**
     * Another sender has a higher token.
     *
     * @param senderToken the highest token that the backend server has accepted
     * @param sender the instance that holds that token
     * @param startId the start id of the backend server
     */
    record Stale(long senderToken, String sender, String startId) implements GrantResponse {}

    /**
     * No usable response arrived.
     *
     * @param mayHaveArrived whether the grants may be in force
     * @param message the details
     */
    record Failed(boolean mayHaveArrived, String message) implements GrantResponse {}
}
