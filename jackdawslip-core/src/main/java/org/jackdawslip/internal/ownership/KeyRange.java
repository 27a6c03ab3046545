package org.jackdawslip.internal.ownership;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;

/**
 * An interval of the unsigned 64-bit hash space, including both ends. Immutable and thread-safe.
 *
 * @param first the lowest hash
 * @param last the highest hash
 */
public record KeyRange(long first, long last) implements Comparable<KeyRange> {

    /** The whole hash space. */
    public static final KeyRange ALL = new KeyRange(0, -1L);

    /**
     * Checks that the interval is not empty.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_ARGUMENT} if the last hash is below the
     *     first
     */
    public KeyRange {
        if (Long.compareUnsigned(first, last) > 0) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_ARGUMENT,
                    "key range ends before it starts: first " + Long.toUnsignedString(first) + ", last "
                            + Long.toUnsignedString(last));
        }
    }

    /** Returns whether the hash lies in the range. */
    public boolean contains(long hash) {
        return Long.compareUnsigned(first, hash) <= 0 && Long.compareUnsigned(hash, last) <= 0;
    }

    /** Returns whether the two ranges share a hash. */
    public boolean overlaps(KeyRange other) {
        return Long.compareUnsigned(first, other.last) <= 0 && Long.compareUnsigned(other.first, last) <= 0;
    }

    @Override
    public int compareTo(KeyRange other) {
        int byFirst = Long.compareUnsigned(first, other.first);
        return byFirst != 0 ? byFirst : Long.compareUnsigned(last, other.last);
    }

    @Override
    public String toString() {
        return String.format("%016x-%016x", first, last);
    }
}
