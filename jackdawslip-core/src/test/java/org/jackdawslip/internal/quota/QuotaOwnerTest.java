package org.jackdawslip.internal.quota;

import java.util.Set;

import org.jackdawslip.AccountName;
import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.account.Quota;
import org.jackdawslip.internal.membership.MembershipStatus;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against tokens that are granted by an instance that may not be the only owner of an account. */
class QuotaOwnerTest {

    private static final InstanceId SELF = new InstanceId("self");
    private static final InstanceId PEER = new InstanceId("peer");
    private static final Quota QUOTA = new Quota(10, 1_000);
    private static final long LEASE_MILLIS = 8_000;

    private long monotonic = 1_000;
    private long wall = 1_000_000;
    private final MembershipStatus status = new MembershipStatus(() -> monotonic, () -> wall);
    private final QuotaMembers members = new QuotaMembers(SELF, status);
    private final QuotaOwner owner = new QuotaOwner(() -> monotonic, status, members, 0);
    /** An account for which the peer precedes this instance. */
    private final AccountName account = accountPrecededByPeer();

    private AccountName accountPrecededByPeer() {
        QuotaMembers order = new QuotaMembers(SELF, status);
        order.setLive(Set.of(SELF, PEER), monotonic);
        for (int i = 0; i < 100; i++) {
            AccountName name = new AccountName("account-" + i);
            if (!order.isFirst(name, monotonic)) {
                return name;
            }
        }
        throw new AssertionError("an instance that was seen at the start does not count");
    }

    private void advance(long millis) {
        for (long remaining = millis; remaining > 0; remaining -= 100) {
            monotonic += Math.min(100, remaining);
            wall += Math.min(100, remaining);
            status.recordRenewal(monotonic, LEASE_MILLIS);
            status.recordView(monotonic);
            owner.refresh();
        }
    }

    private void list(InstanceId... live) {
        members.setLive(Set.of(live), monotonic);
        owner.refresh();
    }

    private QuotaReply ask(int needed, int extra) {
        return owner.reply(new QuotaRequest(7, account, 1, QUOTA, needed, extra));
    }

    private void becomeOwner() {
        status.recordListing(monotonic, LEASE_MILLIS);
        status.recordListingInView(true);
        status.recordView(monotonic);
        list(SELF);
        advance(MembershipStatus.EXCLUSIVE_MIN_LISTED_MILLIS);
    }

    @Test
    void newInstanceGrantsNothing() {
        status.recordListing(monotonic, LEASE_MILLIS);
        status.recordListingInView(true);
        list(SELF);
        advance(MembershipStatus.EXCLUSIVE_MIN_LISTED_MILLIS - 100);
        assertFalse(ask(1, 0).owner());
        advance(100);
        assertTrue(ask(1, 0).owner());
    }

    /** The previous owner may just have granted all of its tokens. */
    @Test
    void bucketStartsEmptyWhenTheOwnershipBegins() {
        becomeOwner();
        advance(1_000);
        QuotaReply reply = ask(100, 0);
        assertEquals(10, reply.granted());
        assertEquals(9_000, reply.retryMillis());
    }

    @Test
    void furtherTokensAreGrantedOnlyFromAWellFilledBucket() {
        becomeOwner();
        advance(60_000);
        // Of 600 tokens, 2 are needed, and 98 exceed half of the capacity.
        assertEquals(100, ask(2, 200).granted());
        assertEquals(2, ask(2, 1).granted());
    }

    /** The store may remove a listing before the response that it was written arrives. */
    @Test
    void instanceWhoseListingIsNotInItsViewGrantsNothing() {
        becomeOwner();
        status.recordListingInView(false);
        assertTrue(status.isListingMissing());
        assertFalse(ask(1, 0).owner());
    }

    /** A joining instance may be the owner once it is listed for long enough; until then this one is. */
    @Test
    void ownershipEndsBeforeAJoiningInstanceCanBeTheOwner() {
        becomeOwner();
        list(SELF, PEER);
        advance(MembershipStatus.EXCLUSIVE_JOIN_DELAY_MILLIS - 100);
        assertTrue(ask(1, 0).owner());
        advance(100);
        assertFalse(ask(1, 0).owner());
    }

    /** A departed instance may grant tokens until it knows that its listing is gone. */
    @Test
    void ownershipBeginsWhenADepartedInstanceKnowsOfIt() {
        status.recordListing(monotonic, LEASE_MILLIS);
        status.recordListingInView(true);
        status.recordView(monotonic);
        list(SELF, PEER);
        advance(20_000);
        list(SELF);
        advance(MembershipStatus.EXCLUSIVE_VIEW_AGE_MILLIS - 100);
        assertFalse(ask(1, 0).owner());
        advance(100);
        assertTrue(ask(1, 0).owner());
        assertEquals(0, ask(1, 0).granted(), "the bucket starts empty");
        advance(100);
        assertEquals(1, ask(100, 0).granted());
    }

