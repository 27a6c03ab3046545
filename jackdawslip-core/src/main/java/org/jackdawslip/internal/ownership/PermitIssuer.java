package org.jackdawslip.internal.ownership;

import java.util.HashMap;
import java.util.Map;

import org.jackdawslip.InstanceId;

/**
 * Decides which heartbeats get a permit, and records when each member last got one.
 *
 * <p>Invariants: a member gets a permit only if it acknowledged the newest table that this instance uses. A
 * successor issues permits only for a table of the current epoch, because an older table may lack a change
 * that took effect under another successor. Not thread-safe; confined to its member.
 */
final class PermitIssuer {

    private final MemberState state;
    private final CoordinatorLease lease;
    private final Map<InstanceId, Long> lastIssued = new HashMap<>();
    private long issuedByPredecessorUntil;

    PermitIssuer(MemberState state, CoordinatorLease lease) {
        this.state = state;
        this.lease = lease;
    }

    /**
     * Starts a term of the coordinator. Assumes that every member got a permit from the previous coordinator
     * at the given time.
     */
    void beginTerm(long issuedUntil) {
        issuedByPredecessorUntil = issuedUntil;
        lastIssued.clear();
    }

    /** Returns whether the reply to a heartbeat carries a permit, and records the permit. */
    boolean issuePermit(long now, Heartbeat heartbeat) {
        boolean mayIssue = lease.canAct(now) || lease.mayServeAsSuccessor();
        boolean issued = mayIssue
                && state.table.version().epoch() == state.record.get().epoch()
                && state.table.members().contains(heartbeat.from())
                && heartbeat.tableVersion().atLeast(state.table.version());
        if (issued) {
            lastIssued.put(heartbeat.from(), now);
        }
        return issued;
    }

    /** Returns whether permits that are issued now are also valid for services that move on silence. */
    boolean permitsCoverMove(long now) {
        return lease.canAct(now) || lease.permitsCoverMove(now);
    }

    /**
     * Returns the milliseconds since this successor last issued a permit to each member; empty in other
     * roles.
     */
    Map<InstanceId, Long> permitAges(long now) {
        Map<InstanceId, Long> ages = new HashMap<>();
        if (lease.isSuccessor()) {
            state.table
                    .members()
                    .forEach(member ->
                            // A previous process of this instance may have issued permits until this one
                            // started.
                            ages.put(member, now - Math.max(state.startedAt, lastIssued(member))));
        }
        return ages;
    }

    /**
     * Returns the time after which neither this instance nor the previous coordinator issued a permit to the
     * member.
     */
    long lastIssued(InstanceId member) {
        return lastIssued.getOrDefault(member, issuedByPredecessorUntil);
    }
}
