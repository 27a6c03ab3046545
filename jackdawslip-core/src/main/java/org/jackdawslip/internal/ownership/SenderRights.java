package org.jackdawslip.internal.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FencingToken;
import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.bundle.BackendServer;

/**
 * The rights of this instance to send to backend servers, and the grant calls that renew the grants of their
 * ranges.
 *
 * <p>Invariants: a grant call is sent only while a permit is valid, lists only ranges of the current table,
 * and is the only outstanding call to its backend server. Not thread-safe; confined to its member.
 */
final class SenderRights {

    /** A backend server counts as unreachable after three renewals without a response. */
    private static final long UNREACHABLE_MILLIS = 3 * Timing.GRANT_RENEWAL_MILLIS;
    /**
     * The unanswered calls after which a new sender, without any earlier response, reports the server
     * unreachable.
     */
    private static final int UNREACHABLE_CALLS = 2;
    /**
     * How long a leaving sender may take to hand over its registry before another instance claims the right.
     */
    private static final long HANDOVER_MILLIS = 1_000;

    /** Stands for the age of an event that has not occurred. */
    private static final long NEVER_MILLIS = 1_000_000;

    private final MemberState state;
    private final PermitHolder permits;
    private final Map<BackendServerId, Right> rights = new TreeMap<>();
    private AssignmentTable cachedTable;
    private Map<BackendServerId, Set<RangeGrant>> cachedRangesByOwner = Map.of();
    private long wallOffset;

    SenderRights(MemberState state, PermitHolder permits) {
        this.state = state;
        this.permits = permits;
    }

    /** The own right to send to one backend server, and the newest sender that this instance has observed. */
    private static final class Right {
        private FencingToken token = FencingToken.NONE;
        /** Whether the backend server has accepted the token. */
        private boolean accepted;
        /** Whether grant calls list no ranges until the backend server responds. */
        private boolean probing;
        /** Whether the leaving sender has handed over its registry to this instance. */
        private boolean handedOver;

        private long lastAcceptedAt = -NEVER_MILLIS;
        private long lastRenewalAt = -NEVER_MILLIS;
        private long lastCallAt = -NEVER_MILLIS;
        private GrantCall outstanding;
        private int unansweredCalls;
        private TableVersion grantedVersion = TableVersion.NONE;
        /** The highest token that this instance has observed, and its holder. */
        private FencingToken knownToken = FencingToken.NONE;

        private Optional<InstanceId> knownSender = Optional.empty();
        private int freeSlots;
        private int queueLength;
        private boolean accepting = true;
        /** Since when this instance is the sender for each range, in milliseconds of the wall clock. */
        private final Map<RangeGrant, Long> rangeStarts = new HashMap<>();

        private Set<RangeGrant> recordedRanges;
        private FencingToken recordedToken = FencingToken.NONE;

        private boolean isHeld() {
            return token.value() > 0;
        }

        private void release() {
            token = FencingToken.NONE;
            accepted = false;
            grantedVersion = TableVersion.NONE;
            rangeStarts.clear();
            recordedRanges = null;
        }

        private void acquire(FencingToken newToken, boolean probe) {
            token = newToken;
            accepted = false;
            probing = probe;
            unansweredCalls = 0;
            lastAcceptedAt = -NEVER_MILLIS;
            lastRenewalAt = -NEVER_MILLIS;
            grantedVersion = TableVersion.NONE;
        }

        private boolean isUnreachable(long now) {
            return lastAcceptedAt == -NEVER_MILLIS
                    ? unansweredCalls >= UNREACHABLE_CALLS
                    : now - lastAcceptedAt >= UNREACHABLE_MILLIS;
        }
    }

    /** Sets the offset of the wall clock from the monotonic clock. */
    void setWallClock(long now, long wallMillis) {
        wallOffset = wallMillis - now;
    }

