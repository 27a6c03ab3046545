package org.jackdawslip.internal.keyspace;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FencingToken;
import org.jackdawslip.internal.balance.Backend;
import org.jackdawslip.internal.durable.StoreEra;

/**
 * Assigns the key slots of one service to backend servers. Runs in the instance that holds the lease on this
 * role, and only while that lease is valid.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>A segment gets a new owner only once the hold of its previous owner has ended ({@link HoldEnd}). A later
 *       incarnation of the owner does not end the hold: it has the same id, so it may have accepted renewals that
 *       were meant for the earlier one. It has to confirm the release.
 *   <li>A grant call without a response may take effect after the release. In this case the release is not
 *       sufficient unless the owner has accepted a higher fencing token since.
 *   <li>The table with the new owner and its higher token is durable before the grant call is sent.
 *   <li>At most one ownership call for a segment is in progress.
 * </ul>
 *
 * <p>A successor renews all segments of the durable table with unchanged tokens, so that the owners continue
 * to serve. It assumes that every hold starts at its takeover. It then sends grants with higher tokens, so
 * that the owners reject grants of the previous key coordinator that are still in transit. Not thread-safe.
 */
public final class KeyCoordinator {

    /**
     * Number of segments of the initial assignment for all owners together. Adjacent segments get different
     * owners, because hot keys are adjacent. Each segment costs renewals.
     */
    private static final int INITIAL_SEGMENTS = 208;
    /** Bounds on the segments of each owner in the initial assignment. */
    private static final int MIN_INITIAL_SEGMENTS_PER_OWNER = 4;

    private static final int MAX_INITIAL_SEGMENTS_PER_OWNER = 16;
    /**
     * The initial assignment waits until no server has joined for this long, unless there are requests. At
     * the start of a deployment, discovery lists the servers one after another within about three seconds.
     */
    private static final long INITIAL_ASSIGNMENT_DELAY_MILLIS = 2_000;
    /**
     * Time over which a successor spreads its first renewals. All instances may have restarted, and hundreds
     * of simultaneous calls delay the requests of a process that has just started.
     */
    private static final long TAKEOVER_SPREAD_MILLIS = 700;
    /** Share of the renewal interval over which renewals are spread. */
    private static final double RENEWAL_SPREAD_SHARE = 0.25;
    /** Shortest time between two writes of the table whose only purpose is to raise tokens. */
    private static final long MIN_TOKEN_RAISE_INTERVAL_MILLIS = 400;
    /** Added to the next token when a server has accepted a higher token than that of the table. */
    private static final long STALE_TOKEN_INCREMENT = 1_000;

    /**
     * How often the delay between releases doubles. An owner that is gone confirms none, and its address may
     * belong to another server that has to answer each of them.
     */
    private static final int MAX_RELEASE_RETRY_DOUBLINGS = 3;

    private enum Phase {
        /** The durable table has the current owner. */
        OWNED,
        /** The segment is being released by its owner. */
        RELEASING,
        /** The segment has no owner. */
        FREE,
        /** The table with a new owner or a higher token is being written to the store. */
        SAVING
    }

    /** State of one segment and of its ownership calls. */
    private static final class SegmentState {
        final int first;
        final int last;
        KeySegment segment;
        Phase phase;
        /** Latest time until which the owner may hold the segment. */
        long heldUntil;
        /** Time until which a grant call without a response may take effect, even after a release. */
        long lateGrantUntil;

        long nextCallAt;
        boolean callPending;
        /** Whether the owner needs a grant with a higher token, so that it rejects late grants. */
        boolean needsHigherToken;
        /** Whether the token is higher than that of every grant call without a response. */
        boolean fencesLateGrants;
        /** Whether the latest grant was accepted. */
        boolean lastGrantAccepted;

        /** Whether a restarted owner gets a grant with a higher token only so that its release is sufficient. */
        boolean grantBeforeRelease;

        /** Whether the owner has accepted its first grant of the segment. */
        boolean ownerConfirmed;

        boolean releaseConfirmed;
        /** Releases in a row that the owner did not confirm. */
        int failedReleases;
        /** State that the previous owner returned with its release, or null. */
        String handover;
        /** Planned next owner, or null. */
        BackendServerId target;

        SegmentState(int first, int last, Phase phase) {
            this.first = first;
            this.last = last;
            this.phase = phase;
        }
    }

    private final KeyTiming timing;
    private final KeyCoordinatorActions actions;
    /** Era of the store in which all tables of this key coordinator are written. */
    private final StoreEra era;

