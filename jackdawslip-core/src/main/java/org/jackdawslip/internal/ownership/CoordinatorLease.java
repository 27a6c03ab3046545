package org.jackdawslip.internal.ownership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.jackdawslip.InstanceId;

/**
 * The roles of coordinator and successor of one member, and every change of the record that names them.
 *
 * <p>Invariants: the record changes only through the store, every change raises the epoch, and the coordinator acts
 * only within a promise of its successor or its witness, or without a successor. The successor tries to take over only
 * after its last promise and the clock allowance, and with the consent of the witness that the record names. A witness
 * that consented for an epoch promises nothing more for it. A late effect of a swap is harmless, because an instance
 * acts under a record only after it has read it. Not thread-safe; confined to its member.
 */
final class CoordinatorLease {

    private static final String HANDOVER = "handover-";
    private static final String TAKEOVER = "takeover-";

    private final MemberState state;
    private final Set<String> ownMarks = new HashSet<>();
    private long activeEpoch;
    private long promiseGivenUntil;
    private long promiseHeldUntil;
    private long witnessHeldUntil;
    private long consentGivenEpoch;
    private long consentHeldEpoch;
    /** The epoch that the store had when this process started; an earlier process may have consented for it. */
    private long firstReadEpoch;

    private long handoverEpoch;
    private Doubt doubt = Doubt.NONE;
    private Doubt doubtBefore = Doubt.NONE;
    private long surelyUntil;
    private long unawareOfEpoch;
    private long vacatedEpoch;
    private boolean storeFailed;
    private long muteSince;
    private long mutePatience = Timing.ALONE_MILLIS;
    private long heardOrReadAt;
    private long bridgeUntil;
    private boolean recordRead;
    private boolean readInFlight;
    private boolean orphanRead;
    private boolean readWanted = true;
    private boolean swapInFlight;
    private long readSentAt;
    private long nextAttemptAt;

    CoordinatorLease(MemberState state) {
        this.state = state;
        // An earlier process of this instance may have given a promise just before it ended.
        promiseGivenUntil = state.startedAt + Timing.PERMIT_OVER_MILLIS;
        heardOrReadAt = state.startedAt - Timing.PERMIT_MILLIS;
    }

    /** Successors that a later record replaced, with the last epoch that named them. */
    private final Map<InstanceId, Long> replacedSuccessors = new HashMap<>();

    /** Which part of the record an own swap may have changed without this instance knowing. */
    private enum Doubt {
        NONE,
        WITNESS,
        SUCCESSOR
    }

    /** How an instance comes to be coordinator, which decides what it knows about the table. */
    enum Start {
        /** It was coordinator before, with another successor. */
        CONTINUE,
        /** It was coordinator before, with the same successor. */
        SAME_SUCCESSOR,
        /** It was successor and holds the newest table. */
        INHERIT,
        /** It holds no table. */
        ANEW
    }

    boolean isCoordinator() {
        return state.record.isPresent()
                && state.record.get().isCoordinator(state.self)
                && activeEpoch == state.record.get().epoch();
    }

    boolean isSuccessor() {
        return state.record.isPresent() && state.record.get().isSuccessor(state.self);
    }

    /** A restarted successor may have taken over before, so it first reads the record that this would have left. */
    boolean mayServeAsSuccessor() {
        return isSuccessor() && recordRead;
    }

    boolean isWitness() {
        return state.record.isPresent() && state.record.get().isWitness(state.self);
    }

    /** Returns whether this instance may act as coordinator now: issue permits and use its own rights. */
    boolean canAct(long now) {
        boolean sure = doubt == Doubt.NONE || now < surelyUntil;
        return mayMove(now) || mayStillAct() && sure && now < witnessHeldUntil;
    }

    private boolean mayStillAct() {
        return isCoordinator() && vacatedEpoch != state.record.get().epoch();
    }

    /**
     * Returns whether this instance may publish tables. A witness that promises is not enough: the silent successor may
     * still use its own rights and issue permits for its copy, so no older table can be shown to be out of use.
     */
    boolean mayMove(long now) {
        if (!mayStillAct()) {
            return false;
        }
        boolean sure = doubt != Doubt.SUCCESSOR || now < surelyUntil;
        return sure && (state.record.get().successor().isEmpty() || now < promiseHeldUntil);
    }

