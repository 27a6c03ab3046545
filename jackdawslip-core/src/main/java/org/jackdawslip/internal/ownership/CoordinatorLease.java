package org.jackdawslip.internal.ownership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.jackdawslip.InstanceId;

/**
 * The roles of one member as coordinator, successor or witness, and its changes of the coordinator record.
 *
 * <p>Invariants: the record changes only through the store, and every change raises the epoch. A coordinator
 * acts only while it holds a promise of its successor or its witness, or if the record names no successor. A
 * successor tries to take over only after its last promise and the clock allowance have expired, and with the
 * consent of the witness that the record names. A witness that consented for an epoch gives no further
 * promise for that epoch. A swap that the store applies late is harmless, because an instance acts under a
 * record only after reading it. If the store comes back from an earlier copy, the newest record that a member
 * knows is written back unchanged, and an epoch that was given out twice is replaced by a higher one. Not
 * thread-safe; confined to its member.
 */
final class CoordinatorLease {

    private static final String HANDOVER = "handover-";
    private static final String TAKEOVER = "takeover-";

    private final MemberState state;
    /** The marks of the records that this process tried to write. */
    private final Set<String> ownMarks = new HashSet<>();
    /** The epoch of the newest record under which this instance acts or acted as coordinator. */
    private long activeEpoch;

    private long promiseGivenUntil;
    private long successorPromiseUntil;
    private long witnessPromiseUntil;
    private long consentGivenEpoch;
    private long consentHeldEpoch;
    /**
     * The epoch in the store when this process started; a previous process may have given its consent for
     * that epoch.
     */
    private long firstReadEpoch;

    /** The epoch in which this coordinator started to hand over its role. */
    private long handoverEpoch;

    private UnconfirmedChange unconfirmedChange = UnconfirmedChange.NONE;
    private UnconfirmedChange changeBeforeSwap = UnconfirmedChange.NONE;
    /** Until this time, an unconfirmed change cannot have ended the role of this instance. */
    private long roleConfirmedUntil;

    private long formerSuccessorEpoch;
    /** The epoch of the record that this coordinator started to replace by a vacant one. */
    private long vacatedEpoch;

    private boolean storeFailed;
    /** When this coordinator last had a promise of the witness, or started to wait for one. */
    private long witnessWaitStartedAt;

    private long witnessReplacementDelayMillis = Timing.REPLACEMENT_DELAY_MILLIS;
    /** When a permit of the coordinator or a read last showed that this successor is the current one. */
    private long lastConfirmedAt;

    private long interimRightsUntil;
    private boolean recordRead;
    /** The record that the last read returned. */
    private Optional<CoordinatorRecord> stored = Optional.empty();
    /** Whether the last read showed that the store has lost the newest record. */
    private boolean recordLost;
    /** The epoch for which this instance has seen two different records. */
    private long repeatedEpoch;

    private boolean readInFlight;
    /** Whether the read in flight only looks for a vacant record. */
    private boolean uncoordinatedRead;

    private boolean readDue = true;
    private boolean swapInFlight;
    private long readSentAt;
    private long nextAttemptAt;

    CoordinatorLease(MemberState state) {
        this.state = state;
        // A previous process of this instance may have given a promise just before it ended.
        promiseGivenUntil = state.startedAt + Timing.PERMIT_EXPIRY_MILLIS;
        lastConfirmedAt = state.startedAt - Timing.PERMIT_MILLIS;
    }

    /** The successors that a later record replaced, with the last epoch that named each of them. */
    private final Map<InstanceId, Long> replacedSuccessors = new HashMap<>();

    /** The role that an own swap with an unconfirmed result may have reassigned. */
    private enum UnconfirmedChange {
        NONE,
        WITNESS,
        SUCCESSOR
    }

