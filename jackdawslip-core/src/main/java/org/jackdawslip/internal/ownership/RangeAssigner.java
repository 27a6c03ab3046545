package org.jackdawslip.internal.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FencingToken;
import org.jackdawslip.InstanceId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.bundle.BackendServer;
import org.jackdawslip.internal.bundle.ServicePolicy.OnSilence;

/**
 * Decides for the coordinator which ranges and sender rights are released, and which backend server or
 * instance gets them afterwards.
 *
 * <p>Invariant: a range or right gets a new holder only after a table without a holder for it is in effect
 * and the grants of the old holder are revoked or expired. Not thread-safe; confined to its member.
 */
final class RangeAssigner {

    /**
     * Ranges are moved to backend servers with too few ranges only while at most one in this number of
     * ranges is moving.
     */
    private static final int REFILL_DIVISOR = 10;

    private final MemberState state;
    private final TablePublisher publisher;
    private final HomeAssigner homes;
    private final Map<RangeKey, Release> releases = new HashMap<>();
    /** The backend servers that released ranges are reserved for. */
    private final Map<RangeKey, BackendServerId> moveTargets = new HashMap<>();

    private final Map<BackendServerId, RightRelease> rightReleases = new HashMap<>();
    /** The time at which a free sender right got a new holder. */
    private final Map<BackendServerId, Long> rightClearedAt = new HashMap<>();

    private final Map<BackendServerId, Long> acceptedEpochs = new HashMap<>();
    private final DomainLoadBalancer loadBalancer;
    /** The ranges that are released to balance the load, not because of a loss. */
    private final Set<RangeKey> movingForLoad = new HashSet<>();

    /** Whether the term started without a table and previous owners may still hold grants. */
    private boolean tableLost;
    /** The first version that this term publishes. */
    private TableVersion firstVersion = TableVersion.NONE;

    private long firstInEffectAt;

    RangeAssigner(MemberState state, TablePublisher publisher, HomeAssigner homes) {
        this.state = state;
        this.publisher = publisher;
        this.homes = homes;
        this.loadBalancer = new DomainLoadBalancer(state);
    }

    /** Processes a load report of a sender. */
    void onRangeLoads(long now, RangeLoads loads) {
        loadBalancer.onRangeLoads(now, loads);
    }

    /** Identifies a range of a service. */
    private record RangeKey(ServiceName service, KeyRange range) implements Comparable<RangeKey> {
        @Override
        public int compareTo(RangeKey other) {
            int byService = service.compareTo(other.service);
            return byService != 0 ? byService : range.compareTo(other.range);
        }
    }

    /** A released range that backend servers may still own. */
    private static final class Release {
        private final TableVersion version;
        /** The backend servers that may still own the range. */
        private final Set<BackendServerId> from;

        private boolean inEffect;
        /** The times since which no member can renew the grants of a backend server. */
        private final Map<BackendServerId, Long> renewalsStoppedAt = new HashMap<>();

        private Release(TableVersion version, Set<BackendServerId> from) {
            this.version = version;
            this.from = new HashSet<>(from);
        }
    }

    /**
     * A released sender right that an instance may still use; the instance is empty if a predecessor released
     * it.
     */
    private record RightRelease(TableVersion version, Optional<InstanceId> from) {}

    /**
     * Starts a term of the coordinator. In a term without a table, every backend server may own every range
     * at first.
     *
     * @param withoutTable whether the previous table was lost
     * @param predecessorExpiresAt the time from which the predecessor can no longer act
     */
    void beginTerm(boolean withoutTable, long predecessorExpiresAt) {
        releases.clear();
        moveTargets.clear();
        acceptedEpochs.clear();
        rightReleases.clear();
        rightClearedAt.clear();
        movingForLoad.clear();
        loadBalancer.beginTerm();
        tableLost = withoutTable;
        firstVersion = publisher.nextVersion();
        firstInEffectAt = Long.MAX_VALUE;
        AssignmentTable inherited = publisher.draft().orElseThrow();
        for (RangeAssignment entry : inherited.ranges()) {
            if (entry.owner().isEmpty()) {
                releases.put(
                        new RangeKey(entry.service(), entry.range()),
                        new Release(firstVersion, allServers(entry.service())));
                homes.fence(entry.service(), predecessorExpiresAt);
            }
        }
        if (withoutTable) {
            state.services().forEach(service -> homes.fence(service, predecessorExpiresAt));
        }
        for (SenderAssignment entry : inherited.senders()) {
            if (entry.sender().isEmpty()) {
                rightReleases.put(entry.backendServer(), new RightRelease(firstVersion, Optional.empty()));
            }
        }
    }