    /** Returns whether a successor may issue permits for services that move on silence. */
    boolean coversMove(long now) {
        return now < heardOrReadAt + Timing.PERMIT_MILLIS;
    }

    /** Returns whether the own rights of a coordinator still count while its new successor has not promised yet. */
    boolean bridged(long now) {
        return mayStillAct() && now < bridgeUntil;
    }

    long promiseGivenUntil() {
        return promiseGivenUntil;
    }

    /** Adopts a record if it is newer. Returns how this instance became coordinator by it, if it did. */
    Optional<Start> adopt(CoordinatorRecord record) {
        Optional<CoordinatorRecord> before = state.record;
        if (before.isPresent() && record.epoch() <= before.get().epoch()) {
            if (record.epoch() == before.get().epoch()
                    && record.modifyIndex() > before.get().modifyIndex()) {
                state.record = Optional.of(record);
            }
            return Optional.empty();
        }
        before.ifPresent(old -> noteReplacement(old, record));
        boolean wasCoordinator = isCoordinator();
        // A restarted coordinator got its table from the successor, which keeps the newest one.
        boolean hadCopy = before.isPresent()
                && before.get().names(state.self)
                && state.table.version().epoch() == before.get().epoch();
        state.record = Optional.of(record);
        state.announce = true;
        promiseHeldUntil = 0;
        witnessHeldUntil = 0;
        doubt = Doubt.NONE;
        if (!record.isCoordinator(state.self)) {
            return Optional.empty();
        }
        boolean handedOver = record.mark().startsWith(HANDOVER) && hadCopy;
        if (!ownMarks.contains(record.mark()) && !handedOver) {
            return Optional.empty();
        }
        activeEpoch = record.epoch();
        unawareOfEpoch =
                before.filter(this::mayBeUnaware).map(CoordinatorRecord::epoch).orElse(0L);
        // Until the successor promises: no other instance could take over before this read was sent.
        bridgeUntil = readInFlight ? readSentAt + Timing.PERMIT_MILLIS : 0;
        if (wasCoordinator) {
            boolean same = record.successor().isPresent()
                    && record.successor().equals(before.get().successor())
                    && record.epoch() == before.get().epoch() + 1;
            return Optional.of(same ? Start.SAME_SUCCESSOR : Start.CONTINUE);
        }
        return Optional.of(hadCopy ? Start.INHERIT : Start.ANEW);
    }

    private void noteReplacement(CoordinatorRecord before, CoordinatorRecord next) {
        if (next.coordinator().isEmpty()) {
            // Whoever writes a vacant record states that the lost instances are gone.
            replacedSuccessors.clear();
        }
        before.successor()
                .filter(id -> !next.names(id) && next.coordinator().isPresent())
                .ifPresent(id -> replacedSuccessors.put(id, before.epoch()));
    }

    /**
     * Returns whether a successor that was replaced may not know it yet. It then renews the grants of the backend
     * servers that it reaches without limit, and lets the members that it reaches do so.
     */
    boolean replacedSuccessorMayAct() {
        return replacedSuccessors.entrySet().stream()
                .anyMatch(replaced -> state.peer(replaced.getKey()).recordEpoch <= replaced.getValue());
    }

    /**
     * Returns whether the coordinator of a record may still act as the successor that it was before. It does so while
     * it has not read the record by which it took over or was handed the role.
     */
    private boolean mayBeUnaware(CoordinatorRecord record) {
        boolean newRole = record.mark().startsWith(HANDOVER) || record.mark().startsWith(TAKEOVER);
        return newRole
                && record.coordinator()
                        .filter(id -> !id.equals(state.self) && state.peer(id).recordEpoch < record.epoch())
                        .isPresent();
    }

    /** Returns the epoch of the coordinator before this one if it may still issue permits as a successor, else 0. */
    long unawareOfEpoch() {
        return unawareOfEpoch;
    }

    /** Decides whether the answer to a heartbeat of the coordinator carries a promise. */
    boolean promise(long now, Heartbeat heartbeat) {
        boolean promised = (mayServeAsSuccessor() || mayPromiseAsWitness())
                && state.record.get().isCoordinator(heartbeat.from())
                && knowsSameEpoch(heartbeat);
        if (promised) {
            promiseGivenUntil = Math.max(promiseGivenUntil, now + Timing.PERMIT_OVER_MILLIS);
        }
        return promised;
    }

