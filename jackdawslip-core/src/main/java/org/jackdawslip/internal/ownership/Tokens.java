package org.jackdawslip.internal.ownership;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.FencingToken;
import org.jackdawslip.InstanceId;
import org.jackdawslip.JackdawslipException;

/** Encodes versions as fencing tokens that have the same order as the versions. Stateless and thread-safe. */
final class Tokens {

    /** Allows 16 million tables in one epoch. */
    private static final int NUMBER_BITS = 24;
    /** Allows one million changes of the coordinator record of one failure domain. */
    private static final int EPOCH_BITS = 20;
    /** Allows 500,000 changes of the homes record of one service. */
    private static final int HOME_BITS = 19;

    /** Allows one million claims of one backend server in one epoch. */
    private static final int CLAIM_BITS = 20;
    /**
     * With 23 bits, two of twelve instance ids have the same hash bits with a probability of 8 in a million.
     */
    private static final int CLAIMANT_BITS = 23;

    private Tokens() {}

    /** Returns the token of a range whose owner is assigned in the given table version. */
    static FencingToken rangeToken(long homeVersion, TableVersion version) {
        checkFits("home version", homeVersion, HOME_BITS);
        checkFits("epoch", version.epoch(), EPOCH_BITS);
        checkFits("table number", version.number(), NUMBER_BITS);
        return new FencingToken(
                homeVersion << (EPOCH_BITS + NUMBER_BITS) | version.epoch() << NUMBER_BITS | version.number());
    }

    /**
     * Returns a sender token that is higher than the newest one that the claimant has observed. Tokens of two
     * claimants differ, so a backend server accepts only one of two concurrent claims, and a claim under an
     * older epoch has a lower token than one under a newer epoch.
     */
    static FencingToken claimToken(FencingToken newestToken, long epoch, InstanceId claimant) {
        long count = claimEpoch(newestToken) < epoch
                ? 1
                : (newestToken.value() >>> CLAIMANT_BITS & (1L << CLAIM_BITS) - 1) + 1;
        checkFits("epoch", epoch, EPOCH_BITS);
        checkFits("claim number", count, CLAIM_BITS);
        long claimantBits = KeyHash.of(claimant.value()) >>> Long.SIZE - CLAIMANT_BITS;
        return new FencingToken(epoch << (CLAIM_BITS + CLAIMANT_BITS) | count << CLAIMANT_BITS | claimantBits);
    }

    /** Returns the epoch under which a sender token was claimed. */
    static long claimEpoch(FencingToken token) {
        return token.value() >>> (CLAIM_BITS + CLAIMANT_BITS);
    }

    private static void checkFits(String name, long value, int bits) {
        if (value < 0 || value >>> bits != 0) {
            throw new JackdawslipException(
                    ErrorCode.INTERNAL, name + " " + value + " does not fit into " + bits + " bits of a token");
        }
    }
}