    /** How an instance became coordinator under a record, which determines the table that it starts from. */
    enum TermStart {
        /** The instance was already coordinator, with another successor. */
        NEW_SUCCESSOR,
        /** The instance was already coordinator, with the same successor. */
        SAME_SUCCESSOR,
        /** The instance was coordinator or successor in the previous record and has the newest table. */
        WITH_TABLE,
        /** The instance does not have the newest table. */
        WITHOUT_TABLE
    }

    boolean isCoordinator() {
        return state.record.isPresent()
                && state.record.get().isCoordinator(state.self)
                && activeEpoch == state.record.get().epoch();
    }

    boolean isSuccessor() {
        return state.record.isPresent() && state.record.get().isSuccessor(state.self);
    }

    /**
     * Returns whether this instance may give promises and issue permits as successor. A restarted successor
     * first reads the record, because its previous process may have taken over.
     */
    boolean mayServeAsSuccessor() {
        return isSuccessor() && recordRead;
    }

    boolean isWitness() {
        return state.record.isPresent() && state.record.get().isWitness(state.self);
    }

    /** Returns whether this instance may now issue permits as coordinator and use its own rights. */
    boolean canAct(long now) {
        boolean confirmed = unconfirmedChange == UnconfirmedChange.NONE || now < roleConfirmedUntil;
        return mayPublish(now) || holdsRole() && confirmed && now < witnessPromiseUntil;
    }

    private boolean holdsRole() {
        return isCoordinator() && vacatedEpoch != state.record.get().epoch();
    }

    /**
     * Returns whether this instance may publish tables. A promise of the witness is not sufficient: the
     * silent successor may still use its own rights and issue permits for its copy of the table, so older
     * tables may remain in use.
     */
    boolean mayPublish(long now) {
        if (!holdsRole()) {
            return false;
        }
        boolean confirmed = unconfirmedChange != UnconfirmedChange.SUCCESSOR || now < roleConfirmedUntil;
        return confirmed && (state.record.get().successor().isEmpty() || now < successorPromiseUntil);
    }

    /** Returns whether the permits of this successor are also valid for services that move on silence. */
    boolean permitsCoverMove(long now) {
        return now < lastConfirmedAt + Timing.PERMIT_MILLIS;
    }

    /**
     * Returns whether a coordinator may use its own rights although its new successor has not promised yet.
     */
    boolean hasInterimRights(long now) {
        return holdsRole() && now < interimRightsUntil;
    }

    long promiseGivenUntil() {
        return promiseGivenUntil;
    }

    /** Adopts a record if it is newer. Returns how this instance became coordinator under it, if it did. */
    Optional<TermStart> adopt(CoordinatorRecord record) {
        Optional<CoordinatorRecord> previous = state.record;
        if (previous.isPresent() && record.epoch() <= previous.get().epoch()) {
            if (record.epoch() == previous.get().epoch()
                    && !record.mark().equals(previous.get().mark())) {
                repeatedEpoch = record.epoch();
            }
            return Optional.empty();
        }
        readDue |= recordLost;
        recordLost = false;
        previous.ifPresent(old -> recordReplacedSuccessor(old, record));
        boolean wasCoordinator = isCoordinator();
        // A restarted coordinator receives the newest table from its successor and has a copy from then on.
        boolean hadTable = previous.isPresent()
                && previous.get().names(state.self)
                && state.table.version().epoch() == previous.get().epoch();
        state.record = Optional.of(record);
        state.heartbeatDue = true;
        successorPromiseUntil = 0;
        witnessPromiseUntil = 0;
        unconfirmedChange = UnconfirmedChange.NONE;
        if (!record.isCoordinator(state.self)) {
            return Optional.empty();
        }
        boolean handedOver = record.mark().startsWith(HANDOVER) && hadTable;
        if (!ownMarks.contains(record.mark()) && !handedOver) {
            return Optional.empty();
        }
        activeEpoch = record.epoch();
        formerSuccessorEpoch = previous.filter(this::mayActAsFormerSuccessor)
                .map(CoordinatorRecord::epoch)
                .orElse(0L);
        // No other instance took over before this read was sent, and a later takeover waits until everything
        // that was renewed within one validity period after that has expired.
        interimRightsUntil = readInFlight ? readSentAt + Timing.PERMIT_MILLIS : 0;
        if (wasCoordinator) {
            boolean sameSuccessor = record.successor().isPresent()
                    && record.successor().equals(previous.get().successor())
                    && record.epoch() == previous.get().epoch() + 1;
            return Optional.of(sameSuccessor ? TermStart.SAME_SUCCESSOR : TermStart.NEW_SUCCESSOR);
        }
        return Optional.of(hadTable ? TermStart.WITH_TABLE : TermStart.WITHOUT_TABLE);
    }

