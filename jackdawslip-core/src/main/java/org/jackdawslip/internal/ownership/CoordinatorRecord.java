package org.jackdawslip.internal.ownership;

import java.util.Optional;

import org.jackdawslip.InstanceId;

/**
 * The store record that names the coordinator of a failure domain. Immutable and thread-safe.
 *
 * @param coordinator the instance that assigns ranges; empty in a vacant record, which any member may claim
 * @param successor the only instance that may take over from the coordinator
 * @param witness the instance without whose consent the successor may not take over; empty in failure domains
 *     of fewer than three members
 * @param epoch the version of the record, which increases with each change
 * @param mark identifies the write attempt that produced the record
 * @param modifyIndex the modification index of the record in the store; 0 before it is stored
 */
public record CoordinatorRecord(
        Optional<InstanceId> coordinator,
        Optional<InstanceId> successor,
        Optional<InstanceId> witness,
        long epoch,
        String mark,
        long modifyIndex) {

    /** Returns a record without coordinator, successor and witness. */
    static CoordinatorRecord vacant(long epoch, String mark) {
        return new CoordinatorRecord(Optional.empty(), Optional.empty(), Optional.empty(), epoch, mark, 0);
    }

    /** Returns whether the instance is the coordinator or the successor. */
    boolean names(InstanceId instance) {
        return isCoordinator(instance) || isSuccessor(instance);
    }

    boolean isCoordinator(InstanceId instance) {
        return coordinator.isPresent() && coordinator.get().equals(instance);
    }

    boolean isSuccessor(InstanceId instance) {
        return successor.isPresent() && successor.get().equals(instance);
    }

    boolean isWitness(InstanceId instance) {
        return witness.isPresent() && witness.get().equals(instance);
    }
}
