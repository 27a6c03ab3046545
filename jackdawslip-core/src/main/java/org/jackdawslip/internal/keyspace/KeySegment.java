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
 * @param ownerStartedAtMillis start of the incarnation of the owner that the grant is for, in milliseconds
 *     since the epoch
 * @param token the fencing token of the grant
 */
public record KeySegment(int first, int last, BackendServerId owner, long ownerStartedAtMillis, FencingToken token) {

    /** Number of key slots of a keyed service. */
    public static final int SLOTS = 65_536;

    /**
     * Creates a segment.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_ARGUMENT} if the slots are out of range or
     *     in reverse order
     */
    public KeySegment {
        if (first < 0 || last < first || last >= SLOTS) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_ARGUMENT, "key slots " + first + " to " + last + " are not a valid range");
        }
    }

    /** Returns the number of key slots in the segment. */
    public int size() {
        return last - first + 1;
    }

    /** Returns the given slots of the segment as a segment with the same owner and token. */
    public KeySegment subsegment(int newFirst, int newLast) {
        return new KeySegment(newFirst, newLast, owner, ownerStartedAtMillis, token);
    }
}