    private void recordReplacedSuccessor(CoordinatorRecord previous, CoordinatorRecord next) {
        if (next.coordinator().isEmpty()) {
            // The writer of a vacant record, an operator or the last instance, asserts that lost instances
            // have stopped.
            replacedSuccessors.clear();
        }
        previous.successor()
                .filter(id -> !next.names(id) && next.coordinator().isPresent())
                .ifPresent(id -> replacedSuccessors.put(id, previous.epoch()));
    }

    /**
     * Returns whether a replaced successor may not have received the newer record yet. Such a successor
     * renews the grants of the backend servers that it reaches without limit, and issues permits to the
     * members that it reaches.
     */
    boolean replacedSuccessorMayAct() {
        return replacedSuccessors.entrySet().stream()
                .anyMatch(replaced -> state.peer(replaced.getKey()).recordEpoch <= replaced.getValue());
    }

    /**
     * Returns whether the coordinator of a record may still act as the successor that it was before. The
     * coordinator does so until it has read the record by which it took over or was handed the role.
     */
    private boolean mayActAsFormerSuccessor(CoordinatorRecord record) {
        boolean newRole = record.mark().startsWith(HANDOVER) || record.mark().startsWith(TAKEOVER);
        return newRole
                && record.coordinator()
                        .filter(id -> !id.equals(state.self) && state.peer(id).recordEpoch < record.epoch())
                        .isPresent();
    }

    /**
     * Returns the epoch of the previous coordinator if that coordinator may still issue permits as a
     * successor, otherwise 0.
     */
    long formerSuccessorEpoch() {
        return formerSuccessorEpoch;
    }

    /**
     * Returns whether the reply to a heartbeat of the coordinator carries a promise, and records the promise.
     */
    boolean givePromise(long now, Heartbeat heartbeat) {
        boolean promised = (mayServeAsSuccessor() || mayPromiseAsWitness())
                && state.record.get().isCoordinator(heartbeat.from())
                && hasSameEpoch(heartbeat);
        if (promised) {
            promiseGivenUntil = Math.max(promiseGivenUntil, now + Timing.PERMIT_EXPIRY_MILLIS);
        }
        return promised;
    }

    /**
     * Returns whether this instance may give promises as witness. The previous process of a restarted witness
     * may have consented for the epoch that the store had at the start, so the witness promises only for a
     * later epoch.
     */
    private boolean mayPromiseAsWitness() {
        return isWitness()
                && recordRead
                && state.record.get().epoch() > firstReadEpoch
                && state.record.get().epoch() != consentGivenEpoch;
    }

    private boolean hasSameEpoch(Heartbeat heartbeat) {
        return heartbeat.coordinator().isPresent()
                && heartbeat.coordinator().get().epoch()
                        == state.record.orElseThrow().epoch();
    }

    /**
     * Returns whether the reply to a heartbeat of the successor carries a consent, and records the consent.
     */
    boolean giveConsent(long now, Heartbeat heartbeat) {
        boolean consented = heartbeat.asksConsent()
                && isWitness()
                && recordRead
                && state.record.get().isSuccessor(heartbeat.from())
                && hasSameEpoch(heartbeat)
                && isCoordinatorLost(now);
        if (consented) {
            consentGivenEpoch = state.record.get().epoch();
        }
        return consented;
    }

