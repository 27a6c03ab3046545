package org.jackdawslip.internal.http;

/**
 * One header line of a request or response. Immutable and thread-safe.
 *
 * @param name the name, case-insensitive
 * @param value the value
 */
public record HttpHeader(String name, String value) {

    /** Returns whether this header has the given name, ignoring case. */
    public boolean is(String other) {
        return name.equalsIgnoreCase(other);
    }
}
