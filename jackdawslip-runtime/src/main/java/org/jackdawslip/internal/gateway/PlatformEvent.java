package org.jackdawslip.internal.gateway;

import org.jackdawslip.FailureDomainId;
import org.jackdawslip.internal.balance.Backend;
import org.jackdawslip.internal.traffic.RoutingConfig;

/**
 * A change of a record in the store, decoded by the adapter. Implementations are immutable and thread-safe.
 */
public sealed interface PlatformEvent {

    /** The operator wrote a configuration. */
    record ConfigWritten(RoutingConfig config) implements PlatformEvent {}

    /** A backend server is listed, or its listing changed. */
    record BackendListed(String entry, Backend backend) implements PlatformEvent {}

    /** A listing was removed, or no longer names a backend server that can be used. */
    record BackendRemoved(String entry) implements PlatformEvent {}

    /** The operator took a failure domain out of service, or brought it back. */
    record DomainTakenOut(FailureDomainId domain, boolean out) implements PlatformEvent {}

    /** A record of this router changed. */
    record RouterRecordChanged(DurableStore.StoreRecord storeRecord) implements PlatformEvent {}

    /** A record that could not be decoded. */
    record Unreadable(String key, String problem) implements PlatformEvent {}

    /** A record that is not relevant for the gateway. */
    record Ignored(String key) implements PlatformEvent {}
}
