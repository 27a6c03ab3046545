package org.jackdawslip.internal.ownership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.jackdawslip.InstanceId;

/**
 * The tables of the coordinator: the newest draft, the versions that the successor acknowledged, and the
 * members that may still use older ones.
 *
 * <p>Invariants: members get a version only after the successor acknowledged it, so the copy of the successor
 * is never older than a table that a member uses. A version is in effect when no fenced member can use an
 * older one. Not thread-safe; confined to its member.
 */
final class TablePublisher {

    /** The interval at which the draft is resent to a successor that has not acknowledged it. */
    private static final long RESEND_MILLIS = 100;
    /** The largest number of acknowledgements that are kept. */
    private static final int MAX_ACKNOWLEDGEMENTS = 256;
    /** The time without messages after which the next table no longer lists a member. */
    private static final long MEMBER_REMOVAL_MILLIS = 10_000;

    private final MemberState state;
    private final PermitIssuer issuer;
    /** The published tables that the successor has not acknowledged. */
    private final TreeMap<TableVersion, AssignmentTable> unacknowledged = new TreeMap<>();

    private final TreeMap<TableVersion, Acknowledgement> acknowledgements = new TreeMap<>();
    /** The members of all tables that may still be in use. */
    private final Set<InstanceId> trackedMembers = new TreeSet<>();

    private final Map<InstanceId, UnfencedMember> unfenced = new HashMap<>();
    private Optional<AssignmentTable> draft = Optional.empty();
    private long lastSentAt;

    TablePublisher(MemberState state, PermitIssuer issuer) {
        this.state = state;
        this.issuer = issuer;
    }

    /**
     * A member that may hold permits of a replaced successor until it uses a table of the epoch or restarts.
     */
    private record UnfencedMember(long sinceMillis, long epoch, long startId) {}

    /**
     * The acknowledgement of a version by the successor, with the age of its last permit to each member at
     * that time.
     */
    private record Acknowledgement(long atMillis, Map<InstanceId, Long> permitAges) {}

    Optional<AssignmentTable> draft() {
        return draft;
    }

    /** Starts a term of the coordinator from the given table. */
    void beginTerm(long now, AssignmentTable inherited) {
        unacknowledged.clear();
        acknowledgements.clear();
        trackedMembers.clear();
        unfenced.clear();
        draft = Optional.of(inherited);
        inherited.unfenced().forEach(member -> addUnfenced(now, member));
    }

    /** Waits for a table: {@link #beginTerm} follows when the successor has sent its copy or has none. */
    void awaitTable() {
        draft = Optional.empty();
        unfenced.clear();
    }

    /**
     * Marks all members as unfenced that have not reported the given epoch. The coordinator of that epoch may
     * still act as the successor that it was before, until it receives the record from a member.
     */
    void addUnfencedBehind(long now, long epoch) {
        Set<InstanceId> members = new HashSet<>(state.detector.peers());
        draft.ifPresent(table -> members.addAll(table.members()));
        members.stream()
                .filter(member -> state.peer(member).recordEpoch < epoch)
                .forEach(member -> addUnfenced(now, member));
    }

    /**
     * Marks the members as unfenced from which this instance received heartbeats, but none with the given
     * epoch. A member without any heartbeat is not marked, because an instance that never started would block
     * the rights of others forever.
     */
    void addKnownUnfencedBehind(long now, long epoch) {
        state.detector.peers().stream()
                .filter(member -> state.peer(member).startId != 0 && state.peer(member).recordEpoch < epoch)
                .forEach(member -> addUnfenced(now, member));
    }

    /**
     * Continues under a new epoch. The replaced successor may still issue permits to members without the new
     * record.
     */
    void onSuccessorReplaced(long now) {
        unacknowledged.clear();
        Set<InstanceId> members = new HashSet<>(state.detector.peers());
        draft.ifPresent(table -> members.addAll(table.members()));
        members.remove(state.self);
        members.forEach(member -> addUnfenced(now, member));
    }

    /**
     * Continues under a new epoch with the same successor. The successor stops permits for tables of older
     * epochs with its next acknowledgement, as for any new table, so no member becomes unfenced.
     */
    void onSuccessorKept() {
        unacknowledged.clear();
    }

    private void addUnfenced(long now, InstanceId member) {
        if (!member.equals(state.self)) {
            unfenced.put(
                    member, new UnfencedMember(now, state.record.orElseThrow().epoch(), state.peer(member).startId));
        }
    }

    /**
     * Returns the members that may hold permits of a replaced successor.
     *
     * @param moveOnSilence whether to consider only permits for services that move on silence, which expire
     */
    Set<InstanceId> unfenced(long now, boolean moveOnSilence) {
        // An isolated successor issues such permits only for one validity period after it was last confirmed.
        long expiryMillis = 2 * Timing.PERMIT_MILLIS + 2 * Timing.CLOCK_ALLOWANCE_MILLIS;
        Set<InstanceId> result = new TreeSet<>();
        unfenced.forEach((member, entry) -> {
            if (!moveOnSilence || now < entry.sinceMillis() + expiryMillis) {
                result.add(member);
            }
        });
        return result;
    }

