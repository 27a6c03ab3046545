package org.jackdawslip.internal.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.membership.MembershipStatus;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a joining instance that owns accounts before all others count it, or that never does. */
class QuotaClaimsTest {

    private static final InstanceId SELF = new InstanceId("self");
    private static final InstanceId FIRST = new InstanceId("first");
    private static final InstanceId SECOND = new InstanceId("second");
    private static final long LEASE_MILLIS = 8_000;

    private long now = 1_000;
    private final MembershipStatus status = new MembershipStatus(() -> now, () -> now);
    private final QuotaMembers members = new QuotaMembers(SELF, status);
    private final List<QuotaClaim> sent = new ArrayList<>();
    private final List<List<InstanceId>> recipients = new ArrayList<>();
    private final QuotaClaims claims = new QuotaClaims(
            () -> now,
            status,
            members,
            (to, claim) -> {
                recipients.add(to);
                sent.add(claim);
            },
            7);

    @BeforeEach
    void list() {
        status.recordListing(now, LEASE_MILLIS);
        status.recordListingInView(true);
        status.recordView(now);
        members.setLive(Set.of(SELF, FIRST, SECOND), now);
        advance(MembershipStatus.EXCLUSIVE_VIEW_AGE_MILLIS);
    }

    private void advance(long millis) {
        for (long remaining = millis; remaining > 0; remaining -= 100) {
            now += 100;
            status.recordRenewal(now, LEASE_MILLIS);
            status.recordView(now);
            claims.check();
        }
    }

    private QuotaClaim last() {
        return sent.get(sent.size() - 1);
    }

    @Test
    void instanceOwnsAccountsOnceAllOthersHaveAnsweredTwice() {
        assertFalse(last().commit());
        claims.handleAnswer(FIRST, last());
        assertFalse(last().commit());
        claims.handleAnswer(SECOND, last());
        assertTrue(last().commit());
        claims.handleAnswer(FIRST, last());
        assertFalse(members.mayOwn());
        claims.handleAnswer(SECOND, last());
        assertTrue(members.mayOwn());
    }

    /** The others would give up their accounts while this instance does not own them. */
    @Test
    void nobodyIsAskedToGiveUpAccountsWhileOneDoesNotAnswer() {
        claims.handleAnswer(FIRST, last());
        advance(2_000);
        assertTrue(sent.stream().noneMatch(QuotaClaim::commit));
        assertEquals(List.of(SECOND), recipients.get(recipients.size() - 1));
        advance(MembershipStatus.EXCLUSIVE_MIN_LISTED_MILLIS);
        assertTrue(members.mayOwn());
    }

    @Test
    void answersToAnEarlierListingDoNotCount() {
        QuotaClaim earlier = last();
        claims.handleAnswer(FIRST, earlier);
        status.recordListing(now, LEASE_MILLIS);
        claims.handleAnswer(SECOND, earlier);
        claims.check();
        assertTrue(sent.stream().noneMatch(QuotaClaim::commit));
        assertFalse(members.mayOwn());
    }

    @Test
    void newListingEndsTheConfirmation() {
        claims.handleAnswer(FIRST, last());
        claims.handleAnswer(SECOND, last());
        claims.handleAnswer(FIRST, last());
        claims.handleAnswer(SECOND, last());
        assertTrue(members.mayOwn());
        status.recordListing(now, LEASE_MILLIS);
        assertFalse(members.mayOwn());
    }

    /** An instance that has not seen the listing could take over accounts without counting the joining one. */
    @Test
    void claimOfAnUnknownInstanceIsNotAnswered() {
        assertFalse(claims.handleClaim(new InstanceId("unknown"), new QuotaClaim(1, false)));
        assertFalse(claims.handleClaim(new InstanceId("unknown"), new QuotaClaim(1, true)));
        assertTrue(claims.handleClaim(FIRST, new QuotaClaim(1, true)));
    }
}