    private Set<BackendServerId> allServers(ServiceName service) {
        return state.ownServers().stream()
                .filter(server -> server.service().equals(service))
                .map(BackendServer::id)
                .collect(Collectors.toSet());
    }

    /**
     * Publishes a new table if assignments change. Returns the table if the coordinator may use it at once.
     */
    Optional<AssignmentTable> tick(long now) {
        AssignmentTable draft = publisher.draft().orElseThrow();
        if (tableLost && firstInEffectAt == Long.MAX_VALUE && publisher.inEffect(now, firstVersion)) {
            firstInEffectAt = now;
        }
        if (tableLost
                && firstInEffectAt != Long.MAX_VALUE
                && now >= firstInEffectAt + Timing.GRANT_EXPIRY_MILLIS
                && publisher.unfenced(now, false).isEmpty()) {
            tableLost = false;
        }
        recordAcceptedEpochs(now);
        homes.tick(now, (service, range) -> isReleased(now, service, range));
        List<SenderAssignment> senders = nextSenders(now, draft);
        List<RangeAssignment> ranges = nextRanges(now, draft);
        List<HomesRecord> records = homes.records();
        boolean changed = draft.version().epoch() != state.record.orElseThrow().epoch()
                || !senders.equals(draft.senders())
                || !ranges.equals(draft.ranges())
                || !records.equals(draft.homes())
                || !publisher.members(now).equals(draft.members());
        return changed ? publisher.publish(now, ranges, senders, records) : Optional.empty();
    }

    /** Records the highest epoch of a sender token that each backend server has accepted. */
    private void recordAcceptedEpochs(long now) {
        for (BackendServer server : state.ownServers()) {
            state.newestReport(now, server.id())
                    .filter(reported -> !reported.summary().grantedVersion().equals(TableVersion.NONE))
                    .ifPresent(reported -> acceptedEpochs.merge(
                            server.id(), Tokens.claimEpoch(reported.summary().senderToken()), Math::max));
        }
    }

    /** Returns whether no backend server can own any part of a range. */
    private boolean isReleased(long now, ServiceName service, KeyRange range) {
        return publisher.draft().orElseThrow().ranges().stream()
                .filter(entry ->
                        entry.service().equals(service) && entry.range().overlaps(range))
                .allMatch(entry ->
                        entry.owner().isEmpty() && isReleaseComplete(now, new RangeKey(service, entry.range())));
    }

    /** Returns whether every backend server has lost a released range. */
    private boolean isReleaseComplete(long now, RangeKey key) {
        Release release = releases.get(key);
        if (release == null) {
            return true;
        }
        release.inEffect = release.inEffect || publisher.inEffect(now, release.version);
        if (!release.inEffect) {
            return false;
        }
        release.from.removeIf(server -> isGrantEnded(now, server, release));
        if (release.from.isEmpty()) {
            releases.remove(key);
            return true;
        }
        return false;
    }

    /** Returns whether the grant of a released range at a backend server is revoked or expired. */
    private boolean isGrantEnded(long now, BackendServerId id, Release release) {
        BackendServer server = state.bundle.orElseThrow().backendServers().get(id);
        boolean checksTokens = server == null || state.policy(server).checksTokens();
        boolean moves = server != null && state.policy(server).onSilence() == OnSilence.MOVE;
        Set<InstanceId> unfenced = publisher.unfenced(now, moves);
        AssignmentTable draft = publisher.draft().orElseThrow();
        Optional<MemberState.ReportedSummary> reported = state.newestReport(now, id);
        boolean revocationConfirmed = reported.isPresent()
                && !reported.get().summary().unreachable()
                && reported.get().summary().grantedVersion().atLeast(release.version);
        if (checksTokens) {
            // The backend server rejects claims under an older epoch than that of the token that it has
            // accepted.
            boolean unfencedRejected = acceptedEpochs.getOrDefault(id, 0L) >= publisher.fencingEpoch();
            if (!unfenced.isEmpty() && !unfencedRejected) {
                release.renewalsStoppedAt.remove(id);
                return false;
            }
            long stoppedAt = release.renewalsStoppedAt.computeIfAbsent(id, unused -> now);
            return revocationConfirmed || now >= stoppedAt + Timing.GRANT_EXPIRY_MILLIS;
        }
        Optional<InstanceId> sender = draft.sender(id).flatMap(SenderAssignment::sender);
        if (mayStillSend(id, sender, unfenced)) {
            release.renewalsStoppedAt.remove(id);
            return false;
        }
        long clearedAt = rightClearedAt.getOrDefault(id, 0L);
        long lastRenewal = release.renewalsStoppedAt.computeIfAbsent(id, unused -> now);
        if (reported.isPresent()
                && reported.get().summary().unreachable()
                && sender.equals(Optional.of(reported.get().by()))
                && rightClearedAt.containsKey(id)) {
            // A sender that took over but never reached the backend server has renewed no grants.
            lastRenewal = Math.min(
                    lastRenewal,
                    Math.max(clearedAt, now - reported.get().summary().millisSinceLastRenewal()));
        }
        return revocationConfirmed && now >= clearedAt + Timing.GRANT_CALL_MILLIS
                || now >= lastRenewal + Timing.GRANT_EXPIRY_MILLIS;
    }

