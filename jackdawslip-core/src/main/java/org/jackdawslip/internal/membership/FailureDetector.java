package org.jackdawslip.internal.membership;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.jackdawslip.InstanceId;

/**
 * Detects silent peers by the time since their last message. Times are monotonic milliseconds.
 *
 * <p>Not thread-safe; the caller serializes calls.
 */
public final class FailureDetector {

    private final long silenceTimeoutMillis;
    private final Map<InstanceId, Long> lastMessageMillis = new HashMap<>();
    private Set<InstanceId> peers = Set.of();

    /** Creates a detector that considers a peer silent after the given time without a message. */
    public FailureDetector(long silenceTimeoutMillis) {
        this.silenceTimeoutMillis = silenceTimeoutMillis;
    }

    /**
     * Sets the peers. The time without a message of a new peer starts now, so that it is not silent at once.
     */
    public void peers(long now, Set<InstanceId> current) {
        peers = new TreeSet<>(current);
        lastMessageMillis.keySet().retainAll(peers);
        peers.forEach(peer -> lastMessageMillis.putIfAbsent(peer, now));
    }

    /**
     * Records a message from a peer. Adds the peer if the list of peers, which may lag behind, does not
     * contain it.
     */
    public void recordMessage(long now, InstanceId peer) {
        if (!peers.contains(peer)) {
            peers = new TreeSet<>(peers);
            peers.add(peer);
        }
        lastMessageMillis.put(peer, now);
    }

    /** Returns the peers, silent ones included, in the order of their ids. */
    public Set<InstanceId> peers() {
        return Collections.unmodifiableSet(peers);
    }

    /**
     * Returns the time since the last message from the peer, or {@link Long#MAX_VALUE} for an unknown peer.
     */
    public long silentMillis(long now, InstanceId peer) {
        Long lastMessage = lastMessageMillis.get(peer);
        return lastMessage == null ? Long.MAX_VALUE : now - lastMessage;
    }

    /** Returns whether the last message from the peer is recent enough for it not to be silent. */
    public boolean isAlive(long now, InstanceId peer) {
        return silentMillis(now, peer) < silenceTimeoutMillis;
    }
}
