package org.jackdawslip.internal.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.FencingToken;
import org.jackdawslip.RequestId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.admission.RegistryRecord.State;
import org.jackdawslip.internal.ownership.KeyRange;

/**
 * Records the ids of the at-most-once requests of one backend server, so that no id runs twice.
 *
 * <p>Not thread-safe; the caller serializes calls.
 *
 * <p>Invariant: {@link #admit} returns {@link Admission.Run} only for an id that no sender can have run
 * before. An id without a record may run only if it was created after the records of its key range became
 * complete and within the retention time.
 */
public final class RequestRegistry {

    /** The time for which the record of an id is retained after the creation of the id, in milliseconds. */
    public static final long RETENTION_MILLIS = 600_000;
    /** The largest number of records. */
    public static final int MAX_RECORDS = 100_000;
    /** The largest body that is recorded, in bytes. */
    public static final int MAX_BODY_BYTES = 4096;
    /** The largest assumed difference between the wall clocks of two instances, in milliseconds. */
    public static final long MAX_CLOCK_SKEW_MILLIS = 250;
    /** The longest time that the creation time of an id may be in the future, in milliseconds. */
    public static final long MAX_FUTURE_MILLIS = 2000;

    /**
     * 100,000 bodies of 4 KiB would take 400 MB; beyond this limit only the status is recorded, without the
     * body.
     */
    private static final long MAX_TOTAL_BODY_BYTES = 8L << 20;

    /**
     * Removal of expired records takes up to 7 ms with 100,000 records, so it is rare unless the registry is
     * full.
     */
    private static final long EXPIRY_INTERVAL_MILLIS = 10_000;

    private static final long EXPIRY_INTERVAL_WHEN_FULL_MILLIS = 1000;

    private final ServiceName service;
    private final int maxRecords;
    private final Map<Entry, Entry> entries = new HashMap<>();
    private final TreeMap<KeyRange, RangeStart> rangeStarts = new TreeMap<>();
    private long bodyBytes;
    private long highestWallMillis = Long.MIN_VALUE;
    private long lastExpiryMillis = Long.MIN_VALUE / 2;

    /** Creates an empty registry without key ranges. */
    public RequestRegistry(ServiceName service) {
        this(service, MAX_RECORDS);
    }

    RequestRegistry(ServiceName service, int maxRecords) {
        this.service = service;
        this.maxRecords = maxRecords;
    }

    /**
     * Sets the key ranges of the backend server with their range tokens. If the server already owned all
     * hashes of a range under the same token, the start of complete records is the latest start among the
     * previous ranges that overlap it, so that the records stay usable after splits and merges. The records
     * of any other range are complete from now on. A changed token indicates that the range moved away and
     * back between two calls.
     */
    public void assignRanges(Map<KeyRange, FencingToken> ranges, long wallMillis) {
        long now = observeWallClock(wallMillis);
        Map<KeyRange, RangeStart> newStarts = new HashMap<>();
        ranges.forEach((range, token) ->
                newStarts.put(range, new RangeStart(token, isCovered(range, token) ? latestStart(range) : now)));
        rangeStarts.clear();
        rangeStarts.putAll(newStarts);
    }

    /** Removes all ranges, because another sender may run requests from now on. The records are kept. */
    public void clearRanges() {
        rangeStarts.clear();
    }

    /**
     * Returns the start of complete records of the range that contains the hash, if the backend server owns
     * it.
     */
    public Optional<RangeStart> rangeStart(long keyHash) {
        Map.Entry<KeyRange, RangeStart> range = rangeStarts.floorEntry(new KeyRange(keyHash, -1L));
        return range != null && range.getKey().contains(keyHash) ? Optional.of(range.getValue()) : Optional.empty();
    }

