package org.jackdawslip.internal.durable;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;

/**
 * The number of times that the store came back from an earlier copy of itself. Revisions of different eras cannot be
 * compared, because the store gives out again those that the copy does not contain.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the number that the store states, or 0 if it states none
 */
public record StoreEra(long number) implements Comparable<StoreEra> {

    /** The era of a store that states none. */
    public static final StoreEra NONE = new StoreEra(0);

    /**
     * Validates the era.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_ARGUMENT} if the number is negative
     */
    public StoreEra {
        if (number < 0) {
            throw new JackdawslipException(ErrorCode.INVALID_ARGUMENT, "store era " + number + " is negative");
        }
    }

    /**
     * Returns the era that a store states, {@link #NONE} if it states none.
     *
     * @param text the decimal number, or null
     * @throws JackdawslipException with {@link ErrorCode#INVALID_ARGUMENT} if the text is not a number of at most 63
     *     bits
     */
    public static StoreEra parse(String text) {
        if (text == null) {
            return NONE;
        }
        try {
            return new StoreEra(Long.parseLong(text.trim()));
        } catch (NumberFormatException e) {
            throw new JackdawslipException(ErrorCode.INVALID_ARGUMENT, "store era \"" + text + "\" is not a number", e);
        }
    }

    /** Returns whether the store has certainly come back from a copy before, whether it counts from 0 or from 1. */
    public boolean followsReturn() {
        return number > 1;
    }

    @Override
    public int compareTo(StoreEra other) {
        return Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return Long.toString(number);
    }
}
