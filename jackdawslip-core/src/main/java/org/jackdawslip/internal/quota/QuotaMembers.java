package org.jackdawslip.internal.quota;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;

import org.jackdawslip.AccountName;
import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.membership.MembershipStatus;

/**
 * Determines which instance is the quota owner of an account: the first one in the order of a rendezvous hash of
 * account and instance.
 *
 * <p>An instance counts some time after its listing was seen, because it cannot be the owner before it has been listed
 * for a while, and for some time after its listing was removed, because it may not know of the removal yet. Invariant:
 * if two instances may be owners ({@link #mayOwn}) at the same time, at most one of them precedes the others in its own
 * order. Not thread-safe.
 */
public final class QuotaMembers {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long NEVER = Long.MAX_VALUE;

    private final InstanceId self;
    private final MembershipStatus status;
    private final Map<InstanceId, Member> members = new HashMap<>();
    private final Map<AccountName, InstanceId> ownerByAccount = new HashMap<>();
    private final Map<AccountName, Boolean> firstByAccount = new HashMap<>();
    private long continuousSince = Long.MIN_VALUE;
    private long nextChangeAt = NEVER;
    private long lastDepartureAt = Long.MIN_VALUE;
    private long changes;
    /** The tenure in which all other instances have confirmed that they count this one. */
    private long confirmedTenure = Long.MIN_VALUE;

    /** Creates the order of an instance that knows no other. */
    public QuotaMembers(InstanceId self, MembershipStatus status) {
        this.self = self;
        this.status = status;
    }

    /** One other instance. Not thread-safe. */
    private static final class Member {
        private final long hash;
        private boolean live;
        private long settledAt;
        /** Until this time the instance may be the owner although its listing was removed. */
        private long departedAt = Long.MIN_VALUE;

        private long claimedAt = Long.MIN_VALUE / 2;

        Member(InstanceId instance) {
            hash = hash(instance.value());
        }

        boolean settled(long now) {
            return live && now >= settledAt;
        }

        boolean mayOwn(long now) {
            return settled(now) || now < departedAt;
        }
    }

    /** Sets the live instances in the view of the store at the given monotonic time in milliseconds. */
    public void setLive(Set<InstanceId> live, long now) {
        refresh(now);
        members.forEach((instance, member) -> {
            if (member.live && !live.contains(instance)) {
                if (member.settled(now)) {
                    member.departedAt = now + MembershipStatus.EXCLUSIVE_VIEW_AGE_MILLIS;
                }
                member.live = false;
            }
        });
        for (InstanceId instance : live) {
            if (!instance.equals(self)) {
                Member member = members.computeIfAbsent(instance, Member::new);
                if (!member.live) {
                    member.live = true;
                    // What this instance sees soon after a gap between its views may have been listed for long.
                    boolean maybeListedLong = now - continuousSince < MembershipStatus.EXCLUSIVE_JOIN_DELAY_MILLIS;
                    // The listing may be the one under which the instance asked to be counted.
                    boolean maybeClaimed = now - member.claimedAt < MembershipStatus.EXCLUSIVE_JOIN_DELAY_MILLIS;
                    member.settledAt =
                            maybeListedLong || maybeClaimed ? now : now + MembershipStatus.EXCLUSIVE_JOIN_DELAY_MILLIS;
                }
            }
        }
        recordChange(now);
    }

    /** Returns whether this instance may be the owner of an account for which it precedes all others. */
    boolean mayOwn() {
        return status.mayHoldExclusiveRole()
                || confirmedTenure == status.exclusiveTenure() && status.mayClaimExclusiveRole();
    }

    /**
     * Records that all other instances which may be owners have confirmed that they count this one. All of them count
     * from now on, however long they have been listed.
     */
    void recordConfirmation(long now) {
        confirmedTenure = status.exclusiveTenure();
        members.values().forEach(member -> member.settledAt = Math.min(member.settledAt, now));
        recordChange(now);
    }

    /** Counts another instance from now on; returns false if its listing has not been seen yet. */
    boolean settle(InstanceId instance, long now) {
        Member member = members.get(instance);
        if (member == null || !member.live) {
            return false;
        }
        member.claimedAt = now;
        if (!member.settled(now)) {
            member.settledAt = now;
            recordChange(now);
        }
        return true;
    }

    /** Returns whether the listing of another instance is in the view. */
    boolean isLive(InstanceId instance) {
        Member member = members.get(instance);
        return member != null && member.live;
    }

