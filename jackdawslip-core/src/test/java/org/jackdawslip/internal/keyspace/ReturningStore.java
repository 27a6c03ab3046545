package org.jackdawslip.internal.keyspace;

import java.util.HashMap;
import java.util.Map;

import org.jackdawslip.internal.durable.StoreEra;

/**
 * A store in simulated time with conditional writes and leases that can come back from a copy of itself, after which it
 * gives out revisions and leases again. Not thread-safe.
 */
final class ReturningStore {

    /** How a call ended. */
    enum Outcome {
        DONE,
        CONFLICT,
        UNKNOWN
    }

    /** A record; bound to a lease unless that is 0. */
    record Entry(Object value, long revision, long lease) {}

    /** The result of a call. */
    record Reply(Outcome outcome, Entry entry, long revision, long lease, StoreEra era) {}

    /** A write of one record under conditions; revision 0 means that there must be no record. */
    record Write(Map<String, Long> revisions, String key, Object value, long lease) {}

    /** The state at one time. */
    record Copy(Map<String, Entry> entries, Map<Long, Long> leaseEnds, long revision, long nextLease, long takenAt) {}

    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private long revision = 1;
    private long nextLease = 100;
    private long era = 1;

    Copy takeCopy(long now) {
        expireLeases(now);
        return new Copy(Map.copyOf(entries), Map.copyOf(leaseEnds), revision, nextLease, now);
    }

    /** Comes back from a copy, in which leases have the time left that they had then. */
    void restore(Copy copy, long now) {
        entries.clear();
        entries.putAll(copy.entries());
        leaseEnds.clear();
        copy.leaseEnds().forEach((lease, end) -> leaseEnds.put(lease, end + now - copy.takenAt()));
        revision = copy.revision();
        nextLease = copy.nextLease();
        era++;
    }

    void endAllLeases(long now) {
        leaseEnds.replaceAll((lease, end) -> now);
        expireLeases(now);
    }

    private void expireLeases(long now) {
        leaseEnds.values().removeIf(end -> end <= now);
        if (entries.values().removeIf(entry -> entry.lease() != 0 && !leaseEnds.containsKey(entry.lease()))) {
            revision++;
        }
    }

    private Reply reply(Outcome outcome, Entry entry, long lease) {
        return new Reply(outcome, entry, revision, lease, new StoreEra(era));
    }

    Reply read(String key, long now) {
        expireLeases(now);
        return reply(Outcome.DONE, entries.get(key), 0);
    }

    Reply write(Write write, long now) {
        expireLeases(now);
        for (Map.Entry<String, Long> condition : write.revisions().entrySet()) {
            Entry entry = entries.get(condition.getKey());
            if ((entry == null ? 0 : entry.revision()) != condition.getValue()) {
                return reply(Outcome.CONFLICT, null, 0);
            }
        }
        if (write.lease() != 0 && !leaseEnds.containsKey(write.lease())) {
            return reply(Outcome.CONFLICT, null, 0);
        }
        revision++;
        entries.put(write.key(), new Entry(write.value(), revision, write.lease()));
        return reply(Outcome.DONE, null, 0);
    }

    Reply createLease(long termMillis, long now) {
        long lease = nextLease++;
        leaseEnds.put(lease, now + termMillis);
        return reply(Outcome.DONE, null, lease);
    }

    Reply renewLease(long lease, long termMillis, long now) {
        expireLeases(now);
        if (!leaseEnds.containsKey(lease)) {
            return reply(Outcome.CONFLICT, null, 0);
        }
        leaseEnds.put(lease, now + termMillis);
        return reply(Outcome.DONE, null, 0);
    }

    Reply endLease(long lease, long now) {
        leaseEnds.remove(lease);
        expireLeases(now);
        return reply(Outcome.DONE, null, 0);
    }
}
