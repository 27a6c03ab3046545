package org.jackdawslip.internal.membership;

import org.jackdawslip.internal.time.LeaseGuard;
import org.jackdawslip.internal.time.MonotonicClock;
import org.jackdawslip.internal.time.WallClock;

/**
 * Decides whether this instance may use its share of a bound that all instances have in common.
 *
 * <p>Each instance divides such a bound by the instances in its own view of the store. Their shares add up to at most
 * the bound if everyone who uses a share is in the view of everyone else who does. So an instance is established only
 * while its listing is certainly in the store and has been there for longer than the oldest view that an established
 * instance may have, and while its own view is not older than that. Invariant: of two instances that are established at
 * the same time, each is in the view of the other. Not thread-safe.
 */
public final class MemberStanding {

    /**
     * Oldest view of an established instance, in milliseconds. Only the start of a call proves how new its answer is.
     */
    public static final long VIEW_MILLIS = 10_000;
    /** Time for which a listing has to be in the store before its instance is established. */
    public static final long SETTLE_MILLIS = VIEW_MILLIS;

    private static final long NEVER = Long.MAX_VALUE;

    private final MonotonicClock clock;
    private final LeaseGuard listing;
    private final LeaseGuard view;
    private long listedAt = NEVER;

    /** Makes the standing of an instance that is not listed. */
    public MemberStanding(MonotonicClock clock, WallClock wallClock) {
        this.clock = clock;
        this.listing = new LeaseGuard(clock, wallClock);
        this.view = new LeaseGuard(clock, wallClock);
    }

    /**
     * Takes the store's answer that the listing was written.
     *
     * @param leaseSentAt when the call was sent that made the lease of the listing
     */
    public void listed(long leaseSentAt, long termMillis) {
        listing.renewed(leaseSentAt, termMillis);
        listedAt = clock.millis();
    }

    /** Takes a renewal of the lease of the listing, whose call was sent at the given time. */
    public void renewed(long sentAt, long termMillis) {
        listing.renewed(sentAt, termMillis);
    }

    /** Takes the end of the listing. */
    public void unlisted() {
        listing.end();
        listedAt = NEVER;
    }

    /** Takes an answer of the store that shows all listings as of the given time or later. */
    public void viewed(long sentAt) {
        view.renewed(sentAt, VIEW_MILLIS);
    }

    /**
     * Returns this instance's share of a bound that all instances have in common, from 0 to 1.
     *
     * @param live instances in its view of the store, itself included
     */
    public double share(int live) {
        return established() ? 1.0 / live : 0;
    }

    /** Returns whether this instance may use its share of a common bound. */
    public boolean established() {
        boolean listed = listing.valid() && listedAt != NEVER && clock.millis() - listedAt >= SETTLE_MILLIS;
        return listed && view.valid();
    }
}