    private boolean isCoordinatorAlive(long now) {
        return state.record
                .flatMap(CoordinatorRecord::coordinator)
                .filter(id -> state.isAlive(now, id))
                .isPresent();
    }

    /** Returns whether the coordinator is silent and every promise to it has expired. */
    private boolean isCoordinatorLost(long now) {
        return !isCoordinatorAlive(now) && now >= promiseGivenUntil;
    }

    /**
     * Returns whether this successor may take over. A leaving successor takes over only to write a vacant
     * record.
     */
    private boolean mayTakeOver() {
        return !state.leaving || state.drained && state.noOtherCandidate;
    }

    /** Returns whether the heartbeats of this successor ask the witness for its consent. */
    boolean asksConsent(long now) {
        return mayServeAsSuccessor() && mayTakeOver() && !hasConsent() && isCoordinatorLost(now);
    }

    private boolean hasConsent() {
        CoordinatorRecord record = state.record.orElseThrow();
        return record.witness().isEmpty() || consentHeldEpoch == record.epoch() || !state.rules.waitsForConsent();
    }

    /** Processes the promise, consent and permit of a reply. */
    void onHeartbeatReply(HeartbeatReply reply) {
        if (state.record.isEmpty()) {
            return;
        }
        CoordinatorRecord record = state.record.get();
        if (reply.promise() && reply.promiseEpoch() == record.epoch()) {
            long validUntil = reply.sentAtMillis() + Timing.PERMIT_MILLIS;
            if (record.isSuccessor(reply.from())) {
                successorPromiseUntil = Math.max(successorPromiseUntil, validUntil);
            } else if (record.isWitness(reply.from()) && handoverEpoch != record.epoch()) {
                witnessPromiseUntil = Math.max(witnessPromiseUntil, validUntil);
                witnessReplacementDelayMillis = Timing.REPLACEMENT_DELAY_MILLIS;
            }
        }
        if (reply.consent()
                && reply.promiseEpoch() == record.epoch()
                && isSuccessor()
                && record.isWitness(reply.from())) {
            consentHeldEpoch = record.epoch();
        }
        // Only a permit confirms this successor: a restarted coordinator that does not act yet may have an
        // old record.
        if (isSuccessor()
                && reply.permit()
                && record.isCoordinator(reply.from())
                && reply.permitVersion().epoch() == record.epoch()) {
            lastConfirmedAt = Math.max(lastConfirmedAt, reply.sentAtMillis());
        }
    }

    /**
     * Processes the result of a read. Returns how this instance became coordinator under the record, if it
     * did.
     */
    Optional<TermStart> onRead(Optional<CoordinatorRecord> found) {
        stored = found;
        // A member without a role adopts a record that names a coordinator only from that coordinator. Until
        // the coordinator sends the record, it may still use the unlimited rights of the successor that it
        // was before.
        Optional<CoordinatorRecord> usable = stored.filter(
                record -> !uncoordinatedRead || record.coordinator().isEmpty());
        uncoordinatedRead = false;
        if (!recordRead) {
            firstReadEpoch = stored.map(CoordinatorRecord::epoch).orElse(0L);
        }
        Optional<TermStart> start = usable.flatMap(this::adopt);
        recordLost = state.record.isPresent()
                && stored.filter(record -> record.epoch() >= state.record.get().epoch())
                        .isEmpty();
        // An earlier copy of the store does not show who replaced this instance.
        if (readInFlight && !recordLost) {
            lastConfirmedAt = Math.max(lastConfirmedAt, readSentAt);
            roleConfirmedUntil = Math.max(roleConfirmedUntil, readSentAt + Timing.PERMIT_MILLIS);
        }
        readInFlight = false;
        readDue = false;
        recordRead = true;
        storeFailed = false;
        return start;
    }

