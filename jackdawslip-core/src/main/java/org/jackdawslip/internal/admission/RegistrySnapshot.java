package org.jackdawslip.internal.admission;

import java.util.List;
import java.util.Map;

import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.ownership.KeyRange;

/**
 * The content of a {@link RequestRegistry}, exported for a planned handover. Immutable.
 *
 * @param service the service
 * @param starts the range token and the start of complete records of each range
 * @param records the records of all request ids
 */
public record RegistrySnapshot(ServiceName service, Map<KeyRange, RangeStart> starts, List<RegistryRecord> records) {

    /** Copies the collections. */
    public RegistrySnapshot {
        starts = Map.copyOf(starts);
        records = List.copyOf(records);
    }
}
