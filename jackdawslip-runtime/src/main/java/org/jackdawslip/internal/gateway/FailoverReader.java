package org.jackdawslip.internal.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import io.netty.channel.EventLoop;
import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.time.MonotonicClock;

/**
 * Reads the platform's store directly, or through another instance while the store does not serve this one.
 *
 * <p>There are three states. <em>Direct</em>: calls go to the store. After any direct call that failed this instance is
 * <em>seeking</em>: a call goes to the store, and to a peer as soon as the direct one failed or had no answer for
 * {@link #HEDGE_MILLIS}; the first valid answer counts. After a valid answer of a peer the store is read <em>through
 * that peer</em>, and a call goes to the store beside it once in {@link #PROBE_MILLIS}, or as soon as the store served
 * another call of this instance. A valid answer of the store leads back to the direct state.
 *
 * <p>The peers are those in the last view, in the order of a rendezvous hash of this instance and the peer, so that the
 * instances that are not served spread over all others. Peers in the own failure domain and in others take turns,
 * because a fault may concern a whole domain. A peer that failed is followed by the next one: in the same call if it
 * failed promptly, else in the next call. A peer that does not answer a read is joined by the next one after
 * {@link #NEXT_PEER_MILLIS}, because it may not know yet that the store does not answer it either. One call asks at
 * most {@link #MOST_PEERS}. {@link StoreRelay} refuses promptly at a peer that knows that it is not served itself.
 *
 * <p>Invariants: an answer of a peer is valid only if its revision is at least the newest one that was known when the
 * call began, so a peer cannot take the view back. A watch ends at the time at which it would end without peers, a read
 * at most {@link ChangeBudget#PAGE_MILLIS} later. While no instance is served, the store gets one call for each
 * call that is made here, because peers refuse. The result of a direct call changes the state only if the call was sent
 * after the one that changed it last; otherwise the answer to a watch that waited since before a refusal would hide it.
 *
 * <p>Peers could pass on what they know instead. Then a view would be as old as theirs plus the time on the way, two
 * beliefs in a row, and the bound of each would have to be argued. Here the relaying instance believes nothing.
 *
 * <p>Confined to the event loop.
 */
final class FailoverReader implements StoreReader {

    /** Time for an answer after which a peer is asked as well. The store usually answers within 4 ms. */
    static final long HEDGE_MILLIS = 60;
    /** Interval of direct calls while the store is read through a peer. */
    static final long PROBE_MILLIS = 1_000;
    /** A failure within this time of the start of a call leaves enough of it for another peer. */
    static final long PROMPT_MILLIS = 150;
    /** Time for an answer to a read after which the next peer is asked as well. */
    static final long NEXT_PEER_MILLIS = 150;
    /** Peers that one call asks at most. */
    static final int MOST_PEERS = 5;

    private final StoreReader store;
    private final Function<String, ? extends StoreReader> storeThroughPeer;
    private final Consumer<String> peerLeft;
    private final InstanceId self;
    private final EventLoop loop;
    private final MonotonicClock clock;
    private final EventLog log;

    private Map<InstanceId, PeerExchange.Peer> live = Map.of();
    /** The live peers in the order in which they are asked; null if it has to be made anew. */
    private List<Candidate> candidates;
    /** Position of the next peer to be asked. */
    private int next;

    private boolean direct = true;
    /** The peer through which the store is read, or null. */
    private Candidate through;
    /** Number of the last direct call. */
    private long directCalls;
    /** Number of the direct call whose result changed the state last. */
    private long decidedBy;

    private long probeAt;
    private long answeredAt;
    private DurableStore.Status failure;
    private long newestRevision;
    private long relayed;

    /** A peer that may be asked. Immutable. */
    private record Candidate(InstanceId id, String address, boolean near) {}

    /** A call that can be made at the store and at a peer. */
    private interface Read {
        /** Makes the call with the time that is left of it. */
        void start(StoreReader reader, long elapsedMillis, Consumer<DurableStore.Result> whenDone);
    }

