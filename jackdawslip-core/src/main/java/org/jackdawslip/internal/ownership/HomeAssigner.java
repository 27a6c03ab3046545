package org.jackdawslip.internal.ownership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.jackdawslip.FailureDomainId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.bundle.Bundle;

/**
 * The newest homes records that the coordinator has read, and the changes that it writes to the store.
 *
 * <p>Invariants: a range is transferred to another failure domain only after it was released, and is not
 * assigned again here before a read shows that the swap can no longer be applied. A new coordinator first
 * rewrites the homes records of services with ranges that its predecessor released, so that a late swap of
 * the predecessor fails. If the store comes back from an earlier copy, the newest record that is known is written
 * back. Not thread-safe; confined to its member.
 */
final class HomeAssigner {

    /** The number of steps in which a returning failure domain gets its ranges back. */
    private static final int RETURN_STEPS = 10;

    private final MemberState state;
    private final Map<ServiceName, ServiceHomes> homesByService = new TreeMap<>();

    HomeAssigner(MemberState state) {
        this.state = state;
    }

    /** The newest homes record of one service and the state of its changes. */
    private static final class ServiceHomes {
        private HomesRecord record;
        private boolean recordAbsent;
        /** The index of the record that the last read returned; 0 if there was none. */
        private long storedIndex;
        /** Whether the last read showed that the store has lost the newest record. */
        private boolean recordLost;
        /** Whether the store has another record of the same version. */
        private boolean repeatedVersion;

        private boolean readDue = true;
        private boolean callInFlight;
        /** Whether the record was read after the last ranges were selected for a transfer. */
        private boolean readSinceTransfer;

        private long nextAttemptAt;
        private long nextTransferAt;
        /** The mark of the record that blocks pending swaps of the predecessor. */
        private String fenceMark;
        /**
         * The earliest time at which the record with the fence mark may be written; {@link Long#MAX_VALUE} if
         * no such record is required.
         */
        private long fenceAt = Long.MAX_VALUE;
        /** The ranges that are selected for a transfer to other failure domains. */
        private final Set<KeyRange> transferring = new HashSet<>();
        /**
         * The record version against which a swap that transfers ranges may still be applied; -1 if there is
         * none.
         */
        private long swappedVersion = -1;
    }

    /** Starts a term of the coordinator with the homes of the inherited table. */
    void beginTerm(Collection<HomesRecord> inherited) {
        homesByService.clear();
        inherited.forEach(record -> serviceHomes(record.service()).record = record);
    }

    /**
     * Blocks assignments of a service until this instance has written a record, which makes pending swaps of
     * the predecessor fail.
     *
     * @param notBefore the earliest time of that write
     */
    void fence(ServiceName service, long notBefore) {
        serviceHomes(service).fenceAt = notBefore;
    }

    /** Returns whether a range may get an owner. */
    boolean mayAssign(ServiceName service, KeyRange range) {
        ServiceHomes entry = serviceHomes(service);
        return entry.record != null && entry.fenceAt == Long.MAX_VALUE && !isTransferring(service, range);
    }

    /** Returns whether a range is about to be transferred to another failure domain. */
    boolean isTransferring(ServiceName service, KeyRange range) {
        return serviceHomes(service).transferring.stream().anyMatch(range::overlaps);
    }

    Optional<HomesRecord> record(ServiceName service) {
        return Optional.ofNullable(serviceHomes(service).record);
    }

    List<HomesRecord> records() {
        List<HomesRecord> records = new ArrayList<>();
        homesByService.values().stream()
                .filter(entry -> entry.record != null)
                .forEach(entry -> records.add(entry.record));
        return records;
    }

    /** Processes the homes record of a service after a read or a change that a watch reported. */
    void onRead(ServiceName service, Optional<HomesRecord> stored) {
        ServiceHomes entry = serviceHomes(service);
        entry.callInFlight = false;
        entry.readDue = false;
        entry.readSinceTransfer = true;
        entry.recordAbsent = stored.isEmpty() && entry.record == null;
        entry.storedIndex = stored.map(HomesRecord::modifyIndex).orElse(0L);
        entry.recordLost = entry.record != null
                && stored.filter(found -> found.version() > entry.record.version()
                                || found.version() == entry.record.version()
                                        && found.mark().equals(entry.record.mark()))
                        .isEmpty();
        entry.repeatedVersion = entry.recordLost
                && stored.filter(found -> found.version() == entry.record.version())
                        .isPresent();
        if (stored.isEmpty() || entry.recordLost) {
            return;
        }
        entry.record = stored.get();
        if (stored.get().mark().equals(entry.fenceMark)) {
            entry.fenceAt = Long.MAX_VALUE;
            entry.fenceMark = null;
        }
        if (entry.record.version() > entry.swappedVersion) {
            entry.swappedVersion = -1;
            entry.transferring.clear();
        }
    }

    /** Reads all records again, because the store may have come back from an earlier copy. */
    void onStoreReconnected() {
        homesByService.values().forEach(entry -> entry.readDue = true);
    }

