package org.jackdawslip.internal.gateway;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoop;
import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.durable.StoreEra;
import org.jackdawslip.internal.durable.StoreEraTracker;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.membership.InstanceOrder;
import org.jackdawslip.internal.time.LeaseGuard;
import org.jackdawslip.internal.time.MonotonicClock;

/**
 * Competes for the role of key coordinator, and renews its lease while this instance holds it.
 *
 * <p>The role is a record in the store that is bound to a lease. Invariants: the role is held only in the era in which
 * it was claimed; a claim whose era ended before its response never becomes a role; a lease is ended or renewed only in
 * the era in which it was created, because its id may belong to another instance in a later one. Confined to the event
 * loop.
 */
final class KeyCoordinatorLease {

    /** Name of the record of the role. */
    static final String RECORD = "custodian";
    /**
     * Term of the lease of the role. After a failure of the holder a successor takes over within this time.
     */
    static final long TERM_MILLIS = 2_500;
    /** Two renewals in a row may fail before the lease of the role expires. */
    private static final long RENEWAL_INTERVAL_MILLIS = 700;
    /** Limit of the random part of the delay before an attempt to claim a free role. */
    private static final int MAX_CLAIM_DELAY_MILLIS = 250;
    /** Delay for each instance whose turn to claim the role is earlier. */
    private static final long CLAIM_RANK_DELAY_MILLIS = 300;
    /** Instances after this rank do not wait longer, in case those before it do not run. */
    private static final int MAX_CLAIM_RANK = 4;
    /** Delay after a failed attempt to claim the role. */
    private static final long CLAIM_RETRY_DELAY_MILLIS = 700;
    /** Additional delay for instances other than the earlier holder after the store came back from a copy. */
    private static final long RESTORED_CLAIM_DELAY_MILLIS = 1_000;
    /** For how long after the return of the store the earlier holder is preferred; its record may last for a term. */
    private static final long RESTORED_CLAIM_PERIOD_MILLIS = TERM_MILLIS + 1_000;
    /** Delay before a renewal without a response, or a claim of the earlier holder, is repeated. */
    private static final long RETRY_DELAY_MILLIS = 300;
    /** Timeout when the record of the role is read. */
    private static final long READ_TIMEOUT_MILLIS = 1_000;

    /** Reacts to changes of the role of this instance. */
    interface Listener {

        /** The role was claimed, and its lease is valid. */
        void roleTaken(long now);

        /** The role was lost or given up; no ownership call may be sent any more. */
        void roleLost();
    }

    private final InstanceOrder.Candidate candidate;
    private final InstanceId self;
    private final DurableStore store;
    private final EventLoop loop;
    private final MonotonicClock clock;
    private final EventLog log;
    private final PlatformView view;
    private final LeaseGuard guard;
    private final StoreEraTracker eras;
    private final Random random;
    /** Whether this instance was the holder until the store came back, and nobody else since. */
    private final BooleanSupplier earlierHolder;

    private final Listener listener;
    private final String recordKey;
    private final long startedAt;

    /** The live instances, which may all claim the role. */
    private List<InstanceOrder.Candidate> candidates = List.of();

    private InstanceId holder;
    private boolean held;
    private long lease;
    /** Revision of the record of the role, of the era in which the role was claimed. */
    private long revision;
    /** Counts the claims that became roles. */
    private long tenure;

    private boolean claimPending;
    private boolean stopped;
    private long nextRenewalAt;
    private boolean renewalPending;
    private long restoredAt = Long.MIN_VALUE / 2;
    /** Whether the store may have carried out a claim of an earlier era in the present one. */
    private boolean claimUncertain;

    private long claimUncertainSince;

    KeyCoordinatorLease(
            GatewayContext context,
            PlatformView view,
            LeaseGuard guard,
            StoreEraTracker eras,
            Random random,
            BooleanSupplier earlierHolder,
            Listener listener) {
        this.candidate = context.settings().candidate();
        this.self = context.settings().instance();
        this.store = context.store();
        this.loop = context.loop();
        this.clock = context.clock();
        this.log = context.log();
        this.view = view;
        this.guard = guard;
        this.eras = eras;
        this.random = random;
        this.earlierHolder = earlierHolder;
        this.listener = listener;
        this.startedAt = clock.millis();
        this.recordKey = context.adapter().routerRecordKey(RECORD);
    }

