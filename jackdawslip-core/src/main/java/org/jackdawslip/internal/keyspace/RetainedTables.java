package org.jackdawslip.internal.keyspace;

import java.util.HashMap;
import java.util.Map;

import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.durable.StoreEra;

/**
 * The owner tables that a key coordinator had in memory when the store came back from an earlier copy.
 *
 * <p>Invariant: a table that is found is exact, because nobody else can have assigned keys since. So the role was held
 * until the store came back, which is certain only while its lease was valid, and the store came back only once. Not
 * thread-safe.
 */
public final class RetainedTables {

    private final Map<ServiceName, KeyTable> tables = new HashMap<>();
    private StoreEra heldIn = StoreEra.NONE;

    /**
     * Replaces all tables by those of a key coordinator that gives up its role.
     *
     * @param held the tables of the key coordinator
     * @param heldEra the era in which it held the role
     * @param leaseValid whether the lease of the role was certainly valid when it learned of the next era
     */
    public void retain(Map<ServiceName, KeyTable> held, StoreEra heldEra, boolean leaseValid) {
        tables.clear();
        heldIn = heldEra;
        if (leaseValid) {
            tables.putAll(held);
        }
    }

    /** Returns the exact table of a service at the start of the given era, or null if it is not known. */
    public KeyTable find(ServiceName service, StoreEra current) {
        return isUsable(current) ? tables.get(service) : null;
    }

    /** Returns whether any exact table is known for the given era. */
    public boolean containsAny(StoreEra current) {
        return isUsable(current) && !tables.isEmpty();
    }

    /** Removes the table of a service, because a table of a later era was written. */
    public void remove(ServiceName service) {
        tables.remove(service);
    }

    private boolean isUsable(StoreEra current) {
        return current.number() == heldIn.number() + 1;
    }
}
