package org.jackdawslip.internal.keyspace;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.FencingToken;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.Backend;

/**
 * Fake backend servers and store for a {@link KeyCoordinator}, in simulated time. Checks after each step that
 * no key slot has two owners among the running servers, and on each grant that tokens increase. Not
 * thread-safe.
 */
final class FakeOwners implements KeyCoordinatorActions {

    static final KeyTiming TIMING = new KeyTiming(7_000, 1_500, 1_700, 300);

    /** One server with its holds by their first slot. */
    private static final class Server {
        final Backend backend;
        final Map<Integer, Hold> holds = new TreeMap<>();
        final long[] acceptedToken = new long[KeySegment.SLOTS];
        boolean reachable = true;
        boolean running = true;

        Server(Backend backend) {
            this.backend = backend;
        }
    }

    private record Hold(KeySegment segment, long expiresAt) {}

    /** A grant call in the send queue. */
    private record QueuedGrant(Backend backend, KeySegment segment, String handover, long sendAt) {}

    private final List<QueuedGrant> queuedGrants = new ArrayList<>();
    /** Time for which grant calls are queued before they are sent. */
    long queueDelayMillis;

    /** A grant call without a response that takes effect later. */
    private record LateGrant(Server server, KeySegment segment, long applyAt, long expiresAt) {}

    private final List<LateGrant> lateGrants = new ArrayList<>();
    /** Delay after which grants take effect without a response; 0 for an immediate effect and response. */
    long grantDelayMillis;

    private final Map<BackendServerId, Server> servers = new LinkedHashMap<>();
    private final Map<BackendServerId, Backend> listed = new HashMap<>();
    /** Start of the server of another service that is listed at an address. */
    private final Map<String, Long> otherServices = new HashMap<>();

    private final long[] highestToken = new long[KeySegment.SLOTS];
    private final BackendServerId[] highestTokenHolder = new BackendServerId[KeySegment.SLOTS];
    private final List<Runnable> pendingResults = new ArrayList<>();
    final KeyLoads loads = new KeyLoads();
    KeyTable durable = KeyTable.empty();
    KeyCoordinator coordinator;
    long now = 1_000;
    /** Servers that want no calls. */
    final Set<BackendServerId> pausing = new HashSet<>();

    int callsToPausingServers;
    /** Why segments lost their owners. */
    final Set<HoldEnd> holdEnds = EnumSet.noneOf(HoldEnd.class);
    /** Servers that are listed and may not own keys. */
    final Set<BackendServerId> unsuitable = new HashSet<>();

    int saveCount;
    int releaseCount;
    int handoverCount;
    int announcedGrantCount;
    boolean storeLosesResponses;

    Backend add(String name) {
        return add(name, 1, "10.0.0." + servers.size() + ":80");
    }

    Backend add(String name, long startedAt, String address) {
        Backend backend = backend(name, startedAt, address);
        servers.put(backend.id(), new Server(backend));
        listed.put(backend.id(), backend);
        return backend;
    }

    /** Ends a server and starts it again under its id and address; its listing stays that of the earlier incarnation. */
    void restartUnlisted(String name, long startedAt) {
        crash(name);
        Backend earlier = servers.get(new BackendServerId(name)).backend;
        servers.put(earlier.id(), new Server(backend(name, startedAt, earlier.address())));
    }

    /** Lists a server with its present incarnation. */
    void list(String name) {
        Backend backend = servers.get(new BackendServerId(name)).backend;
        listed.put(backend.id(), backend);
    }

    /** Replaces the listing of a server by an older one; the server itself stays. */
    void relistAs(String name, long startedAt, String address) {
        Backend older = backend(name, startedAt, address);
        listed.put(older.id(), older);
    }

    private static Backend backend(String name, long startedAt, String address) {
        int colon = address.indexOf(':');
        return new Backend(
                new BackendServerId(name),
                startedAt,
                new ServiceName("sheets"),
                address.substring(0, colon),
                Integer.parseInt(address.substring(colon + 1)),
                new FailureDomainId("a"),
                3,
                false,
                0);
    }

    void takeOver() {
        pendingResults.clear();
        queuedGrants.clear();
        coordinator = new KeyCoordinator(TIMING, this, durable, now);
    }