    /** Returns the senders of the backend servers that do not check tokens, for the next table. */
    private List<SenderAssignment> nextSenders(long now, AssignmentTable draft) {
        List<SenderAssignment> result = new ArrayList<>();
        TableVersion next = publisher.nextVersion();
        for (BackendServer server : state.ownServers()) {
            if (state.policy(server).checksTokens()) {
                continue;
            }
            SenderAssignment current = draft.sender(server.id())
                    .orElse(new SenderAssignment(server.id(), Optional.empty(), FencingToken.NONE));
            if (current.sender().isPresent()) {
                boolean keep = keepsRight(now, server, current.sender().get());
                if (!keep) {
                    rightReleases.put(server.id(), new RightRelease(next, current.sender()));
                    current = new SenderAssignment(server.id(), Optional.empty(), FencingToken.NONE);
                }
            } else if (isRightFree(now, server)) {
                Optional<InstanceId> chosen = RangePlanner.preferred(server.id().value(), rightCandidates(now, server));
                if (chosen.isPresent()) {
                    rightReleases.remove(server.id());
                    rightClearedAt.put(server.id(), now);
                    current = new SenderAssignment(server.id(), chosen, Tokens.rangeToken(0, next));
                }
            }
            result.add(current);
        }
        return result;
    }

    /** Returns whether an unfenced member holds the right, or held it when it was released. */
    private boolean mayStillSend(BackendServerId server, Optional<InstanceId> sender, Set<InstanceId> unfenced) {
        if (sender.isPresent()) {
            return unfenced.contains(sender.get());
        }
        RightRelease release = rightReleases.get(server);
        boolean unknown = release == null ? tableLost : release.from().isEmpty();
        return !unfenced.isEmpty()
                && (unknown
                        || release != null && unfenced.contains(release.from().get()));
    }

    /** Returns whether no instance can use a released right any more. */
    private boolean isRightFree(long now, BackendServer server) {
        RightRelease release = rightReleases.get(server.id());
        boolean moves = state.policy(server).onSilence() == OnSilence.MOVE;
        if (mayStillSend(server.id(), Optional.empty(), publisher.unfenced(now, moves))) {
            return false;
        }
        TableVersion version = release != null ? release.version() : firstVersion;
        return release == null && !tableLost || publisher.inEffect(now, version);
    }

    /** Returns whether the sender of a backend server stays the same in the next table. */
    private boolean keepsRight(long now, BackendServer server, InstanceId sender) {
        boolean moves = state.policy(server).onSilence() == OnSilence.MOVE;
        if (publisher.unfenced(now, moves).contains(sender)) {
            return true;
        }
        return state.isAlive(now, sender)
                && !state.leaving(sender)
                && (moves
                        || !state.record.orElseThrow().isSuccessor(sender)
                        || rightCandidates(now, server).contains(sender));
    }

    /**
     * Returns the instances that may become the sender of a backend server. A lost successor keeps rights
     * that stay on silence, so the successor gets such rights only if no other instance can take them.
     */
    private List<InstanceId> rightCandidates(long now, BackendServer server) {
        List<InstanceId> all = state.candidates(now);
        if (state.policy(server).onSilence() == OnSilence.MOVE) {
            return all;
        }
        List<InstanceId> others = all.stream()
                .filter(id -> !state.record.orElseThrow().isSuccessor(id))
                .toList();
        return others.isEmpty() ? all : others;
    }

    /** Returns the owners of all ranges for the next table. */
    private List<RangeAssignment> nextRanges(long now, AssignmentTable draft) {
        TreeMap<RangeKey, RangeAssignment> entries = new TreeMap<>();
        draft.ranges().forEach(entry -> entries.put(new RangeKey(entry.service(), entry.range()), entry));
        state.services().forEach(service -> {
            applyHomes(service, entries);
            assignRanges(now, service, entries);
            balanceLoad(now, service, entries);
        });
        movingForLoad.removeIf(
                key -> !entries.containsKey(key) || entries.get(key).owner().isPresent());
        entries.keySet()
                .removeIf(
                        key -> state.bundle.orElseThrow().service(key.service()).isEmpty());
        return List.copyOf(entries.values());
    }