    /** The earlier process of a restarted witness may have consented for the epoch that the store had at the start. */
    private boolean mayPromiseAsWitness() {
        return isWitness()
                && recordRead
                && state.record.get().epoch() > firstReadEpoch
                && state.record.get().epoch() != consentGivenEpoch;
    }

    private boolean knowsSameEpoch(Heartbeat heartbeat) {
        return heartbeat.coordinator().isPresent()
                && heartbeat.coordinator().get().epoch()
                        == state.record.orElseThrow().epoch();
    }

    /** Decides whether the answer to a heartbeat of the successor carries the consent of this witness. */
    boolean consent(long now, Heartbeat heartbeat) {
        boolean consented = heartbeat.asksConsent()
                && isWitness()
                && recordRead
                && state.record.get().isSuccessor(heartbeat.from())
                && knowsSameEpoch(heartbeat)
                && coordinatorGone(now);
        if (consented) {
            consentGivenEpoch = state.record.get().epoch();
        }
        return consented;
    }

    private boolean coordinatorAlive(long now) {
        return state.record
                .flatMap(CoordinatorRecord::coordinator)
                .filter(id -> state.alive(now, id))
                .isPresent();
    }

    /** Returns whether the coordinator is silent and no promise to it can still count. */
    private boolean coordinatorGone(long now) {
        return !coordinatorAlive(now) && now >= promiseGivenUntil;
    }

    /** A leaving successor takes over only if nobody else is left to write a vacant record. */
    private boolean mayTakeOver() {
        return !state.leaving || state.drained && state.nobodyLeft;
    }

    /** Returns whether the next heartbeats ask the witness for its consent. */
    boolean asksConsent(long now) {
        return mayServeAsSuccessor() && mayTakeOver() && !hasConsent() && coordinatorGone(now);
    }

    private boolean hasConsent() {
        CoordinatorRecord record = state.record.orElseThrow();
        return record.witness().isEmpty() || consentHeldEpoch == record.epoch() || !state.rules.waitsForConsent();
    }

    void onAnswer(HeartbeatAnswer answer) {
        if (state.record.isEmpty()) {
            return;
        }
        CoordinatorRecord record = state.record.get();
        if (answer.promise() && answer.promiseEpoch() == record.epoch()) {
            long until = answer.sentAtMillis() + Timing.PERMIT_MILLIS;
            if (record.isSuccessor(answer.from())) {
                promiseHeldUntil = Math.max(promiseHeldUntil, until);
            } else if (record.isWitness(answer.from()) && handoverEpoch != record.epoch()) {
                witnessHeldUntil = Math.max(witnessHeldUntil, until);
                mutePatience = Timing.ALONE_MILLIS;
            }
        }
        if (answer.consent()
                && answer.promiseEpoch() == record.epoch()
                && isSuccessor()
                && record.isWitness(answer.from())) {
            consentHeldEpoch = record.epoch();
        }
        // A restarted coordinator that does not act may not know that this successor was replaced.
        if (isSuccessor()
                && answer.permit()
                && record.isCoordinator(answer.from())
                && answer.permitVersion().epoch() == record.epoch()) {
            heardOrReadAt = Math.max(heardOrReadAt, answer.sentAtMillis());
        }
    }

    /** Takes the result of a read. */
    Optional<Start> onRead(Optional<CoordinatorRecord> stored) {
        if (readInFlight) {
            heardOrReadAt = Math.max(heardOrReadAt, readSentAt);
        }
        // A record that names a coordinator reaches a plain member through that coordinator: while it has not shown the
        // record, it may still use its unlimited rights as the successor that it was before.
        Optional<CoordinatorRecord> usable =
                stored.filter(record -> !orphanRead || record.coordinator().isEmpty());
        orphanRead = false;
        if (!recordRead) {
            firstReadEpoch = stored.map(CoordinatorRecord::epoch).orElse(0L);
        }
        Optional<Start> start = usable.flatMap(this::adopt);
        if (readInFlight) {
            surelyUntil = Math.max(surelyUntil, readSentAt + Timing.PERMIT_MILLIS);
        }
        readInFlight = false;
        readWanted = false;
        recordRead = true;
        storeFailed = false;
        return start;
    }

    void onReadFailed() {
        readInFlight = false;
        orphanRead = false;
        storeFailed = true;
    }

