package org.jackdawslip.internal.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.protocol.InstanceAddress;

/**
 * The addresses of other instances and the latest summaries of the other failure domains.
 *
 * <p>Not thread-safe; confined to the decision thread.
 */
final class PeerDirectory {

    /** Age limit of a summary: four summary intervals of 500 ms. */
    static final long SUMMARY_EXPIRY_MILLIS = 2000;
    /** An instance that is unreachable or silent is not chosen again for this time. */
    private static final long AVOID_MILLIS = 500;
    /** An instance that is in no list is removed after this time without a message from it. */
    private static final long UNLISTED_EXPIRY_MILLIS = 30_000;

    /** A duplicate instance id is reported for this time after the last change between the two start ids. */
    private static final long DUPLICATE_REPORT_MILLIS = 10_000;

    private final InstanceId self;
    private final Map<InstanceId, ObservedStartIds> startIds = new HashMap<>();
    private final Map<InstanceId, Peer> peers = new TreeMap<>();
    private final Map<FailureDomainId, DomainView> domains = new TreeMap<>();
    private final Map<InstanceId, Long> avoidedUntilMillis = new HashMap<>();

    PeerDirectory(InstanceId self) {
        this.self = self;
    }

    /** Adds an instance from the settings or from the instance list of the platform. */
    void addListed(InstanceId id, FailureDomainId domain, InetSocketAddress address) {
        if (!id.equals(self)) {
            Peer previous = peers.get(id);
            long lastMessageMillis = previous == null ? Long.MIN_VALUE : previous.lastMessageAtMillis;
            // An address from a message is newer than that of the list, which lags.
            peers.put(
                    id,
                    new Peer(
                            domain,
                            previous != null && lastMessageMillis > 0 ? previous.address : address,
                            true,
                            lastMessageMillis));
        }
    }

    /** Adds or updates an instance from a message. Returns whether the instance or its address is new. */
    boolean addFromMessage(InstanceAddress message, long now) {
        InstanceId id = new InstanceId(message.getInstance());
        if (id.equals(self)) {
            return false;
        }
        InetSocketAddress address = new InetSocketAddress(message.getHost(), message.getPeerPort());
        Peer previous = peers.get(id);
        boolean listed = previous != null && previous.listed;
        peers.put(id, new Peer(new FailureDomainId(message.getFailureDomain()), address, listed, now));
        avoidedUntilMillis.remove(id);
        return previous == null || !previous.address.equals(address);
    }

    /**
     * Records the start id of a heartbeat. Returns true when it shows for the first time that two processes
     * use the same instance id. A restart changes the start id once, whereas with two processes the start id
     * repeatedly returns to the previous one.
     */
    boolean detectDuplicate(InstanceAddress message, long now) {
        InstanceId id = new InstanceId(message.getInstance());
        long startId = message.getStartId();
        ObservedStartIds observed = startIds.get(id);
        if (observed == null) {
            startIds.put(id, new ObservedStartIds(startId, startId, 0, 0));
            return false;
        }
        if (startId == observed.current) {
            return false;
        }
        boolean recent = now < observed.countedUntilMillis;
        int reappearances = (recent ? observed.reappearances : 0) + (startId == observed.previous ? 1 : 0);
        startIds.put(id, new ObservedStartIds(startId, observed.current, reappearances, now + DUPLICATE_REPORT_MILLIS));
        return reappearances == 2 && (!recent || observed.reappearances < 2);
    }

    /** Returns the instance ids that two processes used within the last 10 s. */
    Set<InstanceId> duplicateInstances(long now) {
        return startIds.entrySet().stream()
                .filter(entry -> entry.getValue().reappearances >= 2 && now < entry.getValue().countedUntilMillis)
                .map(Map.Entry::getKey)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    void removeSilent(long now) {
        peers.values().removeIf(peer -> !peer.listed && now - peer.lastMessageAtMillis > UNLISTED_EXPIRY_MILLIS);
    }

    Optional<InetSocketAddress> address(InstanceId id) {
        return Optional.ofNullable(peers.get(id)).map(Peer::address);
    }

    Set<InstanceId> instancesOf(FailureDomainId domain) {
        return peers.entrySet().stream()
                .filter(entry -> entry.getValue().domain.equals(domain))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    Set<FailureDomainId> domains() {
        return peers.values().stream().map(Peer::domain).collect(Collectors.toSet());
    }

    void avoid(InstanceId id, long now) {
        avoidedUntilMillis.put(id, now + AVOID_MILLIS);
    }

    boolean isAvoided(InstanceId id, long now) {
        return avoidedUntilMillis.getOrDefault(id, Long.MIN_VALUE) > now;
    }

    /**
     * Records the summary of another failure domain. A forwarded summary does not replace a recent direct
     * one.
     */
    void recordDomainView(FailureDomainId domain, DomainView view) {
        DomainView previous = domains.get(domain);
        boolean recentDirectView =
                previous != null && previous.direct && view.atMillis - previous.atMillis <= SUMMARY_EXPIRY_MILLIS;
        if (view.direct || !recentDirectView) {
            domains.put(domain, view);
        }
    }

    /** Returns the summaries that are at most {@link #SUMMARY_EXPIRY_MILLIS} old. */
    Map<FailureDomainId, DomainView> recentDomainViews(long now) {
        Map<FailureDomainId, DomainView> recentViews = new TreeMap<>(domains);
        recentViews.values().removeIf(view -> now - view.atMillis > SUMMARY_EXPIRY_MILLIS);
        return recentViews;
    }

    /**
     * Returns whether the recent summary of an instance's failure domain does not list the instance as live.
     */
    boolean isMissingFromSummary(InstanceId id, long now) {
        Peer peer = peers.get(id);
        DomainView view = peer == null ? null : recentDomainViews(now).get(peer.domain);
        return view != null && !view.instances.contains(id);
    }

    /** Returns the instances of another failure domain to which requests can be relayed. */
    List<InstanceId> entryInstances(FailureDomainId domain, long now) {
        DomainView view = recentDomainViews(now).get(domain);
        if (view == null) {
            return List.of();
        }
        List<InstanceId> usable = new ArrayList<>(view.instances);
        usable.removeIf(id -> isAvoided(id, now) || !peers.containsKey(id));
        return usable;
    }

    /**
     * The summary of another failure domain.
     *
     * @param instances the live instances of the failure domain
     * @param bundleVersion the version of the bundle in force there
     * @param homesVersion the sum of the versions of the homes records of all services there
     * @param atMillis the monotonic time in milliseconds at which the summary arrived
     * @param direct whether an instance of that failure domain sent the summary, rather than a member of this
     *     one
     */
    record DomainView(
            List<InstanceId> instances, long bundleVersion, long homesVersion, long atMillis, boolean direct) {}

    /**
     * The start ids in the heartbeats of one instance id.
     *
     * @param reappearances how often the start id returned to the previous one until the time limit
     */
    private record ObservedStartIds(long current, long previous, int reappearances, long countedUntilMillis) {}

    private record Peer(FailureDomainId domain, InetSocketAddress address, boolean listed, long lastMessageAtMillis) {}
}