    /** A planned stop must not leave the accounts without an owner for seconds. */
    @Test
    void ownershipBeginsAtOnceAfterARelease() {
        status.recordListing(monotonic, LEASE_MILLIS);
        status.recordListingInView(true);
        status.recordView(monotonic);
        list(SELF, PEER);
        advance(20_000);
        members.recordRelease(PEER, monotonic);
        assertTrue(ask(1, 0).owner());
        assertEquals(0, ask(1, 0).granted(), "the bucket starts empty");
        advance(500);
        list(SELF);
        assertEquals(5, ask(100, 0).granted());
        list(SELF, PEER);
        advance(MembershipStatus.EXCLUSIVE_JOIN_DELAY_MILLIS);
        assertFalse(ask(1, 0).owner());
    }

    /** The instance that stops may still be listed for a while. */
    @Test
    void releasedInstanceOwnsNothingAnyMore() {
        becomeOwner();
        owner.release();
        assertFalse(ask(1, 0).owner());
    }

    /** A joining instance may ask to be counted before its newest listing is seen here. */
    @Test
    void listingThatIsSeenAfterAClaimCountsAtOnce() {
        becomeOwner();
        list(SELF, PEER);
        assertTrue(members.settle(PEER, monotonic));
        advance(100);
        list(SELF);
        list(SELF, PEER);
        advance(MembershipStatus.EXCLUSIVE_VIEW_AGE_MILLIS + 100);
        assertFalse(ask(1, 0).owner());
    }

    @Test
    void bucketIsDroppedWhenAnotherInstanceOwnedTheAccount() {
        becomeOwner();
        advance(60_000);
        assertEquals(1, ask(1, 0).granted());
        assertEquals(1, owner.accounts());
        list(SELF, PEER);
        advance(MembershipStatus.EXCLUSIVE_JOIN_DELAY_MILLIS);
        assertEquals(0, owner.accounts());
        list(SELF);
        advance(MembershipStatus.EXCLUSIVE_VIEW_AGE_MILLIS);
        assertEquals(0, ask(1, 0).granted());
    }

    @Test
    void oldViewEndsTheOwnership() {
        becomeOwner();
        monotonic += MembershipStatus.EXCLUSIVE_VIEW_AGE_MILLIS;
        wall += MembershipStatus.EXCLUSIVE_VIEW_AGE_MILLIS;
        status.recordRenewal(monotonic, LEASE_MILLIS);
        assertFalse(ask(1, 0).owner());
    }

    /** An instance that saw nothing for a while may have missed another owner that is gone again. */
    @Test
    void gapBetweenViewsDropsTheBuckets() {
        becomeOwner();
        advance(60_000);
        ask(1, 0);
        monotonic += MembershipStatus.MAX_VIEW_GAP_MILLIS;
        wall += MembershipStatus.MAX_VIEW_GAP_MILLIS;
        status.recordRenewal(monotonic, LEASE_MILLIS);
        status.recordView(monotonic);
        advance(MembershipStatus.EXCLUSIVE_VIEW_AGE_MILLIS - 100);
        assertFalse(ask(1, 0).owner());
        advance(200);
        assertEquals(1, ask(100, 0).granted());
    }

    /** What is first seen after a gap may have been listed during the gap. */
    @Test
    void instanceThatIsFirstSeenAfterAGapCountsAtOnce() {
        becomeOwner();
        monotonic += MembershipStatus.MAX_VIEW_GAP_MILLIS;
        wall += MembershipStatus.MAX_VIEW_GAP_MILLIS;
        status.recordRenewal(monotonic, LEASE_MILLIS);
        status.recordView(monotonic);
        list(SELF, PEER);
        advance(MembershipStatus.EXCLUSIVE_VIEW_AGE_MILLIS);
        assertTrue(status.mayHoldExclusiveRole());
        assertFalse(ask(1, 0).owner());
    }

    /** The requests in the socket buffer of a suspended owner are read when another instance is the owner. */
    @Test
    void suspensionEndsTheOwnership() {
        becomeOwner();
        advance(60_000);
        assertTrue(ask(1, 0).owner());
        wall += 20_000;
        assertFalse(ask(1, 0).owner());
    }

    /** The limit of an instance with an older configuration must not count for the others. */
    @Test
    void lowerLimitOfTheNewerVersionApplies() {
        becomeOwner();
        advance(60_000);
        ask(1, 0);
        Quota lowered = new Quota(1, 3);
        QuotaReply reply = owner.reply(new QuotaRequest(8, account, 2, lowered, 100, 0));
        assertEquals(3, reply.granted());
        assertEquals(lowered, reply.quota());
        assertEquals(0, ask(100, 0).granted());
    }
}
