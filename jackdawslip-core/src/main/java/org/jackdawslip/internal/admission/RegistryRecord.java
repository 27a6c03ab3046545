package org.jackdawslip.internal.admission;

import org.jackdawslip.RequestId;

/**
 * The record of one request id in a {@link RequestRegistry}. The body is not copied and must not be changed.
 *
 * @param id the request id
 * @param keyHash the hash of the key of the request
 * @param state the state of the request
 * @param status the HTTP status if done, else 0
 * @param body the response body if done and recorded, else null
 */
public record RegistryRecord(RequestId id, long keyHash, State state, int status, byte[] body) {

    /** The state of a request. */
    public enum State {
        /** The request is queued or in flight, without a response yet. */
        RUNNING,
        /** The request ran and its response is recorded. */
        DONE,
        /** The request may have run. */
        UNKNOWN
    }
}