    /** Processes a read without a response of the store. */
    void onReadFailed(ServiceName service) {
        serviceHomes(service).callInFlight = false;
    }

    /** Processes the result of a swap. */
    void onSwap(ServiceName service, SwapResult result) {
        ServiceHomes entry = serviceHomes(service);
        entry.callInFlight = false;
        entry.readDue |= result != SwapResult.UNREACHABLE;
        entry.nextAttemptAt = result == SwapResult.APPLIED ? 0 : entry.nextAttemptAt;
    }

    /**
     * Starts the store calls that are due.
     *
     * @param released returns whether a range certainly has no owner
     */
    void tick(long now, ReleaseCheck released) {
        Bundle bundle = state.bundle.orElseThrow();
        for (ServiceName service : state.services()) {
            ServiceHomes entry = serviceHomes(service);
            if (entry.callInFlight || now < entry.nextAttemptAt) {
                continue;
            }
            if (entry.readDue) {
                markCallStarted(now, entry);
                state.effects.readHomes(service);
            } else if (entry.recordLost) {
                markCallStarted(now, entry);
                writeBack(entry);
            } else if (entry.recordAbsent && state.inService()) {
                List<HomeAssignment> homes = HomePlanner.initialHomes(bundle, service);
                if (!homes.isEmpty()) {
                    markCallStarted(now, entry);
                    state.effects.swapHomes(new HomesRecord(service, 1, homes, state.newMark(), 0), 0);
                }
            } else if (entry.record != null && entry.fenceAt != Long.MAX_VALUE) {
                if (now >= entry.fenceAt) {
                    entry.fenceMark = state.newMark();
                    markCallStarted(now, entry);
                    writeRecord(entry, entry.record.homes(), entry.fenceMark);
                }
            } else if (entry.record != null) {
                transferSurplus(now, bundle, entry, released);
            }
        }
    }

    /**
     * Releases the ranges that other failure domains should have, and transfers them once they are released.
     */
    private void transferSurplus(long now, Bundle bundle, ServiceHomes entry, ReleaseCheck released) {
        HomesRecord record = entry.record;
        boolean takenOut = !state.inService();
        if (entry.transferring.isEmpty()) {
            if (!takenOut && now < entry.nextTransferAt) {
                return;
            }
            int limit =
                    takenOut ? Integer.MAX_VALUE : Math.max(1, record.homes().size() / RETURN_STEPS);
            Set<KeyRange> surplus =
                    HomePlanner.surplus(bundle, record, state.domain, limit).keySet();
            if (!surplus.isEmpty() && !entry.readSinceTransfer) {
                // Released ranges are not served until the store applies the transfer, so none is released
                // before a new read shows that the store responds.
                entry.readDue = true;
                return;
            }
            entry.readSinceTransfer = false;
            entry.transferring.addAll(surplus);
            entry.nextTransferAt = now + Timing.RETURN_STEP_MILLIS;
            return;
        }
        if (!entry.transferring.stream().allMatch(range -> released.isReleased(record.service(), range))) {
            return;
        }
        Map<KeyRange, FailureDomainId> newHomes =
                HomePlanner.surplus(bundle, record, state.domain, entry.transferring.size());
        List<HomeAssignment> homes = record.homes().stream()
                .map(home -> entry.transferring.contains(home.range()) && newHomes.containsKey(home.range())
                        ? new HomeAssignment(home.range(), newHomes.get(home.range()))
                        : home)
                .toList();
        if (homes.equals(record.homes())) {
            if (entry.swappedVersion < 0) {
                entry.transferring.clear();
            }
            return;
        }
        entry.swappedVersion = record.version();
        markCallStarted(now, entry);
        writeRecord(entry, homes, state.newMark());
    }

    private void writeRecord(ServiceHomes entry, List<HomeAssignment> homes, String mark) {
        HomesRecord record = entry.record;
        state.effects.swapHomes(
                new HomesRecord(record.service(), record.version() + 1, homes, mark, 0), entry.storedIndex);
    }

    /**
     * Writes the newest record that is known again after the store came back from an earlier copy, with a
     * higher version if its version was given out twice.
     */
    private void writeBack(ServiceHomes entry) {
        if (entry.repeatedVersion) {
            writeRecord(entry, entry.record.homes(), state.newMark());
        } else {
            state.effects.swapHomes(entry.record, entry.storedIndex);
        }
    }

    private static void markCallStarted(long now, ServiceHomes entry) {
        entry.callInFlight = true;
        entry.nextAttemptAt = now + Timing.STORE_RETRY_MILLIS;
    }

    private ServiceHomes serviceHomes(ServiceName service) {
        return homesByService.computeIfAbsent(service, unused -> new ServiceHomes());
    }

    /** Checks whether a range certainly has no owner. */
    @FunctionalInterface
    interface ReleaseCheck {
        /** Returns whether no backend server can own any part of the range. */
        boolean isReleased(ServiceName service, KeyRange range);
    }
}
