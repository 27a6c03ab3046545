package org.jackdawslip.internal.gateway;

import io.netty.handler.codec.http.HttpResponseStatus;

/** Why a request of a caller is refused, or its connection closed, to protect the instance. */
enum CallerRefusal {
    /** There is no memory for the request. */
    MEMORY("memory", HttpResponseStatus.SERVICE_UNAVAILABLE),
    /** The client was the slowest one when memory was needed. */
    SLOWEST("slowest", HttpResponseStatus.SERVICE_UNAVAILABLE),
    /** The headers of a request took too long. */
    HEADER_TIMEOUT("header-timeout", HttpResponseStatus.REQUEST_TIMEOUT),
    /** The body of a request took too long. */
    BODY_TIMEOUT("body-timeout", HttpResponseStatus.REQUEST_TIMEOUT),
    /** The client does not read its responses. */
    UNREAD_RESPONSE("unread-response", null),
    /** Every place for a connection is taken by a connection with an open request. */
    CONNECTIONS("connections", null),
    /** Another connection needed the place of this one. */
    REPLACED("replaced", null),
    /** The connection failed, for example because the heap was exhausted. */
    FAULT("fault", null);

    private final String label;
    private final HttpResponseStatus status;

    CallerRefusal(String label, HttpResponseStatus status) {
        this.label = label;
        this.status = status;
    }

    /** Returns the name in metrics and log events. */
    String label() {
        return label;
    }

    /** Returns the status of the response, or null if the connection is closed without one. */
    HttpResponseStatus status() {
        return status;
    }
}