    /** Sets the load that the summary of a backend server reports. */
    void setLoad(BackendServerId server, int freeSlots, int queueLength, boolean accepting) {
        Right right = right(server);
        right.freeSlots = freeSlots;
        right.queueLength = queueLength;
        right.accepting = accepting;
    }

    /** Records that a leaving sender has handed over its registry, so this instance may claim the right. */
    void onHandover(BackendServerId server) {
        right(server).handedOver = true;
    }

    /** Updates the known senders from the summaries in a heartbeat of another instance. */
    void onSummaries(InstanceId from, List<SenderSummary> summaries) {
        for (SenderSummary summary : summaries) {
            updateKnownSender(summary.backendServer(), summary.senderToken(), Optional.of(from));
        }
        // A restarted instance no longer holds the rights that its earlier heartbeats listed.
        rights.forEach((server, right) -> {
            boolean listed = summaries.stream()
                    .anyMatch(summary -> summary.backendServer().equals(server));
            if (!listed && right.knownSender.equals(Optional.of(from))) {
                right.knownSender = Optional.empty();
            }
        });
    }

    private void updateKnownSender(BackendServerId server, FencingToken token, Optional<InstanceId> sender) {
        Right right = right(server);
        if (token.compareTo(right.knownToken) > 0) {
            right.knownToken = token;
            right.knownSender = sender;
            if (right.isHeld() && token.compareTo(right.token) > 0) {
                right.release();
                state.heartbeatDue = true;
            }
        }
    }

    /**
     * Applies the sender assignments of the table, claims free rights and sends the grant calls that are due.
     */
    void tick(long now) {
        for (BackendServer server : state.ownServers()) {
            Right right = right(server.id());
            if (state.policy(server).checksTokens()) {
                claimIfFree(now, server, right);
            } else {
                applyAssignment(now, server, right);
            }
            renewIfDue(now, server, right);
        }
        updateSummaries(now);
    }

    /**
     * Applies a new table. The next grant call is due at once, so that backend servers drop the ranges that
     * the table no longer assigns to them.
     */
    void onTableChanged(long now) {
        rights.values().forEach(right -> right.lastCallAt = -NEVER_MILLIS);
        tick(now);
    }

    /**
     * Acquires or releases the right to a backend server without token checks, as the table assigns the
     * right.
     */
    private void applyAssignment(long now, BackendServer server, Right right) {
        Optional<SenderAssignment> entry = state.table.sender(server.id());
        boolean assignedToSelf = entry.isPresent() && entry.get().sender().equals(Optional.of(state.self));
        if (!assignedToSelf) {
            if (right.isHeld()) {
                right.release();
            }
            return;
        }
        if (!right.token.equals(entry.get().token())) {
            right.release();
            right.acquire(entry.get().token(), true);
            right.accepted = true;
        }
    }

    /**
     * Claims the right to a backend server that checks tokens if it is free and this instance is preferred.
     */
    private void claimIfFree(long now, BackendServer server, Right right) {
        long epoch = state.record.map(CoordinatorRecord::epoch).orElse(0L);
        if (right.isHeld()) {
            boolean unfencedSilent = state.table.unfenced().stream().anyMatch(id -> !state.isAlive(now, id));
            // A token of the current epoch makes the backend server reject claims of unfenced members.
            if (unfencedSilent && Tokens.claimEpoch(right.token) < epoch && right.outstanding == null) {
                boolean accepted = right.accepted;
                right.token = Tokens.claimToken(right.token, epoch, state.self);
                right.accepted = accepted;
                right.grantedVersion = TableVersion.NONE;
                right.knownToken = right.token;
                right.knownSender = Optional.of(state.self);
            }
            return;
        }
        InstanceId preferred = RangePlanner.preferred(server.id().value(), state.candidates(now))
                .orElse(null);
        boolean vacant = right.knownSender.isEmpty()
                || right.knownSender.get().equals(state.self)
                || !state.isAlive(now, right.knownSender.get())
                || right.handedOver
                || now - HANDOVER_MILLIS >= state.peer(right.knownSender.get()).leavingSince;
        if (!state.self.equals(preferred)
                || !vacant
                || now < state.startedAt + Timing.SUSPECT_MILLIS
                || Tokens.claimEpoch(right.knownToken) > epoch
                || right.outstanding != null
                || !permits.isValid(now, state.policy(server).onSilence())) {
            return;
        }
        // The backend server accepts the directly following token only if no other instance claimed since the
        // handover, so the records that were handed over are complete.
        boolean directlyFollowing = right.handedOver && Tokens.claimEpoch(right.knownToken) == epoch;
        FencingToken next =
                directlyFollowing ? right.knownToken.next() : Tokens.claimToken(right.knownToken, epoch, state.self);
        right.handedOver = false;
        right.acquire(next, false);
        right.knownToken = next;
        right.knownSender = Optional.of(state.self);
    }

