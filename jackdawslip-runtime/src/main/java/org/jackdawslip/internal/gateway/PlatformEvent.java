package org.jackdawslip.internal.gateway;

import org.jackdawslip.FailureDomainId;
import org.jackdawslip.internal.balance.Backend;
import org.jackdawslip.internal.traffic.RoutingConfig;

/** One change of what the platform says, decoded by the adapter. Implementations are immutable and thread-safe. */
public sealed interface PlatformEvent {

    /** The operator wrote a configuration. */
    record ConfigWritten(RoutingConfig config) implements PlatformEvent {}

    /** A backend server is listed, or its listing changed. */
    record BackendListed(String entry, Backend backend) implements PlatformEvent {}

    /** A listing was removed, or no longer names a backend server that can be used. */
    record BackendRemoved(String entry) implements PlatformEvent {}

    /** The operator takes a failure domain out, or brings it back. */
    record DomainTakenOut(FailureDomainId domain, boolean out) implements PlatformEvent {}

    /** A record of this project changed. */
    record OwnRecord(DurableStore.Item item) implements PlatformEvent {}

    /** A record that could not be decoded. */
    record Unreadable(String key, String problem) implements PlatformEvent {}

    /** A record that concerns no instance of the gateway. */
    record Ignored(String key) implements PlatformEvent {}
}