    /** Processes a read without a response of the store. */
    void onReadFailed() {
        readInFlight = false;
        uncoordinatedRead = false;
        storeFailed = true;
    }

    /** Processes the result of a swap. */
    void onSwap(SwapResult result) {
        swapInFlight = false;
        storeFailed = result == SwapResult.UNREACHABLE;
        if (result == SwapResult.UNREACHABLE || result == SwapResult.CONFLICT) {
            unconfirmedChange = changeBeforeSwap;
        }
        // Only a read shows the new index, and whether a swap with a lost response was applied.
        readDue = readDue || result != SwapResult.UNREACHABLE;
    }

    /**
     * Starts the store call that is due. Returns a record to adopt without the store only under
     * {@link SafetyRules#TAKEOVER_WITHOUT_STORE}.
     */
    Optional<CoordinatorRecord> tick(long now) {
        if (!mayPublish(now) || now < witnessPromiseUntil) {
            witnessWaitStartedAt = now;
        }
        // Asks for consent without waiting for the next heartbeat. The limit avoids extra messages if the
        // witness is lost.
        state.heartbeatDue |= asksConsent(now) && now < promiseGivenUntil + Timing.SUSPECT_MILLIS;
        if (swapInFlight || readInFlight || now < nextAttemptAt) {
            return Optional.empty();
        }
        if (recordLost && !readDue) {
            changeBeforeSwap = unconfirmedChange;
            swapStored(now, state.record.get());
            return Optional.empty();
        }
        Optional<CoordinatorRecord> next = readDue ? Optional.empty() : nextRecord(now);
        if (next.isPresent() && !isStoredCurrent() && state.rules.takesOverThroughStore()) {
            readDue = true;
        } else if (next.isPresent()) {
            if (!state.rules.takesOverThroughStore() && isSuccessor()) {
                ownMarks.add(next.get().mark());
                return next;
            }
            ownMarks.add(next.get().mark());
            trackUnconfirmedChange(now, next.get());
            swapStored(now, next.get());
            return Optional.empty();
        }
        if (readDue || mayBeReplaced(now) || isUncoordinated(now)) {
            readInFlight = true;
            readSentAt = now;
            uncoordinatedRead = !readDue && !mayBeReplaced(now);
            nextAttemptAt = now + (uncoordinatedRead ? Timing.UNCOORDINATED_READ_MILLIS : Timing.STORE_RETRY_MILLIS);
            state.effects.readCoordinator();
        }
        return Optional.empty();
    }

    private void swapStored(long now, CoordinatorRecord next) {
        swapInFlight = true;
        nextAttemptAt = now + Timing.STORE_RETRY_MILLIS;
        state.effects.swapCoordinator(
                next, stored.map(CoordinatorRecord::modifyIndex).orElse(0L));
    }

    /**
     * Returns whether the last read showed the record that this instance knows, or another one of its epoch.
     * The index of a record from another instance may have been given out again since.
     */
    private boolean isStoredCurrent() {
        return stored.map(CoordinatorRecord::epoch).equals(state.record.map(CoordinatorRecord::epoch));
    }

    /**
     * Records that a swap may reassign a role to an instance that has promised nothing for the current epoch.
     */
    private void trackUnconfirmedChange(long now, CoordinatorRecord next) {
        changeBeforeSwap = unconfirmedChange;
        if (isCoordinator() && next.isCoordinator(state.self)) {
            // A successor that takes over waits until everything that is renewed within one validity period
            // after the sending of the swap has expired.
            roleConfirmedUntil =
                    unconfirmedChange == UnconfirmedChange.NONE ? now + Timing.PERMIT_MILLIS : roleConfirmedUntil;
            boolean sameSuccessor = next.successor().equals(state.record.get().successor());
            unconfirmedChange = sameSuccessor && unconfirmedChange != UnconfirmedChange.SUCCESSOR
                    ? UnconfirmedChange.WITNESS
                    : UnconfirmedChange.SUCCESSOR;
        }
    }

