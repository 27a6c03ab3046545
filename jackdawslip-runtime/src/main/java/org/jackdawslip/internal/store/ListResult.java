package org.jackdawslip.internal.store;

import java.util.List;

/** The result of a read of the list of instances. Immutable and thread-safe. */
public sealed interface ListResult {

    /**
     * The list, which may be out of date.
     *
     * @param instances the entries
     */
    record Listed(List<ListedInstance> instances) implements ListResult {
        /** Copies the list. */
        public Listed {
            instances = List.copyOf(instances);
        }
    }

    /**
     * The store did not respond, or responded with an error.
     *
     * @param reason a description of the failure
     */
    record Unavailable(String reason) implements ListResult {}
}