    /**
     * Sends a grant call if one is due. The call lists no ranges while it only probes whether the server
     * responds.
     */
    private void renewIfDue(long now, BackendServer server, Right right) {
        if (right.outstanding != null && now >= right.outstanding.sentAtMillis() + 2 * Timing.GRANT_CALL_MILLIS) {
            onNoResponse(right.outstanding);
        }
        boolean due = now >= right.lastCallAt + Timing.GRANT_RENEWAL_MILLIS;
        if (!right.isHeld()
                || right.outstanding != null
                || !due
                || !permits.isValid(now, state.policy(server).onSilence())) {
            return;
        }
        boolean withoutRanges = right.probing || right.isUnreachable(now);
        List<RangeGrant> grants =
                withoutRanges ? List.of() : List.copyOf(rangesByOwner().getOrDefault(server.id(), Set.of()));
        right.lastCallAt = now;
        if (!grants.isEmpty()) {
            right.lastRenewalAt = now;
        }
        right.outstanding =
                new GrantCall(server.id(), right.token, grants, Timing.GRANT_MILLIS, state.table.version(), now);
        state.effects.sendGrant(right.outstanding);
    }

    /** Processes the acceptance of a grant call. */
    void onAccepted(long now, GrantCall call) {
        Right right = right(call.backendServer());
        if (!call.equals(right.outstanding)) {
            return;
        }
        right.outstanding = null;
        if (!call.senderToken().equals(right.token)) {
            return;
        }
        boolean summaryChanged = !right.accepted
                || right.isUnreachable(now)
                || right.probing
                || !call.tableVersion().equals(right.grantedVersion);
        if (!right.accepted) {
            right.accepted = true;
            right.rangeStarts.clear();
            right.recordedRanges = null;
        }
        boolean needsRanges = right.probing || right.isUnreachable(now);
        right.probing = false;
        right.unansweredCalls = 0;
        right.lastAcceptedAt = now;
        right.grantedVersion = call.tableVersion();
        if (needsRanges || !call.tableVersion().equals(state.table.version())) {
            right.lastCallAt = -NEVER_MILLIS;
        }
        state.heartbeatDue |= summaryChanged;
        tick(now);
    }

    /** Processes the rejection of a grant call because of a higher token, and releases the right. */
    void onRejected(long now, GrantCall call, FencingToken currentToken, Optional<InstanceId> currentSender) {
        Right right = right(call.backendServer());
        if (!call.equals(right.outstanding)) {
            return;
        }
        right.outstanding = null;
        if (call.senderToken().equals(right.token) && currentToken.compareTo(right.token) >= 0) {
            right.release();
            right.knownToken = currentToken;
            right.knownSender = currentSender;
            state.heartbeatDue = true;
        }
        tick(now);
    }

    /** Counts a grant call that got no response. */
    void onNoResponse(GrantCall call) {
        Right right = right(call.backendServer());
        if (call.equals(right.outstanding)) {
            right.outstanding = null;
            right.unansweredCalls++;
        }
    }

