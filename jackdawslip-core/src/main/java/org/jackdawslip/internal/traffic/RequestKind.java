package org.jackdawslip.internal.traffic;

/** How often a request may run. */
public enum RequestKind {
    /** The request may run more than once. */
    IDEMPOTENT {
        @Override
        public boolean repeatable() {
            return true;
        }
    },
    /** The request runs once or not at all. */
    AT_MOST_ONCE {
        @Override
        public boolean repeatable() {
            return false;
        }
    };

    /** Returns whether a request with an unknown outcome may be sent again. */
    public abstract boolean repeatable();
}
