package org.jackdawslip.internal.durable;

import java.util.ArrayList;
import java.util.List;

/**
 * Knows the newest era that the store stated, and decides which responses belong to it.
 *
 * <p>Invariants: the era never decreases; a response of an earlier era, or of none once the store stated one, is never
 * accepted, because it describes a state that no longer exists; listeners are notified of a new era before the first
 * response of that era is used. Not thread-safe.
 */
public final class StoreEraTracker {

    /** Receives each new era. */
    @FunctionalInterface
    public interface Listener {
        /** The store came back from an earlier copy: nothing known from the earlier era describes its present state. */
        void storeRestored(StoreEra earlier, StoreEra current);
    }

    private final List<Listener> listeners = new ArrayList<>();
    /** Null before the first response. */
    private StoreEra newest;

    private long rejectedResponses;

    /** Adds a listener, which is notified after those that were added before. */
    public void subscribe(Listener listener) {
        listeners.add(listener);
    }

    /** Returns the newest era, {@link StoreEra#NONE} before the first response. */
    public StoreEra current() {
        return newest == null ? StoreEra.NONE : newest;
    }

    /** Returns whether the store responded at least once. */
    public boolean isKnown() {
        return newest != null;
    }

    /** Returns the number of responses that were not accepted. */
    public long rejectedResponses() {
        return rejectedResponses;
    }

    /**
     * Records the era of a response. The first response of a store ends no era.
     *
     * @return whether the response may be used, because it belongs to the newest era
     */
    public boolean accept(StoreEra stated) {
        if (newest == null) {
            newest = stated;
        } else if (stated.compareTo(newest) < 0) {
            rejectedResponses++;
            return false;
        } else if (stated.compareTo(newest) > 0) {
            StoreEra earlier = newest;
            newest = stated;
            listeners.forEach(listener -> listener.storeRestored(earlier, stated));
        }
        return true;
    }
}
