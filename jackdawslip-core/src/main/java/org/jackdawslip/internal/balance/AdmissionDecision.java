package org.jackdawslip.internal.balance;

/**
 * The decision whether a request is admitted to a server. Immutable and thread-safe.
 *
 * @param reason the reason
 * @param excessMillis the time by which the expected response exceeds its limit, in milliseconds; 0 if admitted
 */
public record AdmissionDecision(Reason reason, double excessMillis) {

    static final AdmissionDecision ADMITTED = new AdmissionDecision(Reason.ADMITTED, 0);

    /** Why a request is admitted or refused. */
    public enum Reason {
        /** The response is expected early enough, or the server has a free slot. */
        ADMITTED("admitted"),
        /** As {@link #ADMITTED}, although more urgent requests need the room, because of the guaranteed minimum. */
        ADMITTED_MINIMUM("admitted-minimum"),
        /** The response is not expected within the limit of the request. */
        TOO_LATE("too-late"),
        /** The queue of the server is kept short for more urgent requests. */
        ROOM_FOR_URGENT("room-for-urgent");

        private final String label;

        Reason(String label) {
            this.label = label;
        }

        /** Returns the value of the metric label. */
        public String label() {
            return label;
        }
    }

    /** Returns whether the request is admitted. */
    public boolean admitted() {
        return reason == Reason.ADMITTED || reason == Reason.ADMITTED_MINIMUM;
    }
}
