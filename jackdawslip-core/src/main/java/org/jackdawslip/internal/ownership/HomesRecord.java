package org.jackdawslip.internal.ownership;

import java.util.List;

import org.jackdawslip.ServiceName;

/**
 * The store record that assigns each range of one service to a failure domain, its home. Immutable and
 * thread-safe.
 *
 * @param service the service
 * @param version 1 for the first record, one higher in each later one
 * @param homes the ranges in the order of their hashes; together they cover the hash space
 * @param mark identifies the write attempt that produced the record
 * @param modifyIndex the modification index of the record in the store; 0 before it is stored
 */
public record HomesRecord(
        ServiceName service, long version, List<HomeAssignment> homes, String mark, long modifyIndex) {

    /** Makes defensive copies. */
    public HomesRecord {
        homes = List.copyOf(homes);
    }
}