    private final TreeMap<Integer, SegmentState> states = new TreeMap<>();
    private final Map<BackendServerId, Backend> lastListed = new HashMap<>();
    private FencingToken nextToken;
    private boolean saving;
    private long nextTokenRaiseAt;
    private int candidateCount;
    private long lastJoinedAt;

    /**
     * Creates a key coordinator that takes over the durable table, or makes an initial assignment if the
     * table is empty.
     */
    public KeyCoordinator(KeyTiming timing, KeyCoordinatorActions actions, KeyTable table, long now) {
        this(timing, actions, table, now, now + timing.maxHoldMillis());
    }

    private KeyCoordinator(
            KeyTiming timing, KeyCoordinatorActions actions, KeyTable table, long now, long earlierGrantsEndAt) {
        this.timing = timing;
        this.actions = actions;
        this.era = table.era();
        this.nextToken = table.nextToken();
        this.lastJoinedAt = now;
        int nextSlot = 0;
        for (KeySegment segment : table.segments()) {
            addFree(nextSlot, segment.first() - 1);
            SegmentState state = new SegmentState(segment.first(), segment.last(), Phase.OWNED);
            state.segment = segment;
            state.heldUntil = earlierGrantsEndAt;
            // Grant calls of the previous key coordinator may be in transit.
            state.lateGrantUntil = earlierGrantsEndAt;
            state.nextCallAt = now
                    + TAKEOVER_SPREAD_MILLIS * states.size() / table.segments().size();
            states.put(state.first, state);
            nextSlot = segment.last() + 1;
        }
        addFree(nextSlot, KeySegment.SLOTS - 1);
    }

    /**
     * Creates a key coordinator that takes over a table whose segments are certainly held by nobody, because all
     * earlier grants have ended.
     */
    public static KeyCoordinator afterAllGrantsEnded(
            KeyTiming timing, KeyCoordinatorActions actions, KeyTable table, long now) {
        return new KeyCoordinator(timing, actions, table, now, now);
    }

    private void addFree(int first, int last) {
        if (first <= last) {
            states.put(first, new SegmentState(first, last, Phase.FREE));
        }
    }

    /**
     * Starts the actions that are due.
     *
     * @param servers the backend servers of the service
     * @param loads the load of the key slots
     */
    public void tick(KnownServers servers, KeyLoads loads, long now) {
        lastListed.putAll(servers.listed());
        int candidates = servers.capacities().size();
        if (candidates > candidateCount) {
            lastJoinedAt = now;
        }
        candidateCount = candidates;
        for (SegmentState state : List.copyOf(states.values())) {
            if (state.phase == Phase.OWNED) {
                renewOrRelease(state, servers, now);
            }
            if (state.phase == Phase.RELEASING) {
                continueRelease(state, servers, now);
            }
        }
        if (!saving) {
            assign(servers, loads, now);
        }
    }

    private void renewOrRelease(SegmentState state, KnownServers servers, long now) {
        Map<BackendServerId, Double> capacities = servers.capacities();
        Backend owner = servers.findIncarnation(state.segment.owner(), state.segment.ownerStartedAtMillis());
        if (owner != null && servers.pausing().test(owner.id())) {
            // The pause may be longer than the term of the grant. The owner holds nothing after that.
            if (!state.callPending && now >= state.heldUntil) {
                markFree(state, HoldEnd.EXPIRED);
            }
        } else if (owner != null && (capacities.containsKey(owner.id()) || state.grantBeforeRelease)) {
            if (!state.callPending && !state.needsHigherToken && now >= state.nextCallAt) {
                state.callPending = true;
                state.heldUntil = Math.max(state.heldUntil, now + timing.maxHoldMillis());
                actions.grant(owner, state.segment, state.handover, state.fencesLateGrants);
            }
        } else if (!capacities.isEmpty()) {
            state.phase = Phase.RELEASING;
            state.nextCallAt = now;
        }
    }

    private void continueRelease(SegmentState state, KnownServers servers, long now) {
        Backend owner = lastListed.get(state.segment.owner());
        HoldEnd end = findHoldEnd(state, owner, servers, now);
        if (end != null) {
            markFree(state, end);
        } else if (state.releaseConfirmed) {
            return;
        } else if (!state.callPending
                && now >= state.nextCallAt
                && owner != null
                && !servers.pausing().test(owner.id())) {
            state.callPending = true;
            actions.announce(state.segment, false);
            actions.release(owner, state.segment);
        }
    }