    /** Returns whether this instance may have been replaced in its role, so that it must read the record. */
    private boolean mayBeReplaced(long now) {
        return isCoordinator() && !canAct(now) || isSuccessor() && !isCoordinatorAlive(now);
    }

    /**
     * Returns whether this member reaches neither coordinator nor successor, so an operator may release the
     * record.
     */
    private boolean isUncoordinated(long now) {
        return state.record.isPresent()
                && !state.record.get().names(state.self)
                && !isCoordinatorAlive(now)
                && !state.record
                        .get()
                        .successor()
                        .filter(id -> state.isAlive(now, id))
                        .isPresent();
    }

    /** Returns the record that this instance should write now, if any. */
    private Optional<CoordinatorRecord> nextRecord(long now) {
        if (!recordRead || now < state.startedAt + Timing.SUSPECT_MILLIS) {
            return Optional.empty();
        }
        if (state.record.isEmpty()) {
            return state.leaving ? Optional.empty() : Optional.of(newRecord(now, state.self, 1, state.newMark()));
        }
        CoordinatorRecord current = state.record.get();
        long epoch = current.epoch() + 1;
        if (current.coordinator().isEmpty()) {
            return state.leaving ? Optional.empty() : Optional.of(newRecord(now, state.self, epoch, state.newMark()));
        }
        if (isCoordinator() && repeatedEpoch == current.epoch()) {
            // Members with the other record of the epoch ignore this one.
            return Optional.of(new CoordinatorRecord(
                    current.coordinator(), current.successor(), current.witness(), epoch, state.newMark(), 0));
        }
        if (isCoordinator()) {
            return nextAsCoordinator(now, current, epoch);
        }
        if (current.isCoordinator(state.self)) {
            // Reclaims the role of a previous process and keeps the successor, which has the newest table.
            return Optional.of(new CoordinatorRecord(
                    current.coordinator(), current.successor(), current.witness(), epoch, state.newMark(), 0));
        }
        if (isSuccessor() && mayTakeOver() && isCoordinatorLost(now) && hasConsent()) {
            return Optional.of(newRecord(now, state.self, epoch, TAKEOVER + state.newMark()));
        }
        return Optional.empty();
    }

    private Optional<CoordinatorRecord> nextAsCoordinator(long now, CoordinatorRecord current, long epoch) {
        Optional<InstanceId> successor = current.successor();
        boolean usable = successor.isPresent() && state.candidates(now).contains(successor.get());
        if (usable) {
            boolean ready = state.peer(successor.get()).tableVersion.equals(state.table.version())
                    && state.table.version().epoch() == current.epoch();
            if (!ready) {
                return Optional.empty();
            }
            if (state.leaving) {
                // The new coordinator takes only its own promises into account, so promises of the witness
                // must not be used.
                handoverEpoch = current.epoch();
                witnessPromiseUntil = 0;
                return Optional.of(newRecord(now, successor.get(), epoch, HANDOVER + state.newMark()));
            }
            return mayPublish(now) ? nextWitness(now, current, epoch) : Optional.empty();
        }
        CoordinatorRecord replacement = newRecord(now, state.self, epoch, state.newMark());
        if (replacement.successor().isPresent()) {
            return Optional.of(replacement);
        }
        if (successor.isEmpty()) {
            return mayVacate() ? vacantRecord(epoch) : Optional.empty();
        }
        // A coordinator without messages from any peer is more likely isolated than the last running
        // instance, so its successor gets the chance to take over first. A leaving successor does not take
        // over, and its stop waits until it is replaced.
        boolean mayReplaceSuccessor = state.leaving(successor.get())
                || state.detector.silentMillis(now, successor.get()) >= Timing.REPLACEMENT_DELAY_MILLIS;
        return mayReplaceSuccessor ? Optional.of(replacement) : Optional.empty();
    }

