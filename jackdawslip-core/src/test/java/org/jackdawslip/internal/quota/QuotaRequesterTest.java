package org.jackdawslip.internal.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.jackdawslip.AccountName;
import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.account.ClientAccount;
import org.jackdawslip.internal.account.Quota;
import org.jackdawslip.internal.membership.MembershipStatus;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against tokens that are used after their validity or more than once, requests that are never decided, and more
 * datagrams than necessary.
 */
class QuotaRequesterTest {

    private static final long VALIDITY_MILLIS = 375;
    private static final InstanceId SELF = new InstanceId("self");
    private static final InstanceId PEER = new InstanceId("peer");
    private static final Quota QUOTA = new Quota(100, 100);
    private static final ClientAccount ACCOUNT = account("mossbank");

    private long monotonic = 1_000;
    private long wall = 1_000_000;
    private final List<List<QuotaRequest>> sent = new ArrayList<>();
    private final List<QuotaDecision> decisions = new ArrayList<>();
    private final MembershipStatus status = new MembershipStatus(() -> monotonic, () -> wall);
    private final QuotaMembers members = new QuotaMembers(SELF, status);
    private final QuotaRequester requester = new QuotaRequester(
            () -> monotonic,
            () -> wall,
            SELF,
            members,
            new QuotaOwner(() -> monotonic, status, members, 10),
            (owner, requests) -> sent.add(requests),
            VALIDITY_MILLIS,
            500);

    private static ClientAccount account(String name) {
        return new ClientAccount(new AccountName(name), 0, QUOTA);
    }

    /** This instance is not established, so the owner of every account is the peer. */
    @BeforeEach
    void listPeer() {
        members.setLive(Set.of(SELF, PEER), monotonic);
    }

    private void advance(long millis) {
        monotonic += millis;
        wall += millis;
    }

    private void admit(ClientAccount account) {
        requester.admit(account, 1, decisions::add);
    }

    private void admitAndSend() {
        admit(ACCOUNT);
        requester.sendRequests();
    }

    private QuotaRequest lastRequest() {
        return sent.get(sent.size() - 1).get(0);
    }

    private static QuotaReply grant(QuotaRequest request, int granted) {
        return new QuotaReply(request.number(), true, granted, 0, 1, QUOTA);
    }

    private long admitted() {
        return decisions.stream()
                .filter(decision -> decision.equals(QuotaDecision.ADMITTED))
                .count();
    }

    @Test
    void requestsOfOneTurnShareOneMessage() {
        admit(ACCOUNT);
        admit(ACCOUNT);
        admit(account("fernhill"));
        requester.sendRequests();
        assertEquals(1, sent.size());
        assertEquals(2, sent.get(0).size());
        assertEquals(2, sent.get(0).get(0).needed());
        sent.get(0).forEach(request -> requester.handleReply(PEER, grant(request, request.needed())));
        assertEquals(3, admitted());
        assertEquals(0, requester.waiting());
    }

    /** Requests that arrive before the reply are asked for in the next message. */
    @Test
    void requestsThatArriveLaterAreAskedForAfterTheReply() {
        admitAndSend();
        admitAndSend();
        assertEquals(1, sent.size());
        requester.handleReply(PEER, grant(lastRequest(), 1));
        assertEquals(1, admitted());
        requester.sendRequests();
        assertEquals(2, sent.size());
    }

    @Test
    void furtherTokensAreUsedWithoutAMessage() {
        admitAndSend();
        requester.handleReply(PEER, grant(lastRequest(), 3));
        admitAndSend();
        admitAndSend();
        assertEquals(3, admitted());
        assertEquals(1, sent.size());
        admitAndSend();
        assertEquals(2, sent.size());
    }

    /** The reply may have been in a socket buffer for long, so the age does not count from its arrival. */
    @Test
    void ageOfTokensCountsFromTheRequest() {
        admitAndSend();
        advance(VALIDITY_MILLIS - 100);
        requester.handleReply(PEER, grant(lastRequest(), 2));
        assertEquals(1, admitted());
        advance(100);
        admitAndSend();
        assertEquals(1, admitted());
    }

    @Test
    void replyAfterTheValidityGrantsNothing() {
        admitAndSend();
        QuotaRequest request = lastRequest();
        advance(VALIDITY_MILLIS);
        requester.handleReply(PEER, grant(request, 5));
        assertEquals(0, admitted());
    }