    /**
     * Makes a reader.
     *
     * @param storeThroughPeer makes a client of the store whose calls go to the peer with the given host and port
     * @param peerLeft is told the address of a peer that is not asked any more
     */
    FailoverReader(
            Context context, Function<String, ? extends StoreReader> storeThroughPeer, Consumer<String> peerLeft) {
        this.store = context.store();
        this.storeThroughPeer = storeThroughPeer;
        this.peerLeft = peerLeft;
        this.self = context.settings().instance();
        this.loop = context.loop();
        this.clock = context.clock();
        this.log = context.log();
        this.answeredAt = clock.millis();
    }

    /** Returns whether the store serves this instance itself, as far as is known. */
    boolean direct() {
        return direct;
    }

    /** Returns how many answers came through peers. */
    long relayed() {
        return relayed;
    }

    /** Takes the live instances. A peer that is in use stays so until it fails, because its listing proves nothing. */
    void peers(Map<InstanceId, PeerExchange.Peer> instances) {
        live = instances;
        candidates = null;
    }

    /** Takes that the store served another call of this instance. */
    void otherCallServed() {
        probeAt = clock.millis();
    }

    @Override
    public void readAll(String prefix, long timeoutMillis, Consumer<DurableStore.Result> whenDone) {
        new Call("read", false, (reader, elapsed, done) -> reader.readAll(prefix, timeoutMillis, done), whenDone)
                .start();
    }

    @Override
    public void watch(
            String prefix,
            long afterRevision,
            long waitMillis,
            long timeoutMillis,
            Consumer<DurableStore.Result> whenDone) {
        Read read = (reader, elapsed, done) ->
                reader.watch(prefix, afterRevision, Math.max(0, waitMillis - elapsed), timeoutMillis - elapsed, done);
        new Call("watch", true, read, whenDone).start();
    }

    /** One call, at the store and at peers. */
    private final class Call {
        private final String name;
        private final boolean waits;
        private final Read read;
        private final Consumer<DurableStore.Result> whenDone;
        private final long startedAt = clock.millis();
        private final long leastRevision = newestRevision;
        private final Set<Candidate> asked = new HashSet<>();
        private boolean directUnderWay;
        private int peersUnderWay;
        private boolean done;
        private DurableStore.Status directFailure;

        /**
         * Makes a call.
         *
         * @param waits whether the store answers only when there is something to tell
         */
        Call(String name, boolean waits, Read read, Consumer<DurableStore.Result> whenDone) {
            this.name = name;
            this.waits = waits;
            this.read = read;
            this.whenDone = whenDone;
        }

        void start() {
            if (direct) {
                askStore();
            } else if (through == null) {
                askStore();
                loop.schedule(() -> askPeerUnlessAsked(0), HEDGE_MILLIS, TimeUnit.MILLISECONDS);
            } else {
                askPeer(through);
                if (!done && clock.millis() >= probeAt) {
                    askStore();
                }
            }
        }

        private void askStore() {
            directUnderWay = true;
            probeAt = clock.millis() + PROBE_MILLIS;
            long number = ++directCalls;
            read.start(store, elapsedMillis(), result -> {
                directUnderWay = false;
                if (answers(result)) {
                    served(number);
                    finish(result);
                } else {
                    directFailure = result.status();
                    refused(number, result.status());
                    goOn(result.status(), peersUnderWay == 0 && elapsedMillis() < PROMPT_MILLIS);
                }
            });
        }

        /** Asks a peer if none was asked since a given number of them had been. */
        private void askPeerUnlessAsked(int before) {
            if (!done && asked.size() == before) {
                askNextPeer();
            }
        }

        private boolean askNextPeer() {
            List<Candidate> peers = candidates();
            if (asked.size() >= MOST_PEERS || elapsedMillis() >= ChangeBudget.PAGE_MILLIS) {
                return false;
            }
            for (int i = 0; i < peers.size(); i++) {
                Candidate peer = peers.get((next + i) % peers.size());
                if (!asked.contains(peer)) {
                    askPeer(peer);
                    return true;
                }
            }
            return false;
        }