    /**
     * Decides whether the request with the id may run, and if so records the id as running.
     *
     * @param wallMillis the wall clock time in milliseconds
     */
    public Admission admit(ServiceName requestService, RequestId id, long keyHash, long wallMillis) {
        Optional<Admission> existing = lookup(requestService, id, keyHash, wallMillis);
        if (existing.isPresent()) {
            return existing.get();
        }
        Optional<RangeStart> start = rangeStart(keyHash);
        if (start.isEmpty()) {
            return new Admission.Refused(ErrorCode.ROUTE_UNSETTLED);
        }
        long created = id.createdAtMillis();
        if (created <= start.get().completeSinceWallMillis() + MAX_CLOCK_SKEW_MILLIS) {
            return new Admission.Unknown();
        }
        if (created > wallMillis + MAX_FUTURE_MILLIS) {
            return new Admission.Refused(ErrorCode.INVALID_REQUEST_ID);
        }
        if (entries.size() >= maxRecords) {
            return new Admission.Refused(ErrorCode.REGISTRY_FULL);
        }
        Entry entry = new Entry(id, keyHash);
        entries.put(entry, entry);
        return created > wallMillis ? new Admission.Wait(created) : new Admission.Run();
    }

    /**
     * Returns the decision for an id that is recorded, was used with another key or service, or is older than
     * the retention time; else empty.
     */
    public Optional<Admission> lookup(ServiceName requestService, RequestId id, long keyHash, long wallMillis) {
        long now = observeWallClock(wallMillis);
        Entry existing = findEntry(id);
        if (!service.equals(requestService) || existing != null && existing.keyHash != keyHash) {
            return Optional.of(new Admission.Refused(ErrorCode.INVALID_REQUEST));
        }
        // The age is computed from the highest wall time observed, so that an id whose record was removed
        // stays expired after the clock is set back.
        if (now - id.createdAtMillis() > RETENTION_MILLIS) {
            return Optional.of(new Admission.Unknown());
        }
        return Optional.ofNullable(existing).map(Entry::admission);
    }

    /** Records the response to a running request. The body is recorded up to {@link #MAX_BODY_BYTES}. */
    public void recordDone(RequestId id, int status, byte[] body) {
        Entry entry = findEntry(id);
        if (entry != null && entry.state != State.DONE) {
            entry.state = State.DONE;
            entry.status = (short) status;
            recordBody(entry, body);
        }
    }

    /** Records that the outcome of a running request is unknown. */
    public void recordLost(RequestId id) {
        Entry entry = findEntry(id);
        if (entry != null && entry.state == State.RUNNING) {
            entry.state = State.UNKNOWN;
        }
    }

    /** Removes the record of a running request that certainly did not run. */
    public void removeNotRun(RequestId id) {
        Entry entry = findEntry(id);
        if (entry != null && entry.state == State.RUNNING) {
            entries.remove(entry);
        }
    }

    /** Returns the record of an id, if there is one. */
    public Optional<RegistryRecord> findRecord(RequestId id) {
        return Optional.ofNullable(findEntry(id)).map(Entry::toRecord);
    }

    /** Returns the number of records. */
    public int size() {
        return entries.size();
    }

    /**
     * Copies the content for a handover. The caller must have stopped dispatching to the backend server
     * before.
     */
    public RegistrySnapshot exportSnapshot() {
        return new RegistrySnapshot(
                service,
                rangeStarts,
                entries.values().stream().map(Entry::toRecord).toList());
    }

    /**
     * Adds the records of the previous sender and replaces the ranges. Running requests become unknown,
     * because their responses go to the previous sender. If a record does not fit, the records of all ranges
     * are complete only from now on.
     */
    public void restore(RegistrySnapshot snapshot, long wallMillis) {
        long now = observeWallClock(wallMillis);
        removeExpired(now);
        boolean complete = true;
        for (RegistryRecord record : snapshot.records()) {
            Entry entry = new Entry(record.id(), record.keyHash());
            Entry existing = entries.get(entry);
            if (existing == null && entries.size() >= maxRecords) {
                complete = false;
            } else if (existing == null || existing.state != State.DONE) {
                // A running record in this registry can belong to an attempt with a stale token, which will
                // certainly be reported as not run. That report must not remove the record of the previous
                // sender.
                removeBody(existing);
                entry.state = record.state() == State.RUNNING ? State.UNKNOWN : record.state();
                entry.status = (short) record.status();
                entries.remove(entry);
                entries.put(entry, entry);
                recordBody(entry, record.body());
            }
        }
        rangeStarts.clear();
        boolean keepStarts = complete;
        snapshot.starts()
                .forEach((range, start) ->
                        rangeStarts.put(range, keepStarts ? start : new RangeStart(start.token(), now)));
    }