    /** Returns why the hold of a segment that is being released has ended, or null if it may last. */
    private static HoldEnd findHoldEnd(SegmentState state, Backend lastListed, KnownServers servers, long now) {
        if (state.releaseConfirmed && now >= state.lateGrantUntil) {
            return HoldEnd.RELEASED;
        }
        if (now >= state.heldUntil) {
            return HoldEnd.EXPIRED;
        }
        // The listing may be older than the table, and the owner then has another address.
        boolean ownerAddressKnown =
                lastListed != null && lastListed.startedAtMillis() >= state.segment.ownerStartedAtMillis();
        return ownerAddressKnown && servers.addressTaken().test(lastListed) ? HoldEnd.ADDRESS_TAKEN : null;
    }

    private void markFree(SegmentState state, HoldEnd end) {
        actions.holdEnded(state.segment, end);
        String handover = state.releaseConfirmed ? state.handover : null;
        state.phase = Phase.FREE;
        state.handover = handover;
        state.callPending = false;
        state.releaseConfirmed = false;
        state.failedReleases = 0;
        state.needsHigherToken = false;
        state.fencesLateGrants = false;
        state.grantBeforeRelease = false;
        state.lateGrantUntil = 0;
        state.heldUntil = 0;
    }

    private void assign(KnownServers servers, KeyLoads loads, long now) {
        Map<BackendServerId, Double> capacities = servers.capacities();
        List<SegmentState> free = states.values().stream()
                .filter(state -> state.phase == Phase.FREE)
                .toList();
        List<SegmentState> toFence = now < nextTokenRaiseAt ? List.of() : segmentsToFence(servers, now);
        if (free.isEmpty() && toFence.isEmpty() || capacities.isEmpty()) {
            return;
        }
        if (free.size() == 1 && free.get(0).first == 0 && free.get(0).last == KeySegment.SLOTS - 1) {
            if (loads.total() == 0 && now - lastJoinedAt < INITIAL_ASSIGNMENT_DELAY_MILLIS) {
                return;
            }
            int perOwner = Math.min(MAX_INITIAL_SEGMENTS_PER_OWNER, INITIAL_SEGMENTS / capacities.size());
            free = initialSegments(Math.max(MIN_INITIAL_SEGMENTS_PER_OWNER, perOwner) * capacities.size());
        }
        Map<BackendServerId, Double> loadByOwner = loadByOwner(capacities, loads);
        FencingToken token = nextToken;
        for (SegmentState state : toFence) {
            nextTokenRaiseAt = now + MIN_TOKEN_RAISE_INTERVAL_MILLIS;
            if (state.phase == Phase.RELEASING) {
                state.grantBeforeRelease = true;
                state.releaseConfirmed = false;
                state.ownerConfirmed = false;
                state.nextCallAt = now;
            }
            state.phase = Phase.SAVING;
            state.needsHigherToken = false;
            state.fencesLateGrants = true;
            BackendServerId owner = state.segment.owner();
            long ownerStartedAt = servers.listed().get(owner).startedAtMillis();
            state.segment = new KeySegment(state.first, state.last, owner, ownerStartedAt, token);
        }
        for (SegmentState state : free) {
            boolean targetUsable = state.target != null && capacities.containsKey(state.target);
            BackendServerId owner = targetUsable ? state.target : leastLoaded(loadByOwner, capacities);
            loadByOwner.merge(owner, weight(state, loads), Double::sum);
            state.phase = Phase.SAVING;
            state.ownerConfirmed = false;
            state.target = null;
            state.segment = new KeySegment(
                    state.first, state.last, owner, lastListed.get(owner).startedAtMillis(), token);
        }
        nextToken = token.next();
        saving = true;
        actions.save(table());
    }

    /** Returns the segments that need a higher token so that late grants are rejected, once one is due. */
    private List<SegmentState> segmentsToFence(KnownServers servers, long now) {
        List<SegmentState> candidates = states.values().stream()
                .filter(state -> state.phase == Phase.OWNED && state.needsHigherToken)
                .filter(state -> servers.capacities().containsKey(state.segment.owner()))
                .filter(state ->
                        servers.findIncarnation(state.segment.owner(), state.segment.ownerStartedAtMillis()) != null)
                .toList();
        List<SegmentState> due = new ArrayList<>();
        if (candidates.stream().anyMatch(state -> now >= state.nextCallAt)) {
            candidates.stream()
                    .filter(state -> state.lastGrantAccepted || now >= state.nextCallAt)
                    .forEach(due::add);
        }
        states.values().stream()
                .filter(state -> state.phase == Phase.RELEASING && state.releaseConfirmed)
                .filter(state -> now < state.lateGrantUntil)
                .filter(state -> isRestarted(state.segment, servers))
                .forEach(due::add);
        return due;
    }

