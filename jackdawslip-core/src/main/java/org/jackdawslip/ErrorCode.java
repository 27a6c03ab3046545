package org.jackdawslip;

/**
 * The codes of all errors of the product. The names of the constants are stable: scripts and operators may
 * rely on them.
 *
 * <p>Each code has the HTTP status of the response to the caller and states whether the request may have run.
 */
public enum ErrorCode {
    /** An argument of a call or command is not valid. */
    INVALID_ARGUMENT(400, Outcome.NOT_RUN),
    /** A setting is missing, misspelled or out of range. */
    INVALID_SETTINGS(500, Outcome.NOT_RUN),
    /** A request id is missing where it is required, or is not a UUID of version 7. */
    INVALID_REQUEST_ID(400, Outcome.NOT_RUN),
    /** A request lacks a header or has one that is not valid. */
    INVALID_REQUEST(400, Outcome.NOT_RUN),
    /** The request carries no key, or one that no client account has. */
    UNAUTHORIZED(401, Outcome.NOT_RUN),
    /** The client account has used its quota. */
    QUOTA_EXCEEDED(429, Outcome.NOT_RUN),
    /** The instance cannot tell whether the request is within the quota of its client account. */
    QUOTA_UNKNOWN(503, Outcome.NOT_RUN),
    /** The configuration of the instance may be too old to accept a key. */
    CONFIGURATION_OUTDATED(503, Outcome.NOT_RUN),
    /** The bundle has no service with the requested name. */
    UNKNOWN_SERVICE(404, Outcome.NOT_RUN),
    /** The request body exceeds the size limit. */
    BODY_TOO_LARGE(413, Outcome.NOT_RUN),
    /** The key exceeds the size limit. */
    KEY_TOO_LARGE(400, Outcome.NOT_RUN),
    /** The instance has no bundle. */
    NO_BUNDLE(503, Outcome.NOT_RUN),
    /** No backend server is available for the request. */
    NO_BACKEND_SERVER(503, Outcome.NOT_RUN),
    /** The range of the key has no reachable owner. */
    NO_OWNER(503, Outcome.NOT_RUN),
    /** The queue for the service is full. */
    QUEUE_FULL(503, Outcome.NOT_RUN),
    /** The deadline passed before the request was sent to a backend server. */
    DEADLINE_EXCEEDED(504, Outcome.NOT_RUN),
    /** Instances have different routes for the key, for example during a move. */
    ROUTE_UNSETTLED(503, Outcome.NOT_RUN),
    /** A backend server rejected the request without running it. */
    BACKEND_REFUSED(503, Outcome.NOT_RUN),
    /** The registry of request ids is full. */
    REGISTRY_FULL(503, Outcome.NOT_RUN),
    /** The instance is stopping and accepts no new requests. */
    STOPPING(503, Outcome.NOT_RUN),
    /** The request was sent to a backend server and its outcome is unknown. */
    OUTCOME_UNKNOWN(504, Outcome.UNKNOWN),
    /** A bundle document or its signature is not valid. */
    INVALID_BUNDLE(400, Outcome.NOT_RUN),
    /** The bundle was changed concurrently, or the version does not follow the one in force. */
    BUNDLE_CONFLICT(409, Outcome.NOT_RUN),
    /** The store did not respond or responded with an error. */
    STORE_UNAVAILABLE(503, Outcome.NOT_RUN),
    /** A peer instance was unreachable or violated the protocol. */
    PEER_UNAVAILABLE(503, Outcome.NOT_RUN),
    /** A configured address could not be bound. */
    ADDRESS_IN_USE(500, Outcome.NOT_RUN),
    /** An unexpected internal error occurred. */
    INTERNAL(500, Outcome.UNKNOWN);

    private final int httpStatus;
    private final Outcome outcome;

    ErrorCode(int httpStatus, Outcome outcome) {
        this.httpStatus = httpStatus;
        this.outcome = outcome;
    }

    /** Returns the HTTP status of a response with this code. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns whether a request that failed with this code may have run. */
    public Outcome outcome() {
        return outcome;
    }
}
