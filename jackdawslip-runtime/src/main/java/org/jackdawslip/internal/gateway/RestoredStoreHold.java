package org.jackdawslip.internal.gateway;

import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.jackdawslip.internal.balance.Backend;

/**
 * Decides which records take effect after the store came back from an earlier copy of itself.
 *
 * <p>The copy may be older than what is in force, until the operator and the backend servers have written their records
 * again. For that time a record of the copy that is missing, or that would relax what is in force, is held. Invariants:
 * a record that was written after the return is never held, nor is one that restricts more than what is in force;
 * without a return, and for an instance that knew nothing of the earlier state, all records take effect at once. Not
 * thread-safe.
 */
final class RestoredStoreHold {

    /** The operator and the backend servers write their records again within about two seconds. */
    static final long RECORD_HOLD_MILLIS = 1_900;
    /** The largest age of a view with which another instance uses its share of global limits. */
    static final long INSTANCE_HOLD_MILLIS = 10_000;

    /** Limit of the listings that are remembered after their removal. */
    private static final int MAX_GONE = 10_000;

    /** What is done with a record. */
    enum Decision {
        /** It takes effect at once. */
        APPLY,
        /** It is what is in force already. */
        UNCHANGED,
        /** It takes effect at the end of the hold, unless it is written again before. */
        HOLD
    }

    /** The kinds of records, each with the rule by which a record of the copy is compared with what is in force. */
    private enum Kind {
        CONFIGURATION(RECORD_HOLD_MILLIS) {
            @Override
            Decision compare(PlatformEvent inForce, PlatformEvent gone, PlatformEvent stored) {
                if (inForce == null) {
                    return Decision.APPLY;
                }
                if (inForce instanceof PlatformEvent.ConfigWritten known
                        && stored instanceof PlatformEvent.ConfigWritten written) {
                    long knownVersion = known.config().version();
                    long version = written.config().version();
                    return version > knownVersion
                            ? Decision.APPLY
                            : version == knownVersion ? Decision.UNCHANGED : Decision.HOLD;
                }
                return Decision.HOLD;
            }
        },
        DOMAIN(RECORD_HOLD_MILLIS) {
            @Override
            Decision compare(PlatformEvent inForce, PlatformEvent gone, PlatformEvent stored) {
                boolean out = stored instanceof PlatformEvent.DomainTakenOut domain && domain.out();
                return inForce == null || out ? Decision.APPLY : Decision.HOLD;
            }
        },
        SERVER(RECORD_HOLD_MILLIS) {
            @Override
            Decision compare(PlatformEvent inForce, PlatformEvent gone, PlatformEvent stored) {
                if (!(stored instanceof PlatformEvent.BackendListed listed)) {
                    return inForce == null ? Decision.APPLY : Decision.HOLD;
                }
                Backend backend = listed.backend();
                if (inForce instanceof PlatformEvent.BackendListed known) {
                    return compare(known.backend(), backend);
                }
                boolean endedBefore = gone instanceof PlatformEvent.BackendListed ended
                        && backend.startedAtMillis() <= ended.backend().startedAtMillis();
                return endedBefore ? Decision.HOLD : Decision.APPLY;
            }

            private Decision compare(Backend known, Backend backend) {
                if (backend.equals(known)) {
                    return Decision.UNCHANGED;
                }
                boolean relaxes = known.draining() && !backend.draining();
                boolean endedBefore = backend.startedAtMillis() < known.startedAtMillis();
                return endedBefore || relaxes && backend.sameIncarnation(known) ? Decision.HOLD : Decision.APPLY;
            }
        },
        INSTANCE(INSTANCE_HOLD_MILLIS) {
            @Override
            Decision compare(PlatformEvent inForce, PlatformEvent gone, PlatformEvent stored) {
                byte[] value = valueOf(stored);
                if (inForce == null) {
                    return value != null && Arrays.equals(value, valueOf(gone)) ? Decision.HOLD : Decision.APPLY;
                } else if (value == null) {
                    return Decision.HOLD;
                }
                return Arrays.equals(value, valueOf(inForce)) ? Decision.UNCHANGED : Decision.APPLY;
            }

            private byte[] valueOf(PlatformEvent event) {
                return event instanceof PlatformEvent.RouterRecordChanged changed
                        ? changed.storeRecord().value()
                        : null;
            }
        },
        /** Records whose readers handle a return of the store themselves. */
        OTHER(0) {
            @Override
            Decision compare(PlatformEvent inForce, PlatformEvent gone, PlatformEvent stored) {
                return Decision.APPLY;
            }
        };

        private final long holdMillis;

        Kind(long holdMillis) {
            this.holdMillis = holdMillis;
        }

        /**
         * Compares a record of the copy with what is in force.
         *
         * @param inForce the record that took effect last, or null if there is none
         * @param gone the record that was removed last, or null if none is known
         */
        abstract Decision compare(PlatformEvent inForce, PlatformEvent gone, PlatformEvent stored);
    }

    private final PlatformAdapter adapter;
    /** The listing of this instance is written again as soon as it is missing, so it is not held. */
    private final String ownListingKey;

