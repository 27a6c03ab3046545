package org.jackdawslip.internal.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.ownership.AssignmentTable;
import org.jackdawslip.internal.ownership.KeyRange;
import org.jackdawslip.internal.ownership.RangeAssignment;

/**
 * Counts the ranges whose owner changes between successive tables.
 *
 * <p>While a range has no owner, its last owner is remembered. Each part of a split range starts with the
 * last owner of the whole range. A first owner is not counted as a change. Not thread-safe; confined to the
 * decision thread.
 */
final class OwnerChangeCounter {

    private AssignmentTable lastTable = AssignmentTable.EMPTY;
    private Map<ServiceName, TreeMap<KeyRange, BackendServerId>> lastOwners = new HashMap<>();

    /** Returns the number of owner changes since the table of the previous call. */
    int countChanges(AssignmentTable table) {
        if (table == lastTable) {
            return 0;
        }
        lastTable = table;
        int changed = 0;
        Map<ServiceName, TreeMap<KeyRange, BackendServerId>> nextOwners = new HashMap<>();
        for (RangeAssignment entry : table.ranges()) {
            BackendServerId previous = lastOwner(entry);
            Optional<BackendServerId> owner = entry.owner();
            if (previous != null && owner.isPresent() && !owner.get().equals(previous)) {
                changed++;
            }
            BackendServerId latest = owner.orElse(previous);
            if (latest != null) {
                nextOwners
                        .computeIfAbsent(entry.service(), service -> new TreeMap<>())
                        .put(entry.range(), latest);
            }
        }
        lastOwners = nextOwners;
        return changed;
    }

    private BackendServerId lastOwner(RangeAssignment entry) {
        TreeMap<KeyRange, BackendServerId> ownersOfService = lastOwners.get(entry.service());
        // The last range that starts at or before the start of this one; if it ends before, the two do not
        // overlap.
        Map.Entry<KeyRange, BackendServerId> floor = ownersOfService == null
                ? null
                : ownersOfService.floorEntry(new KeyRange(entry.range().first(), -1L));
        return floor != null && floor.getKey().contains(entry.range().first()) ? floor.getValue() : null;
    }
}
