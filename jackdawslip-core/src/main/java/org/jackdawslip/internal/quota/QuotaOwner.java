package org.jackdawslip.internal.quota;

import java.util.HashMap;
import java.util.Map;

import org.jackdawslip.AccountName;
import org.jackdawslip.internal.membership.MembershipStatus;
import org.jackdawslip.internal.time.MonotonicClock;

/**
 * The side of the quota owner: holds a token bucket for each account that this instance owns.
 *
 * <p>Invariants: tokens are granted only while this instance may hold an exclusive role and precedes all others for the
 * account. A bucket starts empty at the time since which this instance has owned the account, and is dropped when
 * another instance may have owned the account since. The limits come from the requests for tokens, so an owner with an
 * older configuration does not grant more than the instances with a newer one ask for. Not thread-safe.
 */
public final class QuotaOwner {

    /** Limit of accounts with a bucket, about 1 MB. The largest deployment has 79 accounts. */
    private static final int MAX_ACCOUNTS = 5_000;
    /** Retry delay while this instance is not the owner. It is unknown when another one will be. */
    private static final long NOT_OWNER_RETRY_MILLIS = 500;

    private final MonotonicClock clock;
    private final MembershipStatus status;
    private final QuotaMembers members;
    private final double extraCapacity;
    private final Map<AccountName, TokenBucket> buckets = new HashMap<>();
    private long tenure = Long.MIN_VALUE;
    private long ownerSince;
    private boolean owning;
    private boolean released;
    private long memberChanges;
    private long granted;
    private long refused;

    /**
     * Creates the owner's side.
     *
     * @param extraCapacity tokens that a bucket holds beyond the burst of its quota
     */
    public QuotaOwner(MonotonicClock clock, MembershipStatus status, QuotaMembers members, double extraCapacity) {
        this.clock = clock;
        this.status = status;
        this.members = members;
        this.extraCapacity = extraCapacity;
    }

    /** Drops the buckets that this instance no longer owns. Called at intervals and before each reply. */
    public void refresh() {
        long now = clock.millis();
        long changes = members.refresh(now);
        boolean mayOwn = members.mayOwn();
        if (status.exclusiveTenure() != tenure) {
            tenure = status.exclusiveTenure();
            owning = false;
            buckets.clear();
        }
        if (mayOwn && !owning) {
            owning = true;
            ownerSince = now;
        }
        if (changes != memberChanges) {
            memberChanges = changes;
            buckets.keySet().removeIf(account -> !members.isFirst(account, now));
        }
    }

    /** Ends the ownership of all accounts for good, because this instance stops. */
    public void release() {
        released = true;
        buckets.clear();
    }

    /** Returns the reply to a request for tokens. */
    public QuotaReply reply(QuotaRequest request) {
        refresh();
        long now = clock.millis();
        AccountName account = request.account();
        if (released
                || !members.mayOwn()
                || !members.isFirst(account, now)
                || !request.quota().limited()) {
            return QuotaReply.notOwner(request.number(), NOT_OWNER_RETRY_MILLIS);
        }
        TokenBucket bucket = buckets.get(account);
        if (bucket == null) {
            if (buckets.size() >= MAX_ACCOUNTS) {
                buckets.values().removeIf(other -> other.full(now));
            }
            if (buckets.size() >= MAX_ACCOUNTS) {
                return QuotaReply.notOwner(request.number(), NOT_OWNER_RETRY_MILLIS);
            }
            long emptyAt = Math.max(ownerSince, members.lastDepartureAt());
            bucket = new TokenBucket(request.configVersion(), request.quota(), extraCapacity, emptyAt);
            buckets.put(account, bucket);
        }
        bucket.applyQuota(request.configVersion(), request.quota(), now);
        int needed = Math.max(0, request.needed());
        int taken = bucket.take(needed, now);
        int missing = needed - taken;
        granted += taken;
        refused += missing;
        if (missing == 0) {
            int extra = Math.min(Math.max(0, request.extra()), bucket.surplus(now));
            taken += bucket.take(extra, now);
        }
        long retryMillis = missing == 0 ? 0 : Math.max(1, bucket.millisUntil(missing, now));
        return new QuotaReply(request.number(), true, taken, retryMillis, bucket.version(), bucket.limit(now));
    }

    /** Returns the number of accounts that have a bucket here. */
    public int accounts() {
        return buckets.size();
    }

    /** Returns the number of needed tokens that were granted. */
    public long granted() {
        return granted;
    }

    /** Returns the number of needed tokens that were refused. */
    public long refused() {
        return refused;
    }
}