    /** Nobody writes or removes the listing of a server that has ended, so the store removes it after its term. */
    private final long goneServerHoldMillis;

    private final Map<String, PlatformEvent> inForce = new HashMap<>();
    private final Map<String, PlatformEvent> gone = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, PlatformEvent> eldest) {
            return size() > MAX_GONE;
        }
    };
    /** Whether the store came back and its records were not read since. */
    private boolean readDue;
    /** Time of the first read after the return. */
    private long readAt = Long.MIN_VALUE / 2;
    /** Revision of the first read after the return. Later changes were made after the return. */
    private long readRevision;

    private boolean configurationWritten;

    /**
     * Creates the state of an instance that knows no records.
     *
     * @param ownListingKey key of the listing of this instance in the store
     * @param listingTermMillis time after which the store removes the listing of a server that writes no heartbeats
     */
    RestoredStoreHold(PlatformAdapter adapter, String ownListingKey, long listingTermMillis) {
        this.adapter = adapter;
        this.ownListingKey = ownListingKey;
        this.goneServerHoldMillis = Math.min(INSTANCE_HOLD_MILLIS, listingTermMillis + RECORD_HOLD_MILLIS);
    }

    private Kind kindOf(String key) {
        if (adapter.isConfiguration(key)) {
            return Kind.CONFIGURATION;
        }
        PlatformEvent removal = adapter.decode(new DurableStore.StoreRecord(key, null, 0));
        if (removal instanceof PlatformEvent.BackendRemoved) {
            return Kind.SERVER;
        } else if (removal instanceof PlatformEvent.DomainTakenOut) {
            return Kind.DOMAIN;
        }
        boolean instance = removal instanceof PlatformEvent.RouterRecordChanged
                && MemberListings.isListing(adapter.routerRecordName(key));
        return instance && !key.equals(ownListingKey) ? Kind.INSTANCE : Kind.OTHER;
    }

    /** Records that a record took effect. */
    void recordApplied(DurableStore.StoreRecord storeRecord, PlatformEvent event) {
        String key = storeRecord.key();
        Kind kind = kindOf(key);
        if (kind == Kind.OTHER) {
            return;
        }
        if (kind == Kind.CONFIGURATION) {
            inForce.put(key, event);
            configurationWritten |= !readDue && storeRecord.revision() > readRevision;
            return;
        }
        boolean present = event instanceof PlatformEvent.BackendListed
                || event instanceof PlatformEvent.DomainTakenOut domain && domain.out()
                || event instanceof PlatformEvent.RouterRecordChanged changed
                        && changed.storeRecord().value() != null;
        if (present) {
            inForce.put(key, event);
            gone.remove(key);
            return;
        }
        PlatformEvent previous = inForce.remove(key);
        if (previous != null && kind != Kind.DOMAIN) {
            gone.put(key, previous);
        }
    }

    /** Begins a hold, because the store came back from a copy. A hold that has not ended starts anew. */
    void begin() {
        readDue = true;
        configurationWritten = false;
    }

    /**
     * Records a read of all records; the first one after the return starts the time of the hold.
     *
     * @param revision the revision of the store at the start of the read
     * @param now the monotonic time in milliseconds, like the other times
     */
    void recordRead(long revision, long now) {
        if (readDue) {
            readDue = false;
            readAt = now;
            readRevision = revision;
        }
    }

    /**
     * Returns whether records may be held.
     *
     * @param viewAt the time up to which the view contains all changes
     */
    boolean isActive(long viewAt) {
        return readDue || viewAt - readAt < INSTANCE_HOLD_MILLIS;
    }

    /** Returns whether the store may hold an older configuration than the operator wrote before the return. */
    boolean mayHoldOlderConfiguration(long viewAt) {
        return readDue || viewAt - readAt < RECORD_HOLD_MILLIS && !configurationWritten;
    }

    /** Returns for how much longer a record with this key may be held, in milliseconds; 0 or less if it may not. */
    long remainingMillis(String key, long viewAt) {
        return holdMillis(key) - (viewAt - readAt);
    }

    private long holdMillis(String key) {
        Kind kind = kindOf(key);
        return kind == Kind.SERVER && gone.containsKey(key) ? goneServerHoldMillis : kind.holdMillis;
    }

    /**
     * Decides about a record, or the absence of one, that the store shows.
     *
     * @param event the decoded record
     * @param written whether it was certainly written or removed after the return, whatever its revision
     */
    Decision decide(DurableStore.StoreRecord storeRecord, PlatformEvent event, boolean written, long viewAt) {
        String key = storeRecord.key();
        boolean later = written || storeRecord.value() != null && storeRecord.revision() > readRevision;
        Kind kind = kindOf(key);
        if (remainingMillis(key, viewAt) <= 0) {
            return Decision.APPLY;
        }
        Decision decision = kind.compare(inForce.get(key), gone.get(key), event);
        // A configuration that was written again shows that the store has the newest one.
        boolean applied = decision == Decision.HOLD || kind == Kind.CONFIGURATION;
        return later && applied ? Decision.APPLY : decision;
    }
}
