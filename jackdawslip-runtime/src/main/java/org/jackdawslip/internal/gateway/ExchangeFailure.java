package org.jackdawslip.internal.gateway;

/** The reason why an exchange with a server ended without a response. */
enum ExchangeFailure {
    /** No connection could be opened; nothing was sent. */
    NOT_CONNECTED {
        @Override
        boolean mayHaveRun() {
            return false;
        }
    },
    /** All permitted connections are in use; nothing was sent. */
    NO_CONNECTION_FREE {
        @Override
        boolean mayHaveRun() {
            return false;
        }
    },
    /**
     * The listener withdrew the request, because the server is draining or cold or the deadline has passed;
     * nothing was sent.
     */
    WITHDRAWN {
        @Override
        boolean mayHaveRun() {
            return false;
        }
    },
    /** A state probe returned no valid state report; the request was not sent. */
    NO_STATEMENT {
        @Override
        boolean mayHaveRun() {
            return false;
        }
    },
    /** The state reports expired before this instance processed them; the request was not sent. */
    LATE_STATEMENT {
        @Override
        boolean mayHaveRun() {
            return false;
        }
    },
    /** The server refused the state probe because it is overloaded; the request was not sent. */
    SERVER_FULL {
        @Override
        boolean mayHaveRun() {
            return false;
        }
    },
    /** The address belongs to another server; the request was not sent. */
    OTHER_SERVER {
        @Override
        boolean mayHaveRun() {
            return false;
        }
    },
    /** The connection was closed or reset after the request was sent. */
    CONNECTION_LOST {
        @Override
        boolean mayHaveRun() {
            return true;
        }
    },
    /** The received bytes are not a valid response to the request. */
    MALFORMED_ANSWER {
        @Override
        boolean mayHaveRun() {
            return true;
        }
    },
    /** No response arrived within the time limit. */
    TIMED_OUT {
        @Override
        boolean mayHaveRun() {
            return true;
        }
    };

    /** Returns whether the server may have executed the request. */
    abstract boolean mayHaveRun();
}