    /** The monotonic clock does not count a suspension. */
    @Test
    void suspensionEndsTheValidityOfTokens() {
        admitAndSend();
        requester.handleReply(PEER, grant(lastRequest(), 3));
        wall += 5_000;
        admitAndSend();
        assertEquals(1, admitted());
        assertEquals(2, sent.size());
    }

    /** A step of the time of day back must not extend the validity of tokens. */
    @Test
    void clockStepBackDoesNotExtendTheValidity() {
        admitAndSend();
        requester.handleReply(PEER, grant(lastRequest(), 3));
        wall -= 60_000;
        advance(VALIDITY_MILLIS);
        admitAndSend();
        assertEquals(1, admitted());
    }

    @Test
    void duplicatedReplyIsIgnored() {
        admitAndSend();
        QuotaRequest request = lastRequest();
        requester.handleReply(PEER, grant(request, 1));
        requester.handleReply(PEER, grant(request, 1));
        admitAndSend();
        assertEquals(1, admitted());
    }

    /** Replies to an earlier incarnation of this instance, or of an instance that was not asked. */
    @Test
    void unexpectedRepliesAreIgnored() {
        admitAndSend();
        requester.handleReply(PEER, new QuotaReply(lastRequest().number() - 1, true, 5, 0, 1, QUOTA));
        requester.handleReply(new InstanceId("other"), grant(lastRequest(), 5));
        assertEquals(0, decisions.size());
    }

    @Test
    void lostMessageIsRepeatedUnderAnotherNumber() {
        admitAndSend();
        QuotaRequest first = lastRequest();
        advance(QuotaRequester.REPEAT_MILLIS);
        requester.checkTimeouts();
        requester.sendRequests();
        assertEquals(2, sent.size());
        assertNotEquals(first.number(), lastRequest().number());
        requester.handleReply(PEER, grant(lastRequest(), 1));
        assertEquals(1, admitted());
        // The late reply to the first message grants a token that is still valid.
        requester.handleReply(PEER, grant(first, 1));
        admitAndSend();
        assertEquals(2, admitted());
    }

    /** A request must not be held until its deadline while the owner is not reached. */
    @Test
    void requestWithoutAReplyIsRefusedAfterABoundedTime() {
        admitAndSend();
        for (int i = 0; i < QuotaRequester.MAX_WAIT_MILLIS; i += 10) {
            advance(10);
            requester.checkTimeouts();
            requester.sendRequests();
        }
        assertEquals(1, decisions.size());
        assertEquals(QuotaDecision.Outcome.UNKNOWN, decisions.get(0).outcome());
        assertTrue(decisions.get(0).retryDelayMillis() > 0);
        assertTrue(sent.size() <= 3, "sent " + sent.size());
        admitAndSend();
        assertEquals(2, decisions.size());
    }

    /** An account over its limit must not cost a datagram for each request. */
    @Test
    void refusalAppliesToTheRequestsThatFollow() {
        admitAndSend();
        requester.handleReply(PEER, new QuotaReply(lastRequest().number(), true, 0, 40, 1, QUOTA));
        advance(QuotaRequester.BLOCKED_MILLIS - 10);
        admitAndSend();
        assertEquals(1, sent.size());
        assertEquals(
                new QuotaDecision(QuotaDecision.Outcome.QUOTA_EXCEEDED, QuotaRequester.BLOCKED_MILLIS),
                decisions.get(0));
        assertEquals(new QuotaDecision(QuotaDecision.Outcome.QUOTA_EXCEEDED, 10), decisions.get(1));
        advance(10);
        admitAndSend();
        assertEquals(2, sent.size());
    }

    @Test
    void instanceThatIsNotTheOwnerLeadsToARefusalWithoutAQuota() {
        admitAndSend();
        requester.handleReply(PEER, QuotaReply.notOwner(lastRequest().number(), 500));
        assertEquals(new QuotaDecision(QuotaDecision.Outcome.UNKNOWN, 500), decisions.get(0));
    }

    @Test
    void instanceWithoutPeersRefusesAtOnce() {
        members.setLive(Set.of(SELF), monotonic);
        advance(MembershipStatus.EXCLUSIVE_VIEW_AGE_MILLIS);
        admitAndSend();
        assertEquals(QuotaDecision.Outcome.UNKNOWN, decisions.get(0).outcome());
    }
}
