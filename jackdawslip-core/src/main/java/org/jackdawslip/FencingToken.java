package org.jackdawslip;

/**
 * A fencing token, which orders the grants of one right: the holder with the higher token replaces the other
 * one.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the token, compared as a signed number; 0 means that no grant was made yet
 */
public record FencingToken(long value) implements Comparable<FencingToken> {

    /** The token before the first grant. */
    public static final FencingToken NONE = new FencingToken(0);

    /**
     * Validates the token.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_ARGUMENT} if the value is negative
     */
    public FencingToken {
        if (value < 0) {
            throw new JackdawslipException(ErrorCode.INVALID_ARGUMENT, "fencing token " + value + " is negative");
        }
    }

    /** Returns the next higher token. */
    public FencingToken next() {
        return new FencingToken(value + 1);
    }

    @Override
    public int compareTo(FencingToken other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
