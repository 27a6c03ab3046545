package org.jackdawslip.internal.ownership;

/** The intervals, validity periods and time limits of the ownership rules, in milliseconds. */
public final class Timing {

    /** The interval between two heartbeats to one peer. */
    public static final long HEARTBEAT_MILLIS = 200;
    /** The time without messages after which a peer is considered silent. */
    public static final long SUSPECT_MILLIS = 500;
    /**
     * How long a permit or a promise is valid, counted from the sending of the heartbeat that it replies to.
     */
    public static final long PERMIT_MILLIS = 600;
    /** The interval between two renewals of the grants of one backend server. */
    public static final long GRANT_RENEWAL_MILLIS = 150;
    /** How long a grant is valid, counted by the backend server from receipt of the grant call. */
    public static final long GRANT_MILLIS = 500;
    /** The allowance for the difference between the rates of two clocks over one validity period. */
    public static final long CLOCK_ALLOWANCE_MILLIS = 50;
    /** The longest time from sending a grant call to its arrival; the sender then aborts the connection. */
    public static final long GRANT_CALL_MILLIS = 150;
    /** The interval between two calls of {@link DomainMember#tick}. */
    public static final long TICK_MILLIS = 50;
    /** The least interval between two calls to the store for one record. */
    public static final long STORE_RETRY_MILLIS = 200;

    /** The time after which a permit that is issued now has certainly expired. */
    static final long PERMIT_EXPIRY_MILLIS = PERMIT_MILLIS + CLOCK_ALLOWANCE_MILLIS;
    /** The time after which all grants of a grant call that is sent now have certainly expired. */
    static final long GRANT_EXPIRY_MILLIS = GRANT_MILLIS + CLOCK_ALLOWANCE_MILLIS + GRANT_CALL_MILLIS;
    /**
     * How long a coordinator keeps a silent successor that no other instance can replace, so that the
     * successor can take over first. Also the first delay until the coordinator
     * replaces a witness that does not promise.
     */
    static final long REPLACEMENT_DELAY_MILLIS = 1_500;
    /** The interval between reads of the coordinator record by a member without coordinator and successor. */
    static final long UNCOORDINATED_READ_MILLIS = 1_000;
    /** The longest interval between two replacements of a witness that does not promise. */
    static final long MAX_REPLACEMENT_DELAY_MILLIS = 60_000;
    /** The interval between two steps in which a returning failure domain gets a tenth of its ranges. */
    static final long RETURN_STEP_MILLIS = 1_000;

    private Timing() {}
}
