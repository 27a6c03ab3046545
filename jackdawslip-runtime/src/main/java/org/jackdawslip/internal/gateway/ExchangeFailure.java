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
    /** The server began to leave while a connection to it was opened; nothing was sent. */
    SERVER_LEAVING {
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
