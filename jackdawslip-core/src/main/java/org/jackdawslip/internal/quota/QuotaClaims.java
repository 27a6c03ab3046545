package org.jackdawslip.internal.quota;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.membership.MembershipStatus;
import org.jackdawslip.internal.time.MonotonicClock;

/**
 * Lets a joining instance become the owner of accounts before it has been listed for long, without a time in which
 * nobody owns them: it asks all others to count it.
 *
 * <p>It first asks whether all others have seen its listing. Only then it asks them to count it, because each of them
 * gives up accounts when it does so. If one of them does not answer, the rule of
 * {@link MembershipStatus#mayHoldExclusiveRole} applies. Not thread-safe.
 */
public final class QuotaClaims {

    /** Interval at which instances that have not answered are asked again, in milliseconds. */
    private static final long REPEAT_MILLIS = 500;

    private final MonotonicClock clock;
    private final MembershipStatus status;
    private final QuotaMembers members;
    private final Sender sender;
    private final Set<InstanceId> answered = new HashSet<>();
    private long tenure = Long.MIN_VALUE;
    private long number;
    private boolean committing;
    private boolean confirmed;
    private long sentAt;

    /** Sends claims. */
    public interface Sender {
        /** Sends a claim to other instances, which may get lost. */
        void sendClaim(List<InstanceId> recipients, QuotaClaim claim);
    }

    /**
     * Creates the claims of an instance.
     *
     * @param firstNumber number of the first claim, random, so that answers to an earlier incarnation of this instance
     *     are ignored
     */
    public QuotaClaims(
            MonotonicClock clock, MembershipStatus status, QuotaMembers members, Sender sender, long firstNumber) {
        this.clock = clock;
        this.status = status;
        this.members = members;
        this.sender = sender;
        this.number = firstNumber;
    }

    /** Sends claims if this instance may be the owner of accounts as soon as they are answered. Called at intervals. */
    public void check() {
        if (tenure != status.exclusiveTenure()) {
            tenure = status.exclusiveTenure();
            confirmed = false;
            startPhase(false);
        }
        if (confirmed || status.mayHoldExclusiveRole() || !status.mayClaimExclusiveRole()) {
            return;
        }
        advance();
        long now = clock.millis();
        if (!confirmed && now - sentAt >= REPEAT_MILLIS) {
            send(now);
        }
    }

    private void startPhase(boolean commit) {
        committing = commit;
        number++;
        answered.clear();
        sentAt = Long.MIN_VALUE / 2;
    }

    private void send(long now) {
        List<InstanceId> missing = members.others(now).stream()
                .filter(other -> members.isLive(other) && !answered.contains(other))
                .toList();
        sentAt = now;
        if (!missing.isEmpty()) {
            sender.sendClaim(missing, new QuotaClaim(number, committing));
        }
    }

    /** Proceeds if all others have answered. */
    private void advance() {
        long now = clock.millis();
        Set<InstanceId> others = members.others(now);
        if (!committing && answered.containsAll(others)) {
            startPhase(true);
            send(now);
        }
        if (committing && answered.containsAll(others)) {
            confirmed = true;
            members.recordConfirmation(now);
        }
    }

    /**
     * Handles the claim of another instance.
     *
     * @return whether it is answered; an instance whose listing has not been seen yet asks again
     */
    public boolean handleClaim(InstanceId claimant, QuotaClaim claim) {
        long now = clock.millis();
        return claim.commit() ? members.settle(claimant, now) : members.isLive(claimant);
    }

    /** Handles the answer of another instance to a claim. Answers to earlier claims are ignored. */
    public void handleAnswer(InstanceId other, QuotaClaim claim) {
        boolean current = tenure == status.exclusiveTenure() && claim.number() == number;
        if (current && claim.commit() == committing && !confirmed && status.mayClaimExclusiveRole()) {
            answered.add(other);
            advance();
        }
    }
}
