package org.jackdawslip.internal.ownership;

/**
 * The version of an assignment table, ordered by epoch and then by number. Immutable and thread-safe.
 *
 * @param epoch the epoch of the coordinator record under which the table was published
 * @param number the sequence number of the table in its epoch
 */
public record TableVersion(long epoch, long number) implements Comparable<TableVersion> {

    /** The version of a member that has no table. */
    public static final TableVersion NONE = new TableVersion(0, 0);

    /** Returns whether this version is the same as the other one or newer. */
    public boolean atLeast(TableVersion other) {
        return compareTo(other) >= 0;
    }

    @Override
    public int compareTo(TableVersion other) {
        int byEpoch = Long.compare(epoch, other.epoch);
        return byEpoch != 0 ? byEpoch : Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return epoch + "." + number;
    }
}