    /** Returns the highest wall time observed, and removes expired records from time to time. */
    private long observeWallClock(long wallMillis) {
        highestWallMillis = Math.max(highestWallMillis, wallMillis);
        long interval = entries.size() >= maxRecords ? EXPIRY_INTERVAL_WHEN_FULL_MILLIS : EXPIRY_INTERVAL_MILLIS;
        if (highestWallMillis - lastExpiryMillis >= interval) {
            removeExpired(highestWallMillis);
            lastExpiryMillis = highestWallMillis;
        }
        return highestWallMillis;
    }

    private void removeExpired(long now) {
        entries.values().removeIf(entry -> {
            boolean expired = now - (entry.idHighBits >>> 16) > RETENTION_MILLIS;
            if (expired) {
                removeBody(entry);
            }
            return expired;
        });
    }

    /** Returns whether all hashes of the range are in current ranges with the given token. */
    private boolean isCovered(KeyRange range, FencingToken token) {
        long nextHash = range.first();
        for (Map.Entry<KeyRange, RangeStart> start : rangeStarts.entrySet()) {
            KeyRange owned = start.getKey();
            if (owned.contains(nextHash) && start.getValue().token().equals(token)) {
                if (owned.contains(range.last())) {
                    return true;
                }
                nextHash = owned.last() + 1;
            }
        }
        return false;
    }

    private long latestStart(KeyRange range) {
        return rangeStarts.entrySet().stream()
                .filter(owned -> owned.getKey().overlaps(range))
                .mapToLong(owned -> owned.getValue().completeSinceWallMillis())
                .max()
                .orElseThrow();
    }

    private void recordBody(Entry entry, byte[] body) {
        if (body != null && body.length <= MAX_BODY_BYTES && bodyBytes + body.length <= MAX_TOTAL_BODY_BYTES) {
            entry.body = body;
            bodyBytes += body.length;
        }
    }

    private void removeBody(Entry entry) {
        if (entry != null && entry.body != null) {
            bodyBytes -= entry.body.length;
            entry.body = null;
        }
    }

    private Entry findEntry(RequestId id) {
        return entries.get(new Entry(id, 0));
    }

    /** The decision whether a request with an id may run. */
    public sealed interface Admission {
        /** The request may run now. */
        record Run() implements Admission {}

        /** The request may run once the wall clock has reached the given time. */
        record Wait(long untilWallMillis) implements Admission {}

        /** A request with this id is running; the repeat waits for its response. */
        record Running() implements Admission {}

        /** The request ran with this response; the body is null if it was not recorded. */
        record Done(int status, byte[] body) implements Admission {}

        /** A request with this id may have run. */
        record Unknown() implements Admission {}

        /** The request is refused and does not run. */
        record Refused(ErrorCode code) implements Admission {}
    }

    /** A record that also serves as its map key, which saves two objects of 48 bytes for each record. */
    private static final class Entry {
        private final long idHighBits;
        private final long idLowBits;
        private final long keyHash;
        private byte[] body;
        private State state = State.RUNNING;
        private short status;

        Entry(RequestId id, long keyHash) {
            this.idHighBits = id.value().getMostSignificantBits();
            this.idLowBits = id.value().getLeastSignificantBits();
            this.keyHash = keyHash;
        }

        Admission admission() {
            return switch (state) {
                case RUNNING -> new Admission.Running();
                case DONE -> new Admission.Done(status, body);
                default -> new Admission.Unknown();
            };
        }

        RegistryRecord toRecord() {
            return new RegistryRecord(new RequestId(new UUID(idHighBits, idLowBits)), keyHash, state, status, body);
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Entry entry && entry.idHighBits == idHighBits && entry.idLowBits == idLowBits;
        }

        @Override
        public int hashCode() {
            return Long.hashCode(idHighBits * 31 + idLowBits);
        }
    }
}