    /** Returns whether a later incarnation of the owner is listed that can be granted keys. */
    private static boolean isRestarted(KeySegment segment, KnownServers servers) {
        Backend owner = servers.listed().get(segment.owner());
        return owner != null
                && owner.startedAtMillis() > segment.ownerStartedAtMillis()
                && !owner.draining()
                && !servers.pausing().test(owner.id())
                && !servers.addressTaken().test(owner);
    }

    /** Divides all slots into segments without owners. */
    private List<SegmentState> initialSegments(int count) {
        states.clear();
        int size = KeySegment.SLOTS / count / KeyLoads.SLOTS_PER_BLOCK * KeyLoads.SLOTS_PER_BLOCK;
        for (int i = 0; i < count; i++) {
            addFree(i * size, i == count - 1 ? KeySegment.SLOTS - 1 : (i + 1) * size - 1);
        }
        return List.copyOf(states.values());
    }

    private Map<BackendServerId, Double> loadByOwner(Map<BackendServerId, Double> capacities, KeyLoads loads) {
        Map<BackendServerId, Double> loadByOwner = new TreeMap<>();
        capacities.keySet().forEach(owner -> loadByOwner.put(owner, 0.0));
        for (SegmentState state : states.values()) {
            if (state.phase == Phase.OWNED) {
                loadByOwner.computeIfPresent(state.segment.owner(), (owner, load) -> load + weight(state, loads));
            }
        }
        return loadByOwner;
    }

    /** Returns the load of a segment plus a part for its size, which decides while no load is known. */
    private static double weight(SegmentState state, KeyLoads loads) {
        double meanLoadPerSlot = (loads.total() + 1) / KeySegment.SLOTS;
        return loads.load(state.first, state.last) + 0.2 * meanLoadPerSlot * (state.last - state.first + 1);
    }

    private static BackendServerId leastLoaded(
            Map<BackendServerId, Double> loadByOwner, Map<BackendServerId, Double> capacities) {
        return loadByOwner.entrySet().stream()
                .min(Comparator.comparingDouble(entry -> entry.getValue() / capacities.get(entry.getKey())))
                .orElseThrow()
                .getKey();
    }

    /**
     * Returns the table of current owners, including those that are being written to the store. Slots that are not in
     * the table are held by no server.
     */
    public KeyTable table() {
        List<KeySegment> segments = new ArrayList<>();
        for (SegmentState state : states.values()) {
            if (state.phase != Phase.FREE) {
                segments.add(state.segment);
            }
        }
        return new KeyTable(segments, nextToken, era);
    }

    /** Completes {@link KeyCoordinatorActions#save}: the table is durable. */
    public void onTableSaved(long now) {
        saving = false;
        for (SegmentState state : states.values()) {
            if (state.phase == Phase.SAVING) {
                state.phase = Phase.OWNED;
                state.callPending = false;
                state.heldUntil = Math.max(state.heldUntil, now);
                if (!state.fencesLateGrants) {
                    state.nextCallAt = now;
                }
            }
        }
    }

    /**
     * Returns whether a grant call is still to be sent, and extends the longest possible hold if so. The call
     * may have been queued since {@link KeyCoordinatorActions#grant}, and the term of the grant starts on its
     * arrival at the server.
     */
    public boolean confirmGrantSend(KeySegment segment, long now) {
        SegmentState state = states.get(segment.first());
        if (state == null || !segment.equals(state.segment) || state.phase != Phase.OWNED) {
            return false;
        }
        state.heldUntil = Math.max(state.heldUntil, now + timing.maxHoldMillis());
        return true;
    }