    /** Returns the lowest epoch whose sender tokens reject claims of every unfenced member. */
    long fencingEpoch() {
        return unfenced.values().stream().mapToLong(UnfencedMember::epoch).max().orElse(0);
    }

    /** Returns the version of the next table. */
    TableVersion nextVersion() {
        long epoch = state.record.orElseThrow().epoch();
        TableVersion last = draft.map(AssignmentTable::version).orElse(TableVersion.NONE);
        return new TableVersion(epoch, last.epoch() == epoch ? last.number() + 1 : 1);
    }

    /** Returns the members that the next table lists. */
    Set<InstanceId> members(long now) {
        Set<InstanceId> members = new TreeSet<>(state.detector.peers());
        members.add(state.self);
        draft.ifPresent(table -> table.members().stream()
                .filter(id -> unfenced.containsKey(id) || state.detector.silentMillis(now, id) < MEMBER_REMOVAL_MILLIS)
                .forEach(members::add));
        return members;
    }

    /** Publishes a table. Returns the table if no acknowledgement is needed because there is no successor. */
    Optional<AssignmentTable> publish(
            long now, List<RangeAssignment> ranges, List<SenderAssignment> senders, List<HomesRecord> homes) {
        AssignmentTable next = new AssignmentTable(
                nextVersion(), ranges, senders, homes, members(now), unfenced.keySet(), state.record);
        draft = Optional.of(next);
        trackedMembers.addAll(next.members());
        unacknowledged.put(next.version(), next);
        if (state.record.orElseThrow().successor().isEmpty()) {
            return onAcknowledged(now, next.version(), Map.of());
        }
        sendToSuccessor(now);
        return Optional.empty();
    }

    /** Resends the draft while the successor has not acknowledged it. */
    void tick(long now) {
        if (!unacknowledged.isEmpty() && now >= lastSentAt + RESEND_MILLIS) {
            sendToSuccessor(now);
        }
    }

    private void sendToSuccessor(long now) {
        lastSentAt = now;
        state.record.orElseThrow().successor().ifPresent(id -> state.effects.sendTable(id, draft.orElseThrow()));
    }

    /**
     * Processes a heartbeat of a member. Returns the table that the coordinator may use from now on, if it
     * changed.
     */
    Optional<AssignmentTable> onHeartbeat(long now, InstanceId member) {
        PeerState peer = state.peer(member);
        UnfencedMember unfencedMember = unfenced.get(member);
        boolean restarted =
                unfencedMember != null && unfencedMember.startId() != 0 && peer.startId != unfencedMember.startId();
        if (unfencedMember != null && (peer.tableVersion.epoch() >= unfencedMember.epoch() || restarted)) {
            unfenced.remove(member);
        }
        if (state.record.orElseThrow().isSuccessor(member)) {
            return onAcknowledged(now, peer.tableVersion, peer.permitAges);
        }
        return Optional.empty();
    }

    private Optional<AssignmentTable> onAcknowledged(long now, TableVersion version, Map<InstanceId, Long> permitAges) {
        Map.Entry<TableVersion, AssignmentTable> newest = unacknowledged.floorEntry(version);
        if (newest == null) {
            return Optional.empty();
        }
        acknowledgements.put(newest.getKey(), new Acknowledgement(now, permitAges));
        while (acknowledgements.size() > MAX_ACKNOWLEDGEMENTS) {
            // The next later acknowledgement is used instead of a removed one, which can only lengthen a wait.
            acknowledgements.pollFirstEntry();
        }
        unacknowledged.headMap(newest.getKey(), true).clear();
        trackedMembers.removeIf(
                id -> !newest.getValue().members().contains(id) && cannotUseOlder(now, id, newest.getKey()));
        return Optional.of(newest.getValue());
    }

    /** Returns whether no fenced member can use a table older than the version. */
    boolean inEffect(long now, TableVersion version) {
        if (acknowledgements.ceilingEntry(version) == null) {
            return false;
        }
        return !state.rules.waitsForSilentMembers()
                || trackedMembers.stream()
                        .allMatch(id ->
                                id.equals(state.self) || unfenced.containsKey(id) || cannotUseOlder(now, id, version));
    }

    /** Returns whether a member cannot use a table older than the version. */
    private boolean cannotUseOlder(long now, InstanceId member, TableVersion version) {
        if (state.peer(member).tableVersion.atLeast(version)) {
            return true;
        }
        // A member that reaches only the successor may have acknowledged any older version and got permits
        // for it.
        Map.Entry<TableVersion, Acknowledgement> acknowledgement = acknowledgements.ceilingEntry(version);
        if (acknowledgement == null) {
            return false;
        }
        long lastIssuedBySuccessor = acknowledgement.getValue().atMillis()
                - acknowledgement.getValue().permitAges().getOrDefault(member, 0L);
        return now >= Math.max(lastIssuedBySuccessor, issuer.lastIssued(member)) + Timing.PERMIT_EXPIRY_MILLIS;
    }
}