    void takeOverAfterAllGrantsEnded() {
        pendingResults.clear();
        queuedGrants.clear();
        coordinator = KeyCoordinator.afterAllGrantsEnded(TIMING, this, durable, now);
    }

    /** Ends a server and lists one of another service at its address. */
    void replaceByOtherService(String name, long startedAt) {
        crash(name);
        otherServices.put(servers.get(new BackendServerId(name)).backend.address(), startedAt);
    }

    private boolean isAddressTaken(Backend backend) {
        return otherServices.getOrDefault(backend.address(), 0L) > backend.startedAtMillis()
                || listed.values().stream()
                        .anyMatch(other -> other.address().equals(backend.address())
                                && !other.id().equals(backend.id())
                                && other.startedAtMillis() > backend.startedAtMillis());
    }

    void unlist(String name) {
        listed.remove(new BackendServerId(name));
    }

    void setReachable(String name, boolean reachable) {
        servers.get(new BackendServerId(name)).reachable = reachable;
    }

    void crash(String name) {
        servers.get(new BackendServerId(name)).running = false;
    }

    /** Runs the key coordinator for the given time in steps of 50 ms. */
    void run(long millis) {
        for (long end = now + millis; now < end; now += 50) {
            Map<BackendServerId, Double> capacities = new TreeMap<>();
            listed.values().stream()
                    .filter(backend -> !isAddressTaken(backend) && !pausing.contains(backend.id()))
                    .filter(backend -> !unsuitable.contains(backend.id()))
                    .forEach(backend -> capacities.put(backend.id(), 1.0));
            coordinator.tick(new KnownServers(listed, capacities, this::isAddressTaken, pausing::contains), loads, now);
            List<Runnable> due = List.copyOf(pendingResults);
            pendingResults.clear();
            due.forEach(Runnable::run);
            sendQueuedGrants();
            applyLateGrants();
            checkSingleOwners();
        }
    }

    /** Returns the number of key slots that are held by running servers. */
    int heldSlots() {
        int held = 0;
        for (Server server : servers.values()) {
            held += held(server).stream().mapToInt(KeySegment::size).sum();
        }
        return held;
    }

    int heldSlots(String name) {
        return held(servers.get(new BackendServerId(name))).stream()
                .mapToInt(KeySegment::size)
                .sum();
    }

    private List<KeySegment> held(Server server) {
        return server.running
                ? server.holds.values().stream()
                        .filter(hold -> hold.expiresAt() > now)
                        .map(Hold::segment)
                        .toList()
                : List.of();
    }

    private void checkSingleOwners() {
        TreeMap<Integer, KeySegment> all = new TreeMap<>();
        for (Server server : servers.values()) {
            for (KeySegment segment : held(server)) {
                Map.Entry<Integer, KeySegment> preceding = all.floorEntry(segment.last());
                if (preceding != null && preceding.getValue().last() >= segment.first()) {
                    throw new AssertionError(segment + " overlaps " + preceding.getValue());
                }
                all.put(segment.first(), segment);
            }
        }
    }

    private void countCall(Backend backend) {
        if (pausing.contains(backend.id())) {
            callsToPausingServers++;
        }
    }

    @Override
    public void grant(Backend backend, KeySegment segment, String handover, boolean fencing) {
        countCall(backend);
        if (queueDelayMillis > 0) {
            queuedGrants.add(new QueuedGrant(backend, segment, handover, now + queueDelayMillis));
        } else {
            send(backend, segment, handover);
        }
    }

    private void sendQueuedGrants() {
        for (QueuedGrant grant : List.copyOf(queuedGrants)) {
            if (now >= grant.sendAt()) {
                queuedGrants.remove(grant);
                send(grant.backend(), grant.segment(), grant.handover());
            }
        }
    }

