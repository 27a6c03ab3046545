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
 * <p>The reader has three states. <em>Direct</em>: calls go to the store. After a direct call that failed the
 * reader is <em>seeking</em>: a call goes to the store, and also to a peer as soon as the direct call failed
 * or had no response for {@link #HEDGE_DELAY_MILLIS}; the first valid response is used. After a valid
 * response of a peer the reader is <em>relayed</em>: calls go to that peer, and once in
 * {@link #PROBE_INTERVAL_MILLIS}, or as soon as the store served another call of this instance, a call goes
 * to the store in parallel. A valid response of the store leads back to the direct state.
 *
 * <p>The peers are those in the last view, in the order of a rendezvous hash of this instance and the peer,
 * so that instances that the store does not serve spread over all others. Peers in the own failure domain and
 * in others alternate, because a fault may affect a whole failure domain. After a peer failed, the next one
 * is called: in the same call if the failure was prompt, else in the next call. If a peer does not respond to
 * a read, the next one is called in parallel after {@link #NEXT_PEER_DELAY_MILLIS}, because the peer may not
 * have detected yet that the store does not respond to the peer either. One call uses at most
 * {@link #MAX_PEERS_PER_CALL} peers. The {@link StoreRelay} of a peer that has detected that the store does
 * not serve it refuses promptly.
 *
 * <p>Invariants: a response of a peer is valid only if its revision is at least the newest revision of the same
 * era of the store that was known when the call began, so a peer cannot set the view back. A watch ends at the
 * time at which a watch without peers would end, a read at most {@link ChangeTimeBudget#PAGE_READ_MILLIS} later.
 * While the store serves no instance, the store receives one call for each call of this reader, because peers
 * refuse to relay calls. The result of a direct call changes the state only if that call was sent after the direct
 * call that changed the state last; otherwise the response to a watch that was already waiting before a refusal
 * would hide the refusal.
 *
 * <p>A relaying peer forwards calls to the store and does not return its own view of the records: a view received
 * from a peer would be as old as the view of that peer plus the transfer time, so the limit of its age would
 * depend on the assumptions of two instances.
 *
 * <p>Confined to the event loop.
 */
final class FailoverReader implements StoreReader {

    /** Delay after which a peer is called in parallel. The store usually responds within 4 ms. */
    static final long HEDGE_DELAY_MILLIS = 60;
    /** Interval between direct calls while the store is read through a peer. */
    static final long PROBE_INTERVAL_MILLIS = 1_000;
    /** A failure within this time after the start of a call leaves enough time to call another peer. */
    static final long PROMPT_FAILURE_MILLIS = 150;
    /** Time without a response to a read after which the next peer is called in parallel. */
    static final long NEXT_PEER_DELAY_MILLIS = 150;
    /** Largest number of peers that one call uses. */
    static final int MAX_PEERS_PER_CALL = 5;

    private final StoreReader store;
    private final Function<String, ? extends StoreReader> storeThroughPeer;
    private final Consumer<String> unusedPeerListener;
    private final InstanceId self;
    private final EventLoop loop;
    private final MonotonicClock clock;
    private final EventLog log;

    private Map<InstanceId, PeerExchange.Peer> livePeers = Map.of();
    /** The live peers in the order in which they are called; null if the order has to be computed. */
    private List<Candidate> candidates;
    /** Position of the next peer to be called. */
    private int nextPeer;

    private boolean direct = true;
    /** The peer through which the store is read, or null. */
    private Candidate relayPeer;
    /** Number of the last direct call. */
    private long lastDirectCallNumber;
    /** Number of the direct call whose result changed the state last. */
    private long decidingCallNumber;

    /** Earliest time of the next direct call while the store is read through a peer. */
    private long nextProbeAt;
    /** Time of the last valid response of the store to a direct call. */
    private long servedAt;
    /** Result of the last direct call that failed. */
    private DurableStore.Status lastDirectFailure;

    private long newestRevision;
    /** How often the store came back from an earlier copy; revisions are compared only while it stays the same. */
    private long restoredCount;

    private long relayedResponses;

    /** A peer that may be called. Immutable. */
    private record Candidate(InstanceId id, String address, boolean sameDomain) {}

    /** A call that can be sent to the store and to peers. */
    private interface Read {
        /** Sends the call with its remaining wait and timeout. */
        void start(StoreReader reader, long elapsedMillis, Consumer<DurableStore.Result> whenDone);
    }

    /**
     * Creates a reader in the direct state.
     *
     * @param storeThroughPeer creates a client of the store whose calls go to the peer with the given host
     *     and port
     * @param unusedPeerListener receives the address of a peer that is no longer used
     */
    FailoverReader(
            GatewayContext context,
            Function<String, ? extends StoreReader> storeThroughPeer,
            Consumer<String> unusedPeerListener) {
        this.store = context.store();
        this.storeThroughPeer = storeThroughPeer;
        this.unusedPeerListener = unusedPeerListener;
        this.self = context.settings().instance();
        this.loop = context.loop();
        this.clock = context.clock();
        this.log = context.log();
        this.servedAt = clock.millis();
    }

    /** Returns whether the reader is in the direct state. */
    boolean direct() {
        return direct;
    }

    /** Returns the number of responses received through peers. */
    long relayedResponses() {
        return relayedResponses;
    }

    /**
     * Sets the live instances. The peer in use stays in use until it fails, because a missing listing does
     * not prove that the peer is gone.
     */
    void setLivePeers(Map<InstanceId, PeerExchange.Peer> instances) {
        livePeers = instances;
        candidates = null;
    }

    /** Records that the store served another call of this instance. */
    void recordOtherCallServed() {
        nextProbeAt = clock.millis();
    }

    /** Forgets the newest revision, because the store came back from an earlier copy. */
    void storeRestored() {
        restoredCount++;
        newestRevision = 0;
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

    /** One call, sent to the store and to peers. Completes exactly once. */
    private final class Call {
        private final String name;
        private final boolean longPoll;
        private final Read read;
        private final Consumer<DurableStore.Result> whenDone;
        private final long startedAt = clock.millis();
        private final long minRevision = newestRevision;
        private final long startedInRestoredCount = restoredCount;
        private final Set<Candidate> calledPeers = new HashSet<>();
        private boolean directPending;
        private int peersPending;
        private boolean completed;
        private DurableStore.Status directFailure;

        /**
         * Creates a call.
         *
         * @param longPoll whether the store responds only when there are changes or the wait ends
         */
        Call(String name, boolean longPoll, Read read, Consumer<DurableStore.Result> whenDone) {
            this.name = name;
            this.longPoll = longPoll;
            this.read = read;
            this.whenDone = whenDone;
        }

        void start() {
            if (direct) {
                callStore();
            } else if (relayPeer == null) {
                callStore();
                loop.schedule(() -> callNextPeerIfCountIs(0), HEDGE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            } else {
                callPeer(relayPeer);
                if (!completed && clock.millis() >= nextProbeAt) {
                    callStore();
                }
            }
        }

        private void callStore() {
            directPending = true;
            nextProbeAt = clock.millis() + PROBE_INTERVAL_MILLIS;
            long number = ++lastDirectCallNumber;
            read.start(store, elapsedMillis(), result -> {
                directPending = false;
                if (isValid(result)) {
                    recordServed(number);
                    complete(result);
                } else {
                    directFailure = result.status();
                    recordDirectFailure(number, result.status());
                    continueAfterFailure(result.status(), peersPending == 0 && elapsedMillis() < PROMPT_FAILURE_MILLIS);
                }
            });
        }

        /** Calls the next peer if the number of peers called is still the given one. */
        private void callNextPeerIfCountIs(int expectedPeers) {
            if (!completed && calledPeers.size() == expectedPeers) {
                callNextPeer();
            }
        }

        /** Calls the next peer; returns whether there is one and the limits allow it. */
        private boolean callNextPeer() {
            List<Candidate> peers = candidates();
            if (calledPeers.size() >= MAX_PEERS_PER_CALL || elapsedMillis() >= ChangeTimeBudget.PAGE_READ_MILLIS) {
                return false;
            }
            for (int i = 0; i < peers.size(); i++) {
                Candidate peer = peers.get((nextPeer + i) % peers.size());
                if (!calledPeers.contains(peer)) {
                    callPeer(peer);
                    return true;
                }
            }
            return false;
        }

        private void callPeer(Candidate peer) {
            calledPeers.add(peer);
            peersPending++;
            long sentAt = clock.millis();
            if (!longPoll) {
                int expectedPeers = calledPeers.size();
                loop.schedule(
                        () -> callNextPeerIfCountIs(expectedPeers), NEXT_PEER_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            }
            read.start(storeThroughPeer.apply(peer.address), elapsedMillis(), result -> {
                peersPending--;
                if (isValid(result) && isNotOlder(result)) {
                    relayedResponses++;
                    recordPeerResponse(peer, name);
                    complete(result);
                } else {
                    recordPeerFailure(peer);
                    continueAfterFailure(
                            result.status(), clock.millis() - (longPoll ? startedAt : sentAt) < PROMPT_FAILURE_MILLIS);
                }
            });
        }

        private long elapsedMillis() {
            return clock.millis() - startedAt;
        }

        /** Calls another peer after a prompt failure, or completes the call if nothing is pending. */
        private void continueAfterFailure(DurableStore.Status status, boolean prompt) {
            if (completed || prompt && !direct && callNextPeer() || directPending || peersPending > 0) {
                return;
            }
            DurableStore.Status reported = directFailure == null ? status : directFailure;
            complete(DurableStore.Result.of(
                    reported == DurableStore.Status.REFUSED ? reported : DurableStore.Status.UNKNOWN));
        }

        private boolean isValid(DurableStore.Result result) {
            return result.status() == DurableStore.Status.DONE || result.status() == DurableStore.Status.HISTORY_GONE;
        }

        private boolean isNotOlder(DurableStore.Result result) {
            return result.status() != DurableStore.Status.DONE
                    || startedInRestoredCount != restoredCount
                    || result.revision() >= minRevision;
        }

        private void complete(DurableStore.Result result) {
            if (!completed) {
                completed = true;
                newestRevision = Math.max(newestRevision, result.revision());
                whenDone.accept(result);
            }
        }
    }

    /** Returns to the direct state, unless a later direct call decided the state. */
    private void recordServed(long number) {
        if (number < decidingCallNumber) {
            return;
        }
        decidingCallNumber = number;
        if (!direct) {
            direct = true;
            if (relayPeer != null) {
                log.info(
                        "store-reads-direct",
                        "peer",
                        relayPeer.id,
                        "afterMillis",
                        clock.millis() - servedAt,
                        "relayed",
                        relayedResponses);
                stopUsingRelayPeer();
            }
        }
        servedAt = clock.millis();
    }

    /** Leaves the direct state, unless a later direct call decided the state. */
    private void recordDirectFailure(long number, DurableStore.Status status) {
        if (number >= decidingCallNumber) {
            decidingCallNumber = number;
            direct = false;
            lastDirectFailure = status;
        }
    }

    /** Records a valid response of a peer; the store is read through this peer from now on. */
    private void recordPeerResponse(Candidate peer, String call) {
        if (direct || peer.equals(relayPeer)) {
            return;
        }
        stopUsingRelayPeer();
        nextPeer = Math.max(0, candidates().indexOf(peer));
        relayPeer = peer;
        log.warn(
                "store-reads-relayed",
                "peer",
                peer.id,
                "near",
                peer.sameDomain,
                "call",
                call,
                "status",
                lastDirectFailure,
                "unservedMillis",
                clock.millis() - servedAt);
    }

    /** Records a failure of a peer; the next call starts with the peer after it. */
    private void recordPeerFailure(Candidate peer) {
        List<Candidate> peers = candidates();
        if (!peers.isEmpty() && peer.equals(peers.get(nextPeer % peers.size()))) {
            nextPeer = (nextPeer + 1) % peers.size();
        }
        if (peer.equals(relayPeer)) {
            stopUsingRelayPeer();
        }
    }

    private void stopUsingRelayPeer() {
        if (relayPeer != null) {
            unusedPeerListener.accept(relayPeer.address);
            relayPeer = null;
        }
    }

    private List<Candidate> candidates() {
        if (candidates == null) {
            List<Candidate> sameDomain = new ArrayList<>();
            List<Candidate> otherDomains = new ArrayList<>();
            livePeers.forEach((id, peer) -> {
                String address =
                        peer.address().getHostString() + ":" + peer.address().getPort();
                if (!id.equals(self)) {
                    (peer.sameDomain() ? sameDomain : otherDomains).add(new Candidate(id, address, peer.sameDomain()));
                }
            });
            Comparator<Candidate> order = Comparator.comparingLong(peer -> rendezvousHash(peer.id));
            sameDomain.sort(order);
            otherDomains.sort(order);
            candidates = new ArrayList<>();
            for (int i = 0; i < Math.max(sameDomain.size(), otherDomains.size()); i++) {
                if (i < sameDomain.size()) {
                    candidates.add(sameDomain.get(i));
                }
                if (i < otherDomains.size()) {
                    candidates.add(otherDomains.get(i));
                }
            }
        }
        return candidates;
    }

    private long rendezvousHash(InstanceId peer) {
        long hash = ((long) self.hashCode() << Integer.SIZE) ^ peer.hashCode();
        hash ^= hash >>> 33;
        hash *= 0xff51afd7ed558ccdL;
        hash ^= hash >>> 33;
        hash *= 0xc4ceb9fe1a85ec53L;
        return hash ^ hash >>> 33;
    }
}