    /** Adds and removes ranges so that they match the homes of the own failure domain. */
    private void applyHomes(ServiceName service, TreeMap<RangeKey, RangeAssignment> entries) {
        Optional<HomesRecord> record = homes.record(service);
        if (record.isEmpty()) {
            return;
        }
        List<KeyRange> ownRanges = record.get().homes().stream()
                .filter(home -> home.failureDomain().equals(state.domain))
                .map(HomeAssignment::range)
                .toList();
        entries.keySet()
                .removeIf(key ->
                        key.service().equals(service) && ownRanges.stream().noneMatch(key.range()::overlaps));
        List<KeyRange> assignedRanges = entries.keySet().stream()
                .filter(key -> key.service().equals(service))
                .map(RangeKey::range)
                .toList();
        for (KeyRange range : ownRanges) {
            if (assignedRanges.stream().noneMatch(range::overlaps)) {
                RangeKey key = new RangeKey(service, range);
                entries.put(key, new RangeAssignment(service, range, Optional.empty(), FencingToken.NONE));
                releases.remove(key);
                if (tableLost) {
                    releases.put(key, new Release(publisher.nextVersion(), allServers(service)));
                }
            }
        }
    }

    /** Releases ranges of backend servers that cannot keep them, and assigns released ranges. */
    private void assignRanges(long now, ServiceName service, TreeMap<RangeKey, RangeAssignment> entries) {
        TableVersion next = publisher.nextVersion();
        Map<BackendServerId, Integer> rangeCounts = new TreeMap<>();
        Set<BackendServerId> unavailable = new HashSet<>();
        for (BackendServer server : state.ownServers()) {
            if (!server.service().equals(service)) {
                continue;
            }
            Optional<MemberState.ReportedSummary> reported = state.newestReport(now, server.id());
            if (server.leaving()
                    || !state.inService()
                    || reported.isPresent() && reported.get().summary().unreachable()) {
                unavailable.add(server.id());
            } else if (reported.isPresent()) {
                rangeCounts.put(server.id(), 0);
            }
        }
        Map<KeyRange, BackendServerId> owners = new TreeMap<>();
        List<RangeKey> assignable = new ArrayList<>();
        int total = 0;
        for (RangeKey key : List.copyOf(entries.keySet())) {
            if (!key.service().equals(service)) {
                continue;
            }
            total++;
            Optional<BackendServerId> owner = entries.get(key).owner();
            if (owner.isPresent()) {
                BackendServer server =
                        state.bundle.orElseThrow().backendServers().get(owner.get());
                if (unavailable.contains(owner.get()) || server == null || homes.isTransferring(service, key.range())) {
                    release(entries, key, owner.get(), next, null);
                } else {
                    owners.put(key.range(), owner.get());
                    rangeCounts.computeIfPresent(owner.get(), (id, count) -> count + 1);
                }
            } else if (isReleaseComplete(now, key) && homes.mayAssign(service, key.range()) && state.inService()) {
                assignable.add(key);
            }
        }
        for (RangeKey key : assignable) {
            int totalRanges = total;
            BackendServerId reserved = moveTargets.remove(key);
            Optional<BackendServerId> target = reserved != null && rangeCounts.containsKey(reserved)
                    ? Optional.of(reserved)
                    : RangePlanner.place(key.range(), rangeCounts, totalRanges);
            target.ifPresent(server -> {
                rangeCounts.merge(server, 1, Integer::sum);
                long homeVersion = homes.record(service).orElseThrow().version();
                entries.put(
                        key, new RangeAssignment(service, key.range(), target, Tokens.rangeToken(homeVersion, next)));
            });
        }
        refill(now, service, entries, owners, rangeCounts, total);
    }