    private void send(Backend backend, KeySegment segment, String handover) {
        if (!coordinator.confirmGrantSend(segment, now)) {
            pendingResults.add(() -> coordinator.onGrantResult(segment, GrantResult.NOT_SENT, now));
            return;
        }
        Server server = servers.get(backend.id());
        if (!isDelivered(server, backend)) {
            pendingResults.add(() -> coordinator.onGrantResult(segment, GrantResult.UNKNOWN, now));
            return;
        }
        long expiresAt = now + TIMING.holdMillis() * 102 / 100;
        if (grantDelayMillis > 0) {
            long applyAt = now + grantDelayMillis;
            lateGrants.add(new LateGrant(server, segment, applyAt, expiresAt));
            pendingResults.add(() -> coordinator.onGrantResult(segment, GrantResult.UNKNOWN, now));
            return;
        }
        if (handover != null) {
            handoverCount++;
        }
        GrantResult result = apply(server, segment, expiresAt) ? GrantResult.ACCEPTED : GrantResult.STALE_TOKEN;
        pendingResults.add(() -> coordinator.onGrantResult(segment, result, now));
    }

    /** Applies the late grants that are due; their terms start on their arrival. */
    private void applyLateGrants() {
        for (LateGrant grant : List.copyOf(lateGrants)) {
            if (now >= grant.applyAt()) {
                lateGrants.remove(grant);
                if (grant.server().running && now < grant.expiresAt()) {
                    apply(grant.server(), grant.segment(), grant.expiresAt());
                }
            }
        }
    }

    /** Applies a grant unless the server has accepted a higher token for one of its slots. */
    private boolean apply(Server server, KeySegment segment, long expiresAt) {
        BackendServerId id = server.backend.id();
        long token = segment.token().value();
        for (int slot = segment.first(); slot <= segment.last(); slot++) {
            if (token < server.acceptedToken[slot]) {
                return false;
            }
        }
        for (int slot = segment.first(); slot <= segment.last(); slot++) {
            boolean renewal = token == highestToken[slot] && id.equals(highestTokenHolder[slot]);
            if (!renewal && token <= highestToken[slot]) {
                throw new AssertionError("slot " + slot + " was granted with token " + token + " after token "
                        + highestToken[slot] + " at " + highestTokenHolder[slot]);
            }
            highestToken[slot] = token;
            highestTokenHolder[slot] = id;
            server.acceptedToken[slot] = token;
        }
        removeSlots(server, segment);
        // The end of the hold includes a server clock that runs 2 % slow.
        server.holds.put(segment.first(), new Hold(segment, expiresAt));
        return true;
    }

    @Override
    public void release(Backend backend, KeySegment segment) {
        releaseCount++;
        countCall(backend);
        Server server = servers.get(backend.id());
        boolean delivered = isDelivered(server, backend);
        if (delivered) {
            removeSlots(server, segment);
        }
        pendingResults.add(() -> coordinator.onReleaseResult(segment, delivered, delivered ? "state" : null, now));
    }

    /** A call reaches any incarnation that has the id and the address of the call. */
    private static boolean isDelivered(Server server, Backend called) {
        return server.running && server.reachable && server.backend.address().equals(called.address());
    }

    private static void removeSlots(Server server, KeySegment segment) {
        Map<Integer, Hold> kept = new TreeMap<>();
        server.holds.forEach((first, hold) -> addRemaining(kept, hold, segment));
        server.holds.clear();
        server.holds.putAll(kept);
    }

    private static void addRemaining(Map<Integer, Hold> kept, Hold hold, KeySegment released) {
        KeySegment segment = hold.segment();
        if (segment.last() < released.first() || segment.first() > released.last()) {
            kept.put(segment.first(), hold);
            return;
        }
        if (segment.first() < released.first()) {
            kept.put(
                    segment.first(),
                    new Hold(segment.subsegment(segment.first(), released.first() - 1), hold.expiresAt()));
        }
        if (segment.last() > released.last()) {
            kept.put(
                    released.last() + 1,
                    new Hold(segment.subsegment(released.last() + 1, segment.last()), hold.expiresAt()));
        }
    }

    @Override
    public void announce(KeySegment segment, boolean granted) {
        if (granted) {
            announcedGrantCount++;
        }
    }

    @Override
    public void holdEnded(KeySegment segment, HoldEnd end) {
        holdEnds.add(end);
    }

    @Override
    public void save(KeyTable table) {
        saveCount++;
        durable = table;
        if (!storeLosesResponses) {
            pendingResults.add(() -> coordinator.onTableSaved(now));
        }
    }

    FencingToken nextToken() {
        return durable.nextToken();
    }
}