        private void askPeer(Candidate peer) {
            asked.add(peer);
            peersUnderWay++;
            long askedAt = clock.millis();
            if (!waits) {
                int before = asked.size();
                loop.schedule(() -> askPeerUnlessAsked(before), NEXT_PEER_MILLIS, TimeUnit.MILLISECONDS);
            }
            read.start(storeThroughPeer.apply(peer.address), elapsedMillis(), result -> {
                peersUnderWay--;
                if (answers(result) && notOlder(result)) {
                    relayed++;
                    answeredBy(peer, name);
                    finish(result);
                } else {
                    failed(peer);
                    goOn(result.status(), clock.millis() - (waits ? startedAt : askedAt) < PROMPT_MILLIS);
                }
            });
        }

        private long elapsedMillis() {
            return clock.millis() - startedAt;
        }

        /** Goes on after one way failed. */
        private void goOn(DurableStore.Status status, boolean prompt) {
            if (done || prompt && !direct && askNextPeer() || directUnderWay || peersUnderWay > 0) {
                return;
            }
            DurableStore.Status reported = directFailure == null ? status : directFailure;
            finish(DurableStore.Result.of(
                    reported == DurableStore.Status.REFUSED ? reported : DurableStore.Status.UNKNOWN));
        }

        private boolean answers(DurableStore.Result result) {
            return result.status() == DurableStore.Status.DONE || result.status() == DurableStore.Status.HISTORY_GONE;
        }

        private boolean notOlder(DurableStore.Result result) {
            return result.status() != DurableStore.Status.DONE || result.revision() >= leastRevision;
        }

        private void finish(DurableStore.Result result) {
            if (!done) {
                done = true;
                newestRevision = Math.max(newestRevision, result.revision());
                whenDone.accept(result);
            }
        }
    }

    private void served(long number) {
        if (number < decidedBy) {
            return;
        }
        decidedBy = number;
        if (!direct) {
            direct = true;
            if (through != null) {
                log.info(
                        "store-reads-direct",
                        "peer",
                        through.id,
                        "afterMillis",
                        clock.millis() - answeredAt,
                        "relayed",
                        relayed);
                leave();
            }
        }
        answeredAt = clock.millis();
    }

    private void refused(long number, DurableStore.Status status) {
        if (number >= decidedBy) {
            decidedBy = number;
            direct = false;
            failure = status;
        }
    }

    private void answeredBy(Candidate peer, String call) {
        if (direct || peer.equals(through)) {
            return;
        }
        leave();
        next = Math.max(0, candidates().indexOf(peer));
        through = peer;
        log.warn(
                "store-reads-relayed",
                "peer",
                peer.id,
                "near",
                peer.near,
                "call",
                call,
                "status",
                failure,
                "unservedMillis",
                clock.millis() - answeredAt);
    }

    private void failed(Candidate peer) {
        List<Candidate> peers = candidates();
        if (!peers.isEmpty() && peer.equals(peers.get(next % peers.size()))) {
            next = (next + 1) % peers.size();
        }
        if (peer.equals(through)) {
            leave();
        }
    }

    private void leave() {
        if (through != null) {
            peerLeft.accept(through.address);
            through = null;
        }
    }

    private List<Candidate> candidates() {
        if (candidates == null) {
            List<Candidate> near = new ArrayList<>();
            List<Candidate> far = new ArrayList<>();
            live.forEach((id, peer) -> {
                String address =
                        peer.address().getHostString() + ":" + peer.address().getPort();
                if (!id.equals(self)) {
                    (peer.near() ? near : far).add(new Candidate(id, address, peer.near()));
                }
            });
            Comparator<Candidate> order = Comparator.comparingLong(peer -> hash(peer.id));
            near.sort(order);
            far.sort(order);
            candidates = new ArrayList<>();
            for (int i = 0; i < Math.max(near.size(), far.size()); i++) {
                if (i < near.size()) {
                    candidates.add(near.get(i));
                }
                if (i < far.size()) {
                    candidates.add(far.get(i));
                }
            }
        }
        return candidates;
    }

    private long hash(InstanceId peer) {
        long hash = ((long) self.hashCode() << Integer.SIZE) ^ peer.hashCode();
        hash ^= hash >>> 33;
        hash *= 0xff51afd7ed558ccdL;
        hash ^= hash >>> 33;
        hash *= 0xc4ceb9fe1a85ec53L;
        return hash ^ hash >>> 33;
    }
}