    void onSwap(SwapResult result) {
        swapInFlight = false;
        storeFailed = result == SwapResult.UNREACHABLE;
        if (result == SwapResult.UNREACHABLE || result == SwapResult.CONFLICT) {
            doubt = doubtBefore;
        }
        // The record decides: only a read shows the index, and whether a swap with a lost answer took effect.
        readWanted = readWanted || result != SwapResult.UNREACHABLE;
    }

    /** Starts the store calls that the present situation needs. Returns a record to adopt only for a broken rule. */
    Optional<CoordinatorRecord> tick(long now) {
        if (!mayMove(now) || now < witnessHeldUntil) {
            muteSince = now;
        }
        // Does not wait for the next heartbeat; the bound keeps a lost witness from costing messages for long.
        state.announce |= asksConsent(now) && now < promiseGivenUntil + Timing.SUSPECT_MILLIS;
        if (swapInFlight || readInFlight || now < nextAttemptAt) {
            return Optional.empty();
        }
        Optional<CoordinatorRecord> next = readWanted ? Optional.empty() : nextRecord(now);
        if (next.isPresent()) {
            if (!state.rules.takesOverThroughStore() && isSuccessor()) {
                ownMarks.add(next.get().mark());
                return next;
            }
            ownMarks.add(next.get().mark());
            noteDoubt(now, next.get());
            swapInFlight = true;
            nextAttemptAt = now + Timing.STORE_RETRY_MILLIS;
            state.effects.swapCoordinator(
                    next.get(), state.record.map(CoordinatorRecord::modifyIndex).orElse(0L));
        } else if (readWanted || suspicious(now) || orphaned(now)) {
            readInFlight = true;
            readSentAt = now;
            orphanRead = !readWanted && !suspicious(now);
            nextAttemptAt = now + (orphanRead ? Timing.ORPHAN_READ_MILLIS : Timing.STORE_RETRY_MILLIS);
            state.effects.readCoordinator();
        }
        return Optional.empty();
    }

    /** After such a swap an instance may take over that owes this coordinator nothing for the present epoch. */
    private void noteDoubt(long now, CoordinatorRecord next) {
        doubtBefore = doubt;
        if (isCoordinator() && next.isCoordinator(state.self)) {
            // The wait of a successor that takes over covers what is renewed for one term after the sending.
            surelyUntil = doubt == Doubt.NONE ? now + Timing.PERMIT_MILLIS : surelyUntil;
            boolean same = next.successor().equals(state.record.get().successor());
            doubt = same && doubt != Doubt.SUCCESSOR ? Doubt.WITNESS : Doubt.SUCCESSOR;
        }
    }

    /** A holder of a role whose counterpart is silent may have been replaced, and the record tells. */
    private boolean suspicious(long now) {
        return isCoordinator() && !canAct(now) || isSuccessor() && !coordinatorAlive(now);
    }

    /** A member that hears neither coordinator nor successor looks whether the operator released the record. */
    private boolean orphaned(long now) {
        return state.record.isPresent()
                && !state.record.get().names(state.self)
                && !coordinatorAlive(now)
                && !state.record
                        .get()
                        .successor()
                        .filter(id -> state.alive(now, id))
                        .isPresent();
    }

