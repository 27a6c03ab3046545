package org.jackdawslip.internal.ownership;

import java.util.HashMap;
import java.util.Map;

import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.bundle.ServicePolicy.OnSilence;

/**
 * The permits that this instance received. The validity of a permit starts when this instance sent the
 * heartbeat that the permit replies to, so a pause of this instance never extends it. Not thread-safe;
 * confined to its member.
 */
final class PermitHolder {

    private final MemberState state;
    private final CoordinatorLease lease;
    private final Map<InstanceId, Long> validUntil = new HashMap<>();
    private final Map<InstanceId, Long> moveValidUntil = new HashMap<>();

    private boolean confirmedByCoordinator;

    PermitHolder(MemberState state, CoordinatorLease lease) {
        this.state = state;
        this.lease = lease;
    }

    /** Processes the permit of a reply, if it has one. */
    void onHeartbeatReply(long now, HeartbeatReply reply) {
        if (!reply.permit()) {
            return;
        }
        // A restarted instance may get permits from a successor that was replaced long ago. Permits are
        // therefore used only after a permit from the coordinator, which acts only while it is the current
        // coordinator.
        confirmedByCoordinator |= state.record.isPresent()
                && state.record.get().isCoordinator(reply.from())
                && state.record.get().epoch() == reply.permitVersion().epoch();
        long validFrom = state.rules.countsPermitsFromSending() ? reply.sentAtMillis() : now;
        validUntil.merge(reply.from(), validFrom + Timing.PERMIT_MILLIS, Math::max);
        if (reply.permitCoversMove()) {
            moveValidUntil.merge(reply.from(), validFrom + Timing.PERMIT_MILLIS, Math::max);
        }
    }

    /**
     * Returns whether this instance may now renew grants of a service with this policy, and send to its
     * backend servers that do not check tokens.
     */
    boolean isValid(long now, OnSilence policy) {
        if (state.record.isEmpty() || !state.table.members().contains(state.self)) {
            return false;
        }
        CoordinatorRecord record = state.record.get();
        if (lease.isCoordinator()) {
            if (lease.canAct(now) || lease.hasInterimRights(now)) {
                return true;
            }
        } else if (lease.mayServeAsSuccessor()
                && state.table.version().epoch() == record.epoch()
                && (policy == OnSilence.STAY || lease.permitsCoverMove(now))) {
            return true;
        }
        if (!confirmedByCoordinator) {
            return false;
        }
        Map<InstanceId, Long> receivedPermits = policy == OnSilence.STAY ? validUntil : moveValidUntil;
        return receivedPermits.entrySet().stream()
                .anyMatch(permit -> record.names(permit.getKey()) && now < permit.getValue());
    }
}
