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
 * The coordinator's tables: the newest draft, what the successor acknowledged, and which version is in effect.
 *
 * <p>Invariants: members get a version only after the successor acknowledged it, so the copy of the successor is never
 * older than a table that anyone acts on. A version is in effect when no member can act on an older one. Not
 * thread-safe; confined to its member.
 */
final class TablePublisher {

    private static final long RESEND_MILLIS = 100;
    private static final int MAX_REMEMBERED = 256;
    private static final long FORGET_MEMBER_MILLIS = 10_000;

    private final MemberState state;
    private final PermitIssuer issuer;
    private final TreeMap<TableVersion, AssignmentTable> unacknowledged = new TreeMap<>();
    private final TreeMap<TableVersion, Acknowledged> acknowledgedAt = new TreeMap<>();
    private final Set<InstanceId> tracked = new TreeSet<>();
    private final Map<InstanceId, Unfenced> unfenced = new HashMap<>();
    private Optional<AssignmentTable> draft = Optional.empty();
    private long lastSentAt;

    TablePublisher(MemberState state, PermitIssuer issuer) {
        this.state = state;
        this.issuer = issuer;
    }

    /** A member that may hold permits of a replaced successor until it shows an epoch or restarts. */
    private record Unfenced(long sinceMillis, long epoch, long startId) {}

    /** When the successor acknowledged a version, and how old its permits for older versions were then. */
    private record Acknowledged(long atMillis, Map<InstanceId, Long> permitAges) {}

    Optional<AssignmentTable> draft() {
        return draft;
    }

    /** Starts a term from the given table. */
    void begin(long now, AssignmentTable from) {
        unacknowledged.clear();
        acknowledgedAt.clear();
        tracked.clear();
        unfenced.clear();
        draft = Optional.of(from);
        from.unfenced().forEach(member -> addUnfenced(now, member));
    }

    /** Starts a term without a table; {@link #begin} follows when it is clear whether a copy exists. */
    void beginWithoutTable() {
        draft = Optional.empty();
        unfenced.clear();
    }

    /**
     * Counts members that have not shown an epoch as unfenced. Its coordinator may still act as the successor that it
     * was before, until a member that knows the epoch tells it.
     */
    void unawareOf(long now, long epoch) {
        Set<InstanceId> members = new HashSet<>(state.detector.peers());
        draft.ifPresent(table -> members.addAll(table.members()));
        members.stream()
                .filter(member -> state.peer(member).recordEpoch < epoch)
                .forEach(member -> addUnfenced(now, member));
    }

    /**
     * Counts the members that this instance heard before, but not under the epoch, as unfenced. Members that it never
     * heard do not count, or an instance that never started would keep others from the rights.
     */
    void notSeenSince(long now, long epoch) {
        state.detector.peers().stream()
                .filter(member -> state.peer(member).startId != 0 && state.peer(member).recordEpoch < epoch)
                .forEach(member -> addUnfenced(now, member));
    }

    /** Continues under a new epoch: the replaced successor may still issue permits to members that do not know. */
    void replacedSuccessor(long now) {
        unacknowledged.clear();
        Set<InstanceId> members = new HashSet<>(state.detector.peers());
        draft.ifPresent(table -> members.addAll(table.members()));
        members.remove(state.self);
        members.forEach(member -> addUnfenced(now, member));
    }

    /**
     * Continues under a new epoch with the same successor. Its permits for tables of older epochs end with its next
     * acknowledgement, as in any move, so no member is unfenced by this.
     */
    void keptSuccessor() {
        unacknowledged.clear();
    }

    private void addUnfenced(long now, InstanceId member) {
        if (!member.equals(state.self)) {
            unfenced.put(member, new Unfenced(now, state.record.orElseThrow().epoch(), state.peer(member).startId));
        }
    }

    /** Returns the members that may act on permits of a replaced successor. */
    Set<InstanceId> unfenced(long now, boolean moveOnSilence) {
        // A replaced successor that is cut off stops its permits for such services after one term without news.
        long over = 2 * Timing.PERMIT_MILLIS + 2 * Timing.CLOCK_ALLOWANCE_MILLIS;
        Set<InstanceId> result = new TreeSet<>();
        unfenced.forEach((member, since) -> {
            if (!moveOnSilence || now < since.sinceMillis() + over) {
                result.add(member);
            }
        });
        return result;
    }