    private Optional<CoordinatorRecord> nextRecord(long now) {
        if (!recordRead || now < state.startedAt + Timing.SUSPECT_MILLIS) {
            return Optional.empty();
        }
        if (state.record.isEmpty()) {
            return state.leaving ? Optional.empty() : Optional.of(record(now, state.self, 1, state.mark()));
        }
        CoordinatorRecord current = state.record.get();
        long epoch = current.epoch() + 1;
        if (current.coordinator().isEmpty()) {
            return state.leaving ? Optional.empty() : Optional.of(record(now, state.self, epoch, state.mark()));
        }
        if (isCoordinator()) {
            return nextAsCoordinator(now, current, epoch);
        }
        if (current.isCoordinator(state.self)) {
            // Reclaims the record of an earlier process and keeps the successor, which has the table.
            return Optional.of(new CoordinatorRecord(
                    current.coordinator(), current.successor(), current.witness(), epoch, state.mark(), 0));
        }
        if (isSuccessor() && mayTakeOver() && coordinatorGone(now) && hasConsent()) {
            return Optional.of(record(now, state.self, epoch, TAKEOVER + state.mark()));
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
                // The new coordinator knows only its own promises, so those of the witness must no longer count.
                handoverEpoch = current.epoch();
                witnessHeldUntil = 0;
                return Optional.of(record(now, successor.get(), epoch, HANDOVER + state.mark()));
            }
            return mayMove(now) ? nextWitness(now, current, epoch) : Optional.empty();
        }
        CoordinatorRecord replaced = record(now, state.self, epoch, state.mark());
        if (replaced.successor().isPresent()) {
            return Optional.of(replaced);
        }
        if (successor.isEmpty()) {
            return mayVacate() ? vacate(epoch) : Optional.empty();
        }
        // A coordinator that hears nobody is more likely cut off than the last one: its successor goes first.
        // A leaving successor does not take over, and it waits until it is released from the role.
        boolean alone = state.leaving(successor.get())
                || state.detector.silentMillis(now, successor.get()) >= Timing.ALONE_MILLIS;
        return alone ? Optional.of(replaced) : Optional.empty();
    }

    /** Returns whether this instance is the last one, and every permit of the present record ends by itself. */
    private boolean mayVacate() {
        return state.drained && state.nobodyAlive && state.allFenced;
    }

    private Optional<CoordinatorRecord> vacate(long epoch) {
        // An instance that claims the record counts from the swap, so nothing may be renewed once it is under way.
        vacatedEpoch = epoch - 1;
        return Optional.of(CoordinatorRecord.vacant(epoch, state.mark()));
    }

    /** Returns whether a leaving instance has nobody to hand its role to and cannot write a vacant record. */
    boolean gaveUp() {
        // The successor goes last, because its permits still count for leaving members without the coordinator.
        return state.drained && storeFailed && (isCoordinator() ? state.nobodyLeft : state.nobodyAlive);
    }

    /** Replaces a witness that is silent, leaves or does not promise, and adds one when there was none. */
    private Optional<CoordinatorRecord> nextWitness(long now, CoordinatorRecord current, long epoch) {
        List<InstanceId> others = others(now, state.self);
        boolean mute = mute(now);
        boolean usable = current.witness().isPresent()
                && others.contains(current.witness().get())
                && !mute;
        Optional<InstanceId> chosen = witness(now, others, current.successor());
        if (usable || !mute && chosen.equals(current.witness())) {
            return Optional.empty();
        }
        if (mute) {
            // A witness that cannot read the store stays mute, and every change of the epoch interrupts permits.
            mutePatience = Math.min(2 * mutePatience, Timing.MUTE_LIMIT_MILLIS);
            muteSince = now;
        }
        return Optional.of(
                new CoordinatorRecord(current.coordinator(), current.successor(), chosen, epoch, state.mark(), 0));
    }

    private boolean mute(long now) {
        return isCoordinator() && state.record.get().witness().isPresent() && now >= muteSince + mutePatience;
    }

    private List<InstanceId> others(long now, InstanceId coordinator) {
        return state.candidates(now).stream()
                .filter(id -> !id.equals(coordinator))
                .toList();
    }

    /** Keeps a witness that promises, and otherwise prefers an instance that is not known to be mute. */
    private Optional<InstanceId> witness(long now, List<InstanceId> others, Optional<InstanceId> successor) {
        List<InstanceId> free =
                others.stream().filter(id -> !successor.equals(Optional.of(id))).toList();
        Optional<InstanceId> current = state.record.flatMap(CoordinatorRecord::witness);
        boolean mute = mute(now);
        return current.filter(id -> !mute && free.contains(id))
                .or(() -> free.stream()
                        .filter(id -> !current.equals(Optional.of(id)))
                        .findFirst())
                .or(() -> free.stream().findFirst());
    }

    private CoordinatorRecord record(long now, InstanceId coordinator, long epoch, String mark) {
        List<InstanceId> others = others(now, coordinator);
        // Senders of backend servers without token checks come last: the rights of a lost successor cannot be moved.
        Optional<InstanceId> free = others.stream()
                .filter(id -> state.table.senders().stream()
                        .noneMatch(entry -> entry.sender().isPresent()
                                && entry.sender().get().equals(id)))
                .findFirst();
        Optional<InstanceId> successor = free.or(() -> others.stream().findFirst());
        return new CoordinatorRecord(
                Optional.of(coordinator), successor, witness(now, others, successor), epoch, mark, 0);
    }
}
