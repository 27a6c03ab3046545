package org.jackdawslip.internal.traffic;

/** How often a request may run. Immutable and thread-safe. */
public enum RequestKind {
    /** The request may run more than once. */
    IDEMPOTENT {
        @Override
        public boolean repeatable() {
            return true;
        }
    },
    /** Like {@link #IDEMPOTENT}; the responses are large. */
    DOWNLOAD {
        @Override
        public boolean repeatable() {
            return true;
        }
    },
    /** The request must not run more than once. */
    AT_MOST_ONCE {
        @Override
        public boolean repeatable() {
            return false;
        }
    },
    /** A kind that this version does not know. The request is handled like {@link #AT_MOST_ONCE}. */
    UNKNOWN {
        @Override
        public boolean repeatable() {
            return false;
        }
    };

    /** Returns whether a request may get another attempt if the outcome of the previous one is unknown. */
    public abstract boolean repeatable();
}
