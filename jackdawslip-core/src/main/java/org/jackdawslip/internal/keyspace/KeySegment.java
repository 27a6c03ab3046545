package org.jackdawslip.internal.keyspace;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.FencingToken;
import org.jackdawslip.JackdawslipException;

/**
 * Consecutive key slots with one owner. Immutable and thread-safe.
 *
 * @param first the first slot
 * @param last the last slot, inclusive
 * @param owner the backend server that owns the slots
 * @param ownerStartedAtMillis the life of the owner that the grant is for
 * @param token the fencing token of the grant
 */
public record KeySegment(int first, int last, BackendServerId owner, long ownerStartedAtMillis, FencingToken token) {

    /** Number of key slots of a keyed service. */
    public static final int SLOTS = 65_536;

    /**
     * Checks the bounds.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_ARGUMENT} if they are not valid
     */
    public KeySegment {
        if (first < 0 || last < first || last >= SLOTS) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_ARGUMENT, "key slots " + first + " to " + last + " are not a segment");
        }
    }

    /** Returns the number of slots. */
    public int size() {
        return last - first + 1;
    }

    /** Returns the part of the segment inside the bounds, with the same owner and token. */
    public KeySegment part(int newFirst, int newLast) {
        return new KeySegment(newFirst, newLast, owner, ownerStartedAtMillis, token);
    }
}