    /** Returns the epoch from which a sender token shuts out every unfenced member. */
    long fencingEpoch() {
        return unfenced.values().stream().mapToLong(Unfenced::epoch).max().orElse(0);
    }

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
                .filter(id -> unfenced.containsKey(id) || state.detector.silentMillis(now, id) < FORGET_MEMBER_MILLIS)
                .forEach(members::add));
        return members;
    }

    /** Publishes a table. Returns it if it needs no acknowledgement of a successor. */
    Optional<AssignmentTable> publish(
            long now, List<RangeAssignment> ranges, List<SenderAssignment> senders, List<HomesRecord> homes) {
        AssignmentTable next = new AssignmentTable(
                nextVersion(), ranges, senders, homes, members(now), unfenced.keySet(), state.record);
        draft = Optional.of(next);
        tracked.addAll(next.members());
        unacknowledged.put(next.version(), next);
        if (state.record.orElseThrow().successor().isEmpty()) {
            return acknowledged(now, next.version(), Map.of());
        }
        sendToSuccessor(now);
        return Optional.empty();
    }

    /** Sends the draft again while the successor has not acknowledged it. */
    void tick(long now) {
        if (!unacknowledged.isEmpty() && now >= lastSentAt + RESEND_MILLIS) {
            sendToSuccessor(now);
        }
    }

    private void sendToSuccessor(long now) {
        lastSentAt = now;
        state.record.orElseThrow().successor().ifPresent(id -> state.effects.sendTable(id, draft.orElseThrow()));
    }

    /** Takes a heartbeat of a member into account. Returns the table that the coordinator may act on from now. */
    Optional<AssignmentTable> onHeartbeat(long now, InstanceId member) {
        PeerState peer = state.peer(member);
        Unfenced since = unfenced.get(member);
        boolean restarted = since != null && since.startId() != 0 && peer.startId != since.startId();
        if (since != null && (peer.tableVersion.epoch() >= since.epoch() || restarted)) {
            unfenced.remove(member);
        }
        if (state.record.orElseThrow().isSuccessor(member)) {
            return acknowledged(now, peer.tableVersion, peer.permitAges);
        }
        return Optional.empty();
    }

    private Optional<AssignmentTable> acknowledged(long now, TableVersion version, Map<InstanceId, Long> permitAges) {
        Map.Entry<TableVersion, AssignmentTable> newest = unacknowledged.floorEntry(version);
        if (newest == null) {
            return Optional.empty();
        }
        acknowledgedAt.put(newest.getKey(), new Acknowledged(now, permitAges));
        while (acknowledgedAt.size() > MAX_REMEMBERED) {
            // A later entry stands in for a removed one and only lengthens the wait.
            acknowledgedAt.pollFirstEntry();
        }
        unacknowledged.headMap(newest.getKey(), true).clear();
        tracked.removeIf(id -> !newest.getValue().members().contains(id) && clear(now, id, newest.getKey()));
        return Optional.of(newest.getValue());
    }

    /** Returns whether no member that is fenced can act on a table older than the version. */
    boolean inEffect(long now, TableVersion version) {
        if (acknowledgedAt.ceilingEntry(version) == null) {
            return false;
        }
        return !state.rules.waitsForSilentMembers()
                || tracked.stream()
                        .allMatch(id -> id.equals(state.self) || unfenced.containsKey(id) || clear(now, id, version));
    }

    private boolean clear(long now, InstanceId member, TableVersion version) {
        if (state.peer(member).tableVersion.atLeast(version)) {
            return true;
        }
        // A member that only the successor hears may have acknowledged any older version, and got permits for it.
        Map.Entry<TableVersion, Acknowledged> stopped = acknowledgedAt.ceilingEntry(version);
        if (stopped == null) {
            return false;
        }
        long bySuccessor =
                stopped.getValue().atMillis() - stopped.getValue().permitAges().getOrDefault(member, 0L);
        return now >= Math.max(bySuccessor, issuer.lastIssued(member)) + Timing.PERMIT_OVER_MILLIS;
    }
}
