package org.jackdawslip.internal.ownership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.bundle.BackendServer;
import org.jackdawslip.internal.bundle.Bundle;
import org.jackdawslip.internal.bundle.ServicePolicy;
import org.jackdawslip.internal.membership.FailureDetector;

/** The state that the components of one member share. Not thread-safe; confined to its member. */
final class MemberState {

    final InstanceId self;
    final FailureDomainId domain;
    final long startId;
    final long startedAt;
    final MemberEffects effects;
    final RandomGenerator random;
    final SafetyRules rules;
    final FailureDetector detector = new FailureDetector(Timing.SUSPECT_MILLIS);
    final Map<InstanceId, PeerState> peers = new HashMap<>();
    Optional<Bundle> bundle = Optional.empty();
    AssignmentTable table = AssignmentTable.EMPTY;
    Optional<CoordinatorRecord> record = Optional.empty();
    List<SenderSummary> ownSummaries = List.of();
    boolean leaving;
    /** Whether this instance is leaving and has no open request. */
    boolean drained;
    /** Whether no other instance of the failure domain can take over a role or right. */
    boolean noOtherCandidate;
    /** Whether every other instance of the failure domain is silent, leaving ones included. */
    boolean noOtherAlive;
    /** Whether another instance is coordinator and not silent. */
    boolean coordinatorAlive;
    /** Whether no member may hold permits of a replaced successor. */
    boolean allFenced;
    /** Whether a heartbeat goes to every peer at the end of the current input. */
    boolean heartbeatDue;

    MemberState(DomainMember.Builder builder) {
        self = builder.self;
        domain = builder.domain;
        startId = builder.startId;
        startedAt = builder.startedAt;
        effects = builder.effects;
        random = builder.random;
        rules = builder.rules;
    }

    PeerState peer(InstanceId id) {
        return peers.computeIfAbsent(id, unused -> new PeerState());
    }

    /** Returns whether an instance is not silent. */
    boolean isAlive(long now, InstanceId id) {
        return id.equals(self) || detector.isAlive(now, id);
    }

    boolean leaving(InstanceId id) {
        return id.equals(self) ? leaving : peer(id).leaving();
    }

    /**
     * Returns the instances that can take over roles and rights: neither silent nor leaving, this one
     * included.
     */
    List<InstanceId> candidates(long now) {
        TreeSet<InstanceId> all = new TreeSet<>(detector.peers());
        all.add(self);
        return all.stream().filter(id -> isAlive(now, id) && !leaving(id)).toList();
    }

    /** Returns the newest summary of a backend server: the one with the highest sender token. */
    Optional<ReportedSummary> newestReport(long now, BackendServerId server) {
        ReportedSummary newest = null;
        for (SenderSummary summary : ownSummaries) {
            if (summary.backendServer().equals(server)) {
                newest = new ReportedSummary(self, summary);
            }
        }
        for (Map.Entry<InstanceId, PeerState> peer : peers.entrySet()) {
            if (!isAlive(now, peer.getKey())) {
                continue;
            }
            for (SenderSummary summary : peer.getValue().senders) {
                if (summary.backendServer().equals(server)
                        && (newest == null
                                || summary.senderToken()
                                                .compareTo(newest.summary().senderToken())
                                        > 0)) {
                    newest = new ReportedSummary(peer.getKey(), summary);
                }
            }
        }
        return Optional.ofNullable(newest);
    }

    ServicePolicy policy(BackendServer server) {
        return bundle.orElseThrow().services().get(server.service());
    }

    /** Returns the backend servers of the own failure domain in the order of their ids. */
    List<BackendServer> ownServers() {
        return bundle.map(current -> current.backendServers().values().stream()
                        .filter(server -> server.failureDomain().equals(domain))
                        .sorted((a, b) -> a.id().compareTo(b.id()))
                        .toList())
                .orElse(List.of());
    }

    /** Returns the services in the order of their names, so that equal inputs lead to equal decisions. */
    Set<ServiceName> services() {
        return bundle.<Set<ServiceName>>map(
                        current -> new TreeSet<>(current.services().keySet()))
                .orElse(Set.of());
    }

    /** Returns whether the own failure domain may get new work. */
    boolean inService() {
        return bundle.isPresent() && bundle.get().inService(domain);
    }

    /** Returns a random mark for a store record that this instance is about to write. */
    String newMark() {
        return Long.toHexString(random.nextLong());
    }

    /** A summary and the instance that reported it. */
    record ReportedSummary(InstanceId by, SenderSummary summary) {}
}
