package org.jackdawslip.internal.ownership;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.ServiceName;

/**
 * The assignment table of one failure domain. Immutable and thread-safe.
 *
 * @param version the version
 * @param ranges the ranges whose home is the failure domain
 * @param senders the senders of backend servers that do not check tokens
 * @param homes the newest homes records that the coordinator has read
 * @param members the instances that may get permits
 * @param unfenced the members that may still hold permits of a successor that was replaced, possibly while it
 *     could not be reached
 * @param coordinator the coordinator record under which the table was published
 */
public record AssignmentTable(
        TableVersion version,
        List<RangeAssignment> ranges,
        List<SenderAssignment> senders,
        List<HomesRecord> homes,
        Set<InstanceId> members,
        Set<InstanceId> unfenced,
        Optional<CoordinatorRecord> coordinator) {

    /** The table of a member that has received none. */
    public static final AssignmentTable EMPTY = new AssignmentTable(
            TableVersion.NONE, List.of(), List.of(), List.of(), Set.of(), Set.of(), Optional.empty());

    /** Makes defensive copies. */
    public AssignmentTable {
        ranges = List.copyOf(ranges);
        senders = List.copyOf(senders);
        homes = List.copyOf(homes);
        members = Set.copyOf(members);
        unfenced = Set.copyOf(unfenced);
    }

    Optional<RangeAssignment> range(ServiceName service, long hash) {
        return ranges.stream()
                .filter(entry ->
                        entry.service().equals(service) && entry.range().contains(hash))
                .findFirst();
    }

    Optional<SenderAssignment> sender(BackendServerId server) {
        return senders.stream()
                .filter(entry -> entry.backendServer().equals(server))
                .findFirst();
    }

    Optional<HomesRecord> homes(ServiceName service) {
        return homes.stream().filter(entry -> entry.service().equals(service)).findFirst();
    }
}
