package org.jackdawslip.internal.gateway;

/** Why an exchange with a server ended without an answer. */
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
    /** The listener withdrew the request, because the server leaves, is cold or is too late; nothing was sent. */
    WITHDRAWN {
        @Override
        boolean mayHaveRun() {
            return false;
        }
    },
    /** The server was asked for its state and did not tell it; the request was not sent. */
    NO_STATEMENT {
        @Override
        boolean mayHaveRun() {
            return false;
        }
    },
    /** The server told its state, but this instance took the answers too late to rely on them; nothing was sent. */
    LATE_STATEMENT {
        @Override
        boolean mayHaveRun() {
            return false;
        }
    },
    /** The server had no room for the question about its state; the request was not sent. */
    SERVER_FULL {
        @Override
        boolean mayHaveRun() {
            return false;
        }
    },
    /** Another server has the address; the request was not sent. */
    OTHER_SERVER {
        @Override
        boolean mayHaveRun() {
            return false;
        }
    },
    /** The connection ended after the request was sent. */
    CONNECTION_LOST {
        @Override
        boolean mayHaveRun() {
            return true;
        }
    },
    /** The bytes received are not an answer. */
    MALFORMED_ANSWER {
        @Override
        boolean mayHaveRun() {
            return true;
        }
    },
    /** There was no answer in time. */
    TIMED_OUT {
        @Override
        boolean mayHaveRun() {
            return true;
        }
    };

    /** Returns whether the server may have run the request. */
    abstract boolean mayHaveRun();
}
