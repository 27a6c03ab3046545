package org.jackdawslip.internal.bundle;

/** Whether a failure domain may get new requests, as set by operators. */
public enum DomainState {
    /** The failure domain is in service. */
    IN,
    /** The failure domain was taken out of service and gets no new requests. */
    OUT
}
