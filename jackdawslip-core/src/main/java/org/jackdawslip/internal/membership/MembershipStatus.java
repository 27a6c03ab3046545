package org.jackdawslip.internal.membership;

import org.jackdawslip.internal.time.LeaseGuard;
import org.jackdawslip.internal.time.MonotonicClock;
import org.jackdawslip.internal.time.WallClock;

/**
 * Decides whether this instance is established, so that it may use its share of the global limits.
 *
 * <p>A global limit is a limit on a sum over all instances. Each instance divides it by the number of
 * instances in its own view of the store. The shares add up to at most the limit if every instance that uses
 * a share is in the view of every other such instance. Therefore an instance is established only while its
 * listing is certainly in the store and has been there for longer than the largest age of the view of an
 * established instance, and while its own view is not older than that. Invariant: of two instances that are
 * established at the same time, each is in the view of the other. Not thread-safe.
 */
public final class MembershipStatus {

    /**
     * The largest age of the view of an established instance, in milliseconds. The age counts from the start
     * of the store call, because the content of a response may be
     * as old as the call.
     */
    public static final long MAX_VIEW_AGE_MILLIS = 10_000;
    /**
     * The time for which a listing must be in the store before its instance is established, in milliseconds.
     */
    public static final long MIN_LISTED_MILLIS = MAX_VIEW_AGE_MILLIS;

    /**
     * The largest age of the view of an instance that holds exclusive roles, in milliseconds. A view is at most 2 s
     * old if no more than one call in a row is lost ({@code ChangeTimeBudget} of the gateway). It is also the time
     * for which a departed instance may not know that its listing is gone.
     */
    public static final long EXCLUSIVE_VIEW_AGE_MILLIS = 3_000;
    /** The time for which an instance must be listed before it holds exclusive roles, in milliseconds. */
    public static final long EXCLUSIVE_MIN_LISTED_MILLIS = 8_000;
    /**
     * The time after the first sight of a listing at which exclusive roles are given up to its instance, in
     * milliseconds. Together with {@link #MAX_VIEW_GAP_MILLIS}, and with clocks whose rates differ by 2 %, it is
     * less than {@link #EXCLUSIVE_MIN_LISTED_MILLIS}.
     */
    public static final long EXCLUSIVE_JOIN_DELAY_MILLIS = 4_400;
    /**
     * The largest interval between views, in milliseconds, after which an instance has certainly seen every other
     * instance that can hold an exclusive role.
     */
    public static final long MAX_VIEW_GAP_MILLIS = 3_500;

    private static final long NOT_LISTED = Long.MAX_VALUE;

    private final MonotonicClock clock;
    private final LeaseGuard listingLease;
    private final LeaseGuard viewValidity;
    private final LeaseGuard recentView;
    private final LeaseGuard viewContinuity;
    private boolean listingInView;
    private long continuousSince;
    private long newestViewAtMillis = Long.MIN_VALUE;
    private long tenure;
    private long listedAtMillis = NOT_LISTED;

    /** Creates the status of an instance that is not listed. */
    public MembershipStatus(MonotonicClock clock, WallClock wallClock) {
        this.clock = clock;
        this.listingLease = new LeaseGuard(clock, wallClock);
        this.viewValidity = new LeaseGuard(clock, wallClock);
        this.recentView = new LeaseGuard(clock, wallClock);
        this.viewContinuity = new LeaseGuard(clock, wallClock);
        this.continuousSince = clock.millis();
    }

    /**
     * Records the response of the store that the listing was written.
     *
     * @param leaseSentAt the monotonic time in milliseconds at which the call that created the lease was sent
     * @param termMillis the term of the lease in milliseconds
     */
    public void recordListing(long leaseSentAt, long termMillis) {
        listingLease.recordRenewal(leaseSentAt, termMillis);
        listedAtMillis = clock.millis();
        tenure++;
    }

    /** Records a renewal of the lease of the listing, whose call was sent at the given monotonic time. */
    public void recordRenewal(long sentAt, long termMillis) {
        listingLease.recordRenewal(sentAt, termMillis);
    }

    /** Records the end of the listing. */
    public void recordListingEnd() {
        listingLease.recordEnd();
        listedAtMillis = NOT_LISTED;
        tenure++;
    }

    /** Records whether the view of the store contains the listing of this instance. */
    public void recordListingInView(boolean present) {
        listingInView = present;
    }

    /**
     * Returns whether the view is newer than the listing of this instance and does not contain it. Then the store has
     * removed the listing, although its lease may be valid.
     */
    public boolean isListingMissing() {
        return listedAtMillis != NOT_LISTED && newestViewAtMillis >= listedAtMillis && !listingInView;
    }

    /** Records a response of the store with all listings as of the given monotonic time or later. */
    public void recordView(long sentAt) {
        viewValidity.recordRenewal(sentAt, MAX_VIEW_AGE_MILLIS);
        recentView.recordRenewal(sentAt, EXCLUSIVE_VIEW_AGE_MILLIS);
        newestViewAtMillis = Math.max(newestViewAtMillis, sentAt);
        if (!viewContinuity.isValid()) {
            continuousSince = clock.millis();
            tenure++;
        }
        viewContinuity.recordRenewal(sentAt, MAX_VIEW_GAP_MILLIS);
    }

    /**
     * Returns this instance's share of a global limit, from 0 to 1; 0 if it is not established.
     *
     * @param live the number of instances in its view of the store, itself included
     */
    public double limitShare(int live) {
        return isEstablished() ? 1.0 / live : 0;
    }

    /** Returns whether this instance may use its share of the global limits. */
    public boolean isEstablished() {
        boolean listed = listingLease.isValid()
                && listedAtMillis != NOT_LISTED
                && clock.millis() - listedAtMillis >= MIN_LISTED_MILLIS;
        return listed && viewValidity.isValid();
    }

    /**
     * Returns whether this instance may hold a role that at most one instance may hold at any time, provided that it
     * also precedes all others in the order of the role.
     *
     * <p>Others count as present from {@link #EXCLUSIVE_JOIN_DELAY_MILLIS} after their listing was seen until
     * {@link #EXCLUSIVE_VIEW_AGE_MILLIS} after its removal was seen. The rule holds also if the store removes a
     * listing whose lease seems valid, because it depends on the age of the views of both instances and not on the
     * lease. docs/design/quotas.md has the argument.
     */
    public boolean mayHoldExclusiveRole() {
        return mayClaimExclusiveRole() && clock.millis() - listedAtMillis >= EXCLUSIVE_MIN_LISTED_MILLIS;
    }

    /**
     * Returns whether this instance may hold an exclusive role as soon as every other instance in its view has
     * confirmed that it counts this one.
     */
    public boolean mayClaimExclusiveRole() {
        return listingLease.isValid()
                && recentView.isValid()
                && listedAtMillis != NOT_LISTED
                && newestViewAtMillis >= listedAtMillis
                && listingInView
                && clock.millis() - continuousSince >= EXCLUSIVE_VIEW_AGE_MILLIS;
    }

    /**
     * Returns a number that changes whenever another instance may have held an exclusive role of this instance: with
     * each new or ended listing of this instance, and after a gap between its views.
     */
    public long exclusiveTenure() {
        return tenure;
    }

    /** Returns the monotonic time in milliseconds since which views have followed one another without a gap. */
    public long viewsContinuousSince() {
        return continuousSince;
    }
}