    /** Sets the live instances. */
    void setCandidates(List<InstanceOrder.Candidate> newCandidates) {
        candidates = newCandidates;
    }

    /** Returns the instance that holds the role of key coordinator, or null if none is known. */
    InstanceId holder() {
        return holder;
    }

    /** Returns whether this instance holds the role; its lease may have expired. */
    boolean isHeld() {
        return held;
    }

    /** Returns whether this instance holds the role and its lease is certainly valid. */
    boolean isValid() {
        return held && guard.isValid();
    }

    /** Returns the revision of the record of the role while this instance holds it. */
    long revision() {
        return revision;
    }

    /** Applies a change of the record of the role; the content is null if it was removed. */
    void applyRecord(byte[] value, long newRevision) {
        InstanceId newHolder = value == null ? null : new InstanceId(new String(value, StandardCharsets.UTF_8));
        log.info("custodian-changed", "custodian", newHolder, "revision", newRevision);
        if (!held) {
            holder = newHolder;
        } else if (newRevision > revision && !self.equals(newHolder)) {
            lose("another instance holds the role");
            holder = newHolder;
        }
    }

    /** Claims the role after a delay if it is free. */
    void claimIfFree() {
        boolean free = holder == null || self.equals(holder) && mayReplaceOwnRecord();
        if (!stopped && !claimPending && free && view.synced() && view.isServedDirectly()) {
            claimPending = true;
            loop.schedule(this::claim, claimDelayMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Returns whether a record that names this instance is certainly no role of a running process: it is in the copy
     * from which the store came back, or it is the effect of a claim of an earlier era. Its lease may be one that
     * another instance renews.
     */
    private boolean mayReplaceOwnRecord() {
        return earlierHolder.getAsBoolean()
                || claimUncertain && clock.millis() - claimUncertainSince >= TERM_MILLIS + CLAIM_RETRY_DELAY_MILLIS;
    }

    /**
     * Returns the delay before an attempt to claim the role. Most instances learn of the new holder before their turn
     * and make no attempt. The earlier holder is the first, because it need not wait for the end of earlier grants.
     * Then follows the instance with the largest bandwidth, because a coordinator whose link is occupied by a large
     * change gets no answers to its ownership calls, and the keys lose their owners.
     */
    private long claimDelayMillis() {
        if (earlierHolder.getAsBoolean()) {
            return 0;
        }
        // A process that started after a return must not claim the role before the earlier holder either.
        long since = eras.current().followsReturn() ? Math.max(startedAt, restoredAt) : restoredAt;
        boolean restored = clock.millis() - since < RESTORED_CLAIM_PERIOD_MILLIS;
        int rank = Math.min(MAX_CLAIM_RANK, InstanceOrder.rank(candidate, candidates));
        return (restored ? RESTORED_CLAIM_DELAY_MILLIS : 0)
                + rank * CLAIM_RANK_DELAY_MILLIS
                + random.nextInt(MAX_CLAIM_DELAY_MILLIS);
    }

    private void claim() {
        if (stopped || held || holder != null && !self.equals(holder)) {
            claimPending = false;
            return;
        }
        StoreEra era = eras.current();
        if (!mayReplaceOwnRecord()) {
            if (holder == null) {
                createLease(era, 0);
            } else {
                claimPending = false;
            }
            return;
        }
        store.readAll(recordKey, READ_TIMEOUT_MILLIS, result -> {
            view.recordCallResult(result.status());
            DurableStore.StoreRecord found = result.records().stream()
                    .filter(storeRecord -> storeRecord.key().equals(recordKey))
                    .findFirst()
                    .orElse(null);
            boolean free = found == null || self.value().equals(new String(found.value(), StandardCharsets.UTF_8));
            if (result.status() == DurableStore.Status.DONE && free && era.equals(eras.current())) {
                createLease(era, found == null ? 0 : found.revision());
            } else {
                retryClaimLater();
            }
        });
    }

    /**
     * Creates the lease of a claim, then writes the record of the role.
     *
     * @param era the present era
     * @param recordRevision the revision of a record that is replaced, or 0 if there must be none
     */
    private void createLease(StoreEra era, long recordRevision) {
        long sentAt = clock.millis();
        store.createLease(TERM_MILLIS, leaseResult -> {
            view.recordCallResult(leaseResult.status());
            boolean created = leaseResult.status() == DurableStore.Status.DONE;
            if (!created || !era.equals(eras.current()) || holder != null && !self.equals(holder)) {
                endUnusedLease(leaseResult.lease(), era);
                retryClaimLater();
                return;
            }
            DurableStore.Transaction transaction = new DurableStore.Transaction(
                    List.of(new DurableStore.StoreRecord(recordKey, null, recordRevision)),
                    List.of(new DurableStore.StoreRecord(recordKey, self.value().getBytes(StandardCharsets.UTF_8), 0)),
                    leaseResult.lease());
            store.commit(transaction, result -> completeClaim(era, sentAt, leaseResult, result));
        });
    }

    private void completeClaim(StoreEra era, long sentAt, DurableStore.Result leaseResult, DurableStore.Result result) {
        if (result.status() == DurableStore.Status.DONE && era.equals(eras.current())) {
            startRole(leaseResult, result.revision(), sentAt);
            return;
        }
        if (result.status() == DurableStore.Status.UNKNOWN) {
            // The lease is not ended: the store may have come back from a copy and given its id to another instance.
            claimUncertain = true;
            claimUncertainSince = clock.millis();
        } else {
            endUnusedLease(leaseResult.lease(), era);
        }
        retryClaimLater();
    }

    private void endUnusedLease(long unusedLease, StoreEra era) {
        if (unusedLease != 0 && era.equals(eras.current())) {
            store.endLease(unusedLease, endResult -> view.recordCallResult(endResult.status()));
        }
    }

    private void startRole(DurableStore.Result leaseResult, long newRevision, long sentAt) {
        claimPending = false;
        claimUncertain = false;
        held = true;
        tenure++;
        lease = leaseResult.lease();
        revision = newRevision;
        holder = self;
        guard.recordRenewal(sentAt, leaseResult.leaseMillis());
        nextRenewalAt = sentAt + RENEWAL_INTERVAL_MILLIS;
        renewalPending = false;
        log.info("custodian-role-taken", "revision", revision, "leaseMillis", leaseResult.leaseMillis());
        listener.roleTaken(clock.millis());
    }

    private void retryClaimLater() {
        long delayMillis = earlierHolder.getAsBoolean() ? RETRY_DELAY_MILLIS : CLAIM_RETRY_DELAY_MILLIS;
        loop.schedule(() -> claimPending = false, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Renews the lease if that is due. */
    void renewIfDue(long now) {
        if (!held || now < nextRenewalAt || renewalPending) {
            return;
        }
        renewalPending = true;
        nextRenewalAt = now + RENEWAL_INTERVAL_MILLIS;
        long renewedTenure = tenure;
        store.renewLease(lease, result -> {
            view.recordCallResult(result.status());
            if (!held || tenure != renewedTenure) {
                return;
            }
            renewalPending = false;
            if (result.status() == DurableStore.Status.DONE) {
                guard.recordRenewal(now, TERM_MILLIS);
            } else if (result.status() == DurableStore.Status.CONFLICT) {
                lose("the lease of the role has expired");
            } else {
                nextRenewalAt = clock.millis() + RETRY_DELAY_MILLIS;
            }
        });
    }

    private void lose(String reason) {
        log.warn("custodian-role-lost", "reason", reason, "revision", revision);
        held = false;
        guard.recordEnd();
        if (self.equals(holder)) {
            holder = null;
        }
        listener.roleLost();
    }

    /** Gives up the role, because the store came back from an earlier copy and the lease may be gone. */
    void storeRestored() {
        restoredAt = clock.millis();
        if (held) {
            lose("the store came back from an earlier copy");
        }
    }

    /** Ends the lease of the role, so that another instance can take over without waiting for the expiry. */
    void stop() {
        stopped = true;
        if (held) {
            log.info("custodian-role-given-up", "revision", revision);
            held = false;
            boolean valid = guard.isValid();
            guard.recordEnd();
            if (!valid) {
                // The id of a lease that has expired may have been given to another instance.
                return;
            }
            store.endLease(lease, endResult -> view.recordCallResult(endResult.status()));
        }
    }
}