    /**
     * Updates the summaries for the next heartbeat, which is due at once if a token or the reachability
     * changed.
     */
    private void updateSummaries(long now) {
        List<SenderSummary> summaries = new ArrayList<>();
        for (BackendServer server : state.ownServers()) {
            Right right = right(server.id());
            if (right.isHeld()) {
                summaries.add(new SenderSummary(
                        server.id(),
                        right.token,
                        right.freeSlots,
                        right.queueLength,
                        right.accepting && right.accepted && !state.leaving,
                        right.isUnreachable(now),
                        Math.min(NEVER_MILLIS, now - right.lastRenewalAt),
                        right.grantedVersion));
            }
        }
        boolean changed = summaries.size() != state.ownSummaries.size();
        for (int i = 0; i < summaries.size() && !changed; i++) {
            changed =
                    summaries.get(i).unreachable() != state.ownSummaries.get(i).unreachable()
                            || !summaries
                                    .get(i)
                                    .senderToken()
                                    .equals(state.ownSummaries.get(i).senderToken());
        }
        state.heartbeatDue |= changed;
        state.ownSummaries = List.copyOf(summaries);
    }

    boolean holdsAny() {
        return rights.values().stream().anyMatch(Right::isHeld);
    }

    /** Returns the sender of a backend server, as far as this instance has observed it. */
    Optional<InstanceId> sender(long now, BackendServerId id) {
        Right right = right(id);
        if (right.isHeld() && right.accepted) {
            return Optional.of(state.self);
        }
        Optional<SenderAssignment> assigned = state.table.sender(id);
        if (assigned.isPresent()) {
            return assigned.get().sender();
        }
        return state.newestReport(now, id).map(MemberState.ReportedSummary::by).or(() -> right.knownSender);
    }

    /**
     * Returns the sender token for a request to a backend server; empty if this instance may not send now.
     */
    Optional<FencingToken> sendToken(long now, BackendServer server) {
        Right right = right(server.id());
        boolean maySend = right.isHeld()
                && right.accepted
                && (state.policy(server).checksTokens()
                        || permits.isValid(now, state.policy(server).onSilence()));
        return maySend ? Optional.of(right.token) : Optional.empty();
    }

    /** Returns since when this instance is the sender for a range, in milliseconds of the wall clock. */
    long rangeSinceWallMillis(long now, RangeAssignment entry) {
        Right right = right(entry.owner().orElseThrow());
        return right.rangeStarts.computeIfAbsent(
                new RangeGrant(entry.range(), entry.token()), unused -> now + wallOffset);
    }

    /** Records when this instance became the sender for each range in the table. */
    void recordRangeStarts(long now) {
        Map<BackendServerId, Set<RangeGrant>> rangesByOwner = rangesByOwner();
        for (Map.Entry<BackendServerId, Right> entry : rights.entrySet()) {
            Right right = entry.getValue();
            Set<RangeGrant> currentRanges = rangesByOwner.getOrDefault(entry.getKey(), Set.of());
            if (right.recordedRanges == currentRanges && right.recordedToken.equals(right.token)) {
                continue;
            }
            right.recordedRanges = currentRanges;
            right.recordedToken = right.token;
            right.rangeStarts.keySet().retainAll(currentRanges);
            if (right.isHeld()) {
                currentRanges.forEach(grant -> right.rangeStarts.putIfAbsent(grant, now + wallOffset));
            }
        }
    }

    /** Returns the ranges of the table by owner. The result is computed once per table. */
    private Map<BackendServerId, Set<RangeGrant>> rangesByOwner() {
        if (cachedTable != state.table) {
            cachedTable = state.table;
            cachedRangesByOwner = new HashMap<>();
            for (RangeAssignment entry : state.table.ranges()) {
                entry.owner().ifPresent(owner -> cachedRangesByOwner
                        .computeIfAbsent(owner, unused -> new LinkedHashSet<>())
                        .add(new RangeGrant(entry.range(), entry.token())));
            }
        }
        return cachedRangesByOwner;
    }

    private Right right(BackendServerId server) {
        return rights.computeIfAbsent(server, unused -> new Right());
    }
}