    /** Returns the other instances that are live or may be owners although their listing was removed. */
    Set<InstanceId> others(long now) {
        refresh(now);
        return Set.copyOf(members.keySet());
    }

    /**
     * Records that another instance has given up its accounts for good. A later incarnation of it is the owner no
     * sooner than one that is listed for the first time now.
     */
    public void recordRelease(InstanceId instance, long now) {
        refresh(now);
        Member member = members.get(instance);
        if (member != null && member.mayOwn(now)) {
            member.settledAt = now + MembershipStatus.EXCLUSIVE_JOIN_DELAY_MILLIS;
            member.departedAt = Long.MIN_VALUE;
            lastDepartureAt = now;
            recordChange(now);
        }
    }

    /**
     * Applies what has changed by the passage of time.
     *
     * @return a number that changes with each change of the order
     */
    public long refresh(long now) {
        if (status.viewsContinuousSince() != continuousSince) {
            continuousSince = status.viewsContinuousSince();
            members.values().forEach(member -> member.settledAt = Math.min(member.settledAt, now));
            recordChange(now);
        }
        if (now >= nextChangeAt) {
            recordChange(now);
        }
        return changes;
    }

    private void recordChange(long now) {
        changes++;
        ownerByAccount.clear();
        firstByAccount.clear();
        nextChangeAt = NEVER;
        for (Iterator<Member> iterator = members.values().iterator(); iterator.hasNext(); ) {
            Member member = iterator.next();
            if (now < member.departedAt) {
                nextChangeAt = Math.min(nextChangeAt, member.departedAt);
            } else if (member.departedAt > Long.MIN_VALUE) {
                lastDepartureAt = Math.max(lastDepartureAt, member.departedAt);
                member.departedAt = Long.MIN_VALUE;
            }
            if (member.live && now < member.settledAt) {
                nextChangeAt = Math.min(nextChangeAt, member.settledAt);
            }
            if (!member.live && member.departedAt == Long.MIN_VALUE) {
                iterator.remove();
            }
        }
    }

    /** Returns the time of the last departure that may have made this instance the owner of further accounts. */
    long lastDepartureAt() {
        return lastDepartureAt;
    }

    /** Returns whether no instance that may be the owner of the account precedes this instance. */
    boolean isFirst(AccountName account, long now) {
        refresh(now);
        return firstByAccount.computeIfAbsent(account, name -> {
            long accountHash = hash(name.value());
            return members.entrySet().stream()
                    .noneMatch(entry -> entry.getValue().mayOwn(now)
                            && precedes(accountHash, entry.getKey(), entry.getValue().hash, self, hash(self.value())));
        });
    }

    /**
     * Returns the instance to be asked for tokens of the account, or null if none is known. This instance is one of the
     * candidates only if it may be the owner.
     */
    InstanceId owner(AccountName account, long now) {
        refresh(now);
        if (mayOwn() && isFirst(account, now)) {
            return self;
        }
        return ownerByAccount.computeIfAbsent(account, name -> firstOther(hash(name.value()), now));
    }

    private InstanceId firstOther(long accountHash, long now) {
        InstanceId first = null;
        long firstHash = 0;
        for (Map.Entry<InstanceId, Member> entry : members.entrySet()) {
            long hash = entry.getValue().hash;
            if (entry.getValue().settled(now)
                    && (first == null || precedes(accountHash, entry.getKey(), hash, first, firstHash))) {
                first = entry.getKey();
                firstHash = hash;
            }
        }
        return first;
    }

    private static boolean precedes(
            long accountHash, InstanceId instance, long instanceHash, InstanceId other, long otherHash) {
        int order = Long.compareUnsigned(mix(accountHash ^ instanceHash), mix(accountHash ^ otherHash));
        return order < 0 || order == 0 && instance.compareTo(other) < 0;
    }

    /** Finalizer of MurmurHash3. */
    private static long mix(long value) {
        long hash = value;
        hash ^= hash >>> 33;
        hash *= 0xff51afd7ed558ccdL;
        hash ^= hash >>> 33;
        hash *= 0xc4ceb9fe1a85ec53L;
        return hash ^ hash >>> 33;
    }

    /** FNV-1a. All versions of the router have to agree on the order, so the hash must not change. */
    private static long hash(String text) {
        long hash = FNV_OFFSET;
        for (byte octet : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (octet & 0xff)) * FNV_PRIME;
        }
        return mix(hash);
    }
}