    /**
     * Returns whether this instance is the last one and all permits under the current record expire without
     * renewal.
     */
    private boolean mayVacate() {
        return state.drained && state.noOtherAlive && state.allFenced;
    }

    private Optional<CoordinatorRecord> vacantRecord(long epoch) {
        // An instance that claims the vacant record waits for permits and grants from the time of the swap,
        // so this instance must renew nothing after it has started the swap.
        vacatedEpoch = epoch - 1;
        return Optional.of(CoordinatorRecord.vacant(epoch, state.newMark()));
    }

    /** Returns whether a leaving instance can neither hand over its role nor write a vacant record. */
    boolean cannotHandOver() {
        // The successor stops last, because without the coordinator its permits remain valid for leaving
        // members.
        return state.drained && storeFailed && (isCoordinator() ? state.noOtherCandidate : state.noOtherAlive);
    }

    /**
     * Returns a record that replaces a witness that is silent, leaving or not promising, or adds a missing
     * witness.
     */
    private Optional<CoordinatorRecord> nextWitness(long now, CoordinatorRecord current, long epoch) {
        List<InstanceId> candidates = otherCandidates(now, state.self);
        boolean overdue = isWitnessOverdue(now);
        boolean usable = current.witness().isPresent()
                && candidates.contains(current.witness().get())
                && !overdue;
        Optional<InstanceId> chosen = chooseWitness(now, candidates, current.successor());
        if (usable || !overdue && chosen.equals(current.witness())) {
            return Optional.empty();
        }
        if (overdue) {
            // A witness that cannot read the store cannot promise, and every new epoch interrupts permits, so
            // the delay until the next replacement doubles.
            witnessReplacementDelayMillis =
                    Math.min(2 * witnessReplacementDelayMillis, Timing.MAX_REPLACEMENT_DELAY_MILLIS);
            witnessWaitStartedAt = now;
        }
        return Optional.of(
                new CoordinatorRecord(current.coordinator(), current.successor(), chosen, epoch, state.newMark(), 0));
    }

    private boolean isWitnessOverdue(long now) {
        return isCoordinator()
                && state.record.get().witness().isPresent()
                && now >= witnessWaitStartedAt + witnessReplacementDelayMillis;
    }

    private List<InstanceId> otherCandidates(long now, InstanceId coordinator) {
        return state.candidates(now).stream()
                .filter(id -> !id.equals(coordinator))
                .toList();
    }

    /** Keeps the current witness if it promises, and otherwise prefers another instance. */
    private Optional<InstanceId> chooseWitness(long now, List<InstanceId> others, Optional<InstanceId> successor) {
        List<InstanceId> free =
                others.stream().filter(id -> !successor.equals(Optional.of(id))).toList();
        Optional<InstanceId> current = state.record.flatMap(CoordinatorRecord::witness);
        boolean overdue = isWitnessOverdue(now);
        return current.filter(id -> !overdue && free.contains(id))
                .or(() -> free.stream()
                        .filter(id -> !current.equals(Optional.of(id)))
                        .findFirst())
                .or(() -> free.stream().findFirst());
    }

    private CoordinatorRecord newRecord(long now, InstanceId coordinator, long epoch, String mark) {
        List<InstanceId> others = otherCandidates(now, coordinator);
        // Prefers instances that are not senders of backend servers without token checks, because the rights
        // of a lost successor cannot be moved.
        Optional<InstanceId> free = others.stream()
                .filter(id -> state.table.senders().stream()
                        .noneMatch(entry -> entry.sender().isPresent()
                                && entry.sender().get().equals(id)))
                .findFirst();
        Optional<InstanceId> successor = free.or(() -> others.stream().findFirst());
        return new CoordinatorRecord(
                Optional.of(coordinator), successor, chooseWitness(now, others, successor), epoch, mark, 0);
    }
}