    /** Completes {@link KeyCoordinatorActions#grant}. */
    public void onGrantResult(KeySegment segment, GrantResult result, long now) {
        SegmentState state = states.get(segment.first());
        if (state == null || !segment.equals(state.segment) || !state.callPending) {
            return;
        }
        state.callPending = false;
        state.grantBeforeRelease &= result == GrantResult.NOT_SENT;
        switch (result) {
            case ACCEPTED -> {
                if (!state.ownerConfirmed) {
                    state.ownerConfirmed = true;
                    actions.announce(segment, true);
                }
                state.handover = null;
                state.lastGrantAccepted = true;
                state.nextCallAt = now + renewalDelayMillis(state.first);
                if (state.fencesLateGrants) {
                    state.fencesLateGrants = false;
                    state.lateGrantUntil = 0;
                } else if (now < state.lateGrantUntil) {
                    // The grant with a higher token replaces the next renewal.
                    state.needsHigherToken = true;
                }
            }
            case STALE_TOKEN -> {
                nextToken = new FencingToken(nextToken.value() + STALE_TOKEN_INCREMENT);
                state.phase = Phase.RELEASING;
                state.nextCallAt = now;
            }
            case UNKNOWN -> {
                state.lateGrantUntil = Math.max(state.lateGrantUntil, state.heldUntil);
                state.needsHigherToken = true;
                state.fencesLateGrants = false;
                state.lastGrantAccepted = false;
                state.nextCallAt = now + timing.grantRetryDelayMillis();
            }
            case NOT_SENT -> state.nextCallAt = now;
            default -> throw new IllegalStateException("unexpected grant result " + result);
        }
    }

    /** Returns the time until the next renewal, which differs between segments that were granted together. */
    private long renewalDelayMillis(int first) {
        int hash = (first * 0x9E3779B1) >>> 24;
        return Math.round(timing.renewalIntervalMillis() * (1 - RENEWAL_SPREAD_SHARE * hash / 256));
    }

    /**
     * Completes {@link KeyCoordinatorActions#release}.
     *
     * @param confirmed whether the server confirmed the release
     * @param handover the state for the new owner, or null
     */
    public void onReleaseResult(KeySegment segment, boolean confirmed, String handover, long now) {
        SegmentState state = states.get(segment.first());
        if (state == null || !segment.equals(state.segment) || state.phase != Phase.RELEASING) {
            return;
        }
        state.callPending = false;
        if (confirmed) {
            state.releaseConfirmed = true;
            state.handover = handover;
        } else {
            int doublings = Math.min(MAX_RELEASE_RETRY_DOUBLINGS, state.failedReleases);
            state.nextCallAt = now + (timing.releaseRetryDelayMillis() << doublings);
            state.failedReleases++;
        }
    }

    /**
     * Starts moves of slots to other owners. Skips moves of segments that have a pending ownership call or
     * may receive a late grant.
     *
     * @return number of moves that were started
     */
    public int startMoves(List<KeyMove> moves, long now) {
        int started = 0;
        for (KeyMove move : moves) {
            Map.Entry<Integer, SegmentState> entry = states.floorEntry(move.first());
            SegmentState state = entry == null ? null : entry.getValue();
            boolean movable =
                    state != null && state.phase == Phase.OWNED && !state.callPending && now >= state.lateGrantUntil;
            if (movable && move.last() <= state.last) {
                SegmentState moving = split(state, move);
                moving.target = move.target();
                moving.phase = Phase.RELEASING;
                moving.nextCallAt = now;
                started++;
            }
        }
        return started;
    }

    /** Splits a segment around the slots of a move and returns the state of these slots. */
    private SegmentState split(SegmentState state, KeyMove move) {
        states.remove(state.first);
        addOwned(state, state.first, move.first() - 1);
        addOwned(state, move.last() + 1, state.last);
        return addOwned(state, move.first(), move.last());
    }

    private SegmentState addOwned(SegmentState whole, int first, int last) {
        if (first > last) {
            return null;
        }
        SegmentState state = new SegmentState(first, last, Phase.OWNED);
        state.segment = whole.segment.subsegment(first, last);
        state.heldUntil = whole.heldUntil;
        state.lateGrantUntil = whole.lateGrantUntil;
        state.nextCallAt = whole.nextCallAt;
        state.needsHigherToken = whole.needsHigherToken;
        state.fencesLateGrants = whole.fencesLateGrants;
        state.lastGrantAccepted = whole.lastGrantAccepted;
        state.handover = whole.handover;
        state.ownerConfirmed = whole.ownerConfirmed;
        states.put(first, state);
        return state;
    }

    /** Returns the segments that have a durable owner and are not being released. */
    public List<KeySegment> ownedSegments() {
        return states.values().stream()
                .filter(state -> state.phase == Phase.OWNED)
                .map(state -> state.segment)
                .toList();
    }
}