    /** Releases one range for a backend server that has too few. */
    private void refill(
            long now,
            ServiceName service,
            TreeMap<RangeKey, RangeAssignment> entries,
            Map<KeyRange, BackendServerId> owners,
            Map<BackendServerId, Integer> rangeCounts,
            int total) {
        long moving = entries.entrySet().stream()
                .filter(entry -> entry.getKey().service().equals(service)
                        && entry.getValue().owner().isEmpty())
                .count();
        if (moving >= Math.max(1, total / REFILL_DIVISOR)) {
            return;
        }
        Map<BackendServerId, Integer> rangeCountsAfterMoves = new TreeMap<>(rangeCounts);
        moveTargets.forEach((key, server) -> {
            if (key.service().equals(service)
                    && entries.containsKey(key)
                    && entries.get(key).owner().isEmpty()) {
                // Moving ranges count for their target; otherwise a server that lacks one range would get a
                // tenth of all ranges.
                rangeCountsAfterMoves.computeIfPresent(server, (id, count) -> count + 1);
            }
        });
        RangePlanner.refill(owners, rangeCountsAfterMoves, loadBalancer.loadedServers(now, service), total)
                .ifPresent(move -> release(
                        entries,
                        new RangeKey(service, move.range()),
                        owners.get(move.range()),
                        publisher.nextVersion(),
                        move.to()));
    }

    private void release(
            TreeMap<RangeKey, RangeAssignment> entries,
            RangeKey key,
            BackendServerId from,
            TableVersion version,
            BackendServerId target) {
        releases.put(key, new Release(version, Set.of(from)));
        moveTargets.remove(key);
        if (target != null) {
            moveTargets.put(key, target);
        }
        RangeAssignment entry = entries.get(key);
        entries.put(key, new RangeAssignment(entry.service(), entry.range(), Optional.empty(), entry.token()));
    }

    /** Applies the changes that the load balancer requests, if the failure domain is settled. */
    private void balanceLoad(long now, ServiceName service, TreeMap<RangeKey, RangeAssignment> entries) {
        List<LoadBalancer.TableRange> tableRanges = new ArrayList<>();
        TreeMap<Long, KeyRange> byFirst = new TreeMap<>(Long::compareUnsigned);
        homes.record(service).ifPresent(record -> record.homes()
                .forEach(home -> byFirst.put(home.range().first(), home.range())));
        boolean settled = !tableLost
                && state.inService()
                && publisher.inEffect(now, firstVersion)
                && publisher.unfenced(now, false).isEmpty();
        for (Map.Entry<RangeKey, RangeAssignment> entry : entries.entrySet()) {
            if (!entry.getKey().service().equals(service)) {
                continue;
            }
            KeyRange range = entry.getKey().range();
            RangeAssignment value = entry.getValue();
            settled &= !homes.isTransferring(service, range)
                    && (value.owner().isPresent() || movingForLoad.contains(entry.getKey()));
            Map.Entry<Long, KeyRange> home = byFirst.floorEntry(range.first());
            if (home != null && home.getValue().contains(range.last())) {
                tableRanges.add(new LoadBalancer.TableRange(range, home.getValue(), value.owner(), value.token()));
            } else {
                settled = false;
            }
        }
        for (LoadBalancer.Change change : loadBalancer.changes(now, service, tableRanges, settled)) {
            applyChange(service, change, entries);
        }
    }

    /** Applies a change of the load balancer to the table entries. */
    private void applyChange(
            ServiceName service, LoadBalancer.Change change, TreeMap<RangeKey, RangeAssignment> entries) {
        if (change instanceof LoadBalancer.Change.Split split) {
            RangeAssignment old = entries.remove(new RangeKey(service, split.range()));
            split.parts().forEach(part -> putWithSameOwner(old, part, entries));
        } else if (change instanceof LoadBalancer.Change.Merge merge) {
            RangeAssignment old = null;
            for (KeyRange part : merge.parts()) {
                old = entries.remove(new RangeKey(service, part));
            }
            putWithSameOwner(old, merge.merged(), entries);
        } else if (change instanceof LoadBalancer.Change.Move move) {
            Set<BackendServerId> from = new HashSet<>();
            FencingToken highest = FencingToken.NONE;
            for (KeyRange part : move.parts()) {
                RangeAssignment old = entries.remove(new RangeKey(service, part));
                from.add(old.owner().orElseThrow());
                highest = old.token().compareTo(highest) > 0 ? old.token() : highest;
            }
            RangeKey key = new RangeKey(service, move.merged());
            entries.put(key, new RangeAssignment(service, move.merged(), Optional.empty(), highest));
            releases.put(key, new Release(publisher.nextVersion(), from));
            moveTargets.put(key, move.to());
            movingForLoad.add(key);
        }
    }

    private static void putWithSameOwner(
            RangeAssignment old, KeyRange range, TreeMap<RangeKey, RangeAssignment> entries) {
        entries.put(
                new RangeKey(old.service(), range),
                new RangeAssignment(old.service(), range, old.owner(), old.token()));
    }
}
