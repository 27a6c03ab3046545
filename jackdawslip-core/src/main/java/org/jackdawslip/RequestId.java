package org.jackdawslip;

import java.util.UUID;

/**
 * The identifier of a request that runs at most once: a UUID of version 7 (RFC 9562), which contains its
 * creation time.
 *
 * <p>Immutable and thread-safe.
 *
 * <pre>{@code
 * RequestId id = RequestId.parse("01936f2e-7c00-7000-8000-000000000001");
 * long created = id.createdAtMillis();
 * }</pre>
 *
 * @param value the UUID
 */
public record RequestId(UUID value) {

    private static final int TIME_ORDERED_VERSION = 7;

    /**
     * Validates the version of the UUID.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_REQUEST_ID} if the value is null or not of
     *     version 7
     */
    public RequestId {
        if (value == null || value.version() != TIME_ORDERED_VERSION) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_REQUEST_ID, "request id " + value + " is not a UUID of version 7");
        }
    }

    /**
     * Parses the text form of a UUID.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_REQUEST_ID} if the text is not a UUID of
     *     version 7
     */
    public static RequestId parse(String text) {
        UUID uuid;
        try {
            uuid = UUID.fromString(text);
        } catch (IllegalArgumentException e) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_REQUEST_ID, "request id \"" + text + "\" is not a UUID of version 7", e);
        }
        return new RequestId(uuid);
    }

    /**
     * Creates an id from a creation time and random bits.
     *
     * @param createdAtMillis the creation time in milliseconds since the epoch, at most 48 bits
     * @param randomHigh random bits, of which the lowest 12 are used
     * @param randomLow random bits, of which the lowest 62 are used
     */
    public static RequestId of(long createdAtMillis, long randomHigh, long randomLow) {
        long high = (createdAtMillis << 16) | 0x7000L | (randomHigh & 0xFFFL);
        long low = 0x8000_0000_0000_0000L | (randomLow & 0x3FFF_FFFF_FFFF_FFFFL);
        return new RequestId(new UUID(high, low));
    }

    /**
     * Returns the creation time in milliseconds since the epoch, by the clock of the caller that made the id.
     */
    public long createdAtMillis() {
        return value.getMostSignificantBits() >>> 16;
    }

    @Override
    public String toString() {
        return value.toString();
    }
}
