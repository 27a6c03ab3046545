package org.jackdawslip.internal.keyspace;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.FencingToken;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.Backend;

/**
 * Backend servers and a store for a custodian, with a clock that the test moves. Checks after each step that no key slot
 * has two owners at the servers that are up, and that tokens rise. Not thread-safe.
 */
final class FakeOwners implements KeyOrders {

    static final KeyTiming TIMING = new KeyTiming(7_000, 1_500, 1_700, 300);

    /** What one server holds: first slot of a grant to the grant. */
    private static final class Server {
        final Backend backend;
        final Map<Integer, Hold> holds = new TreeMap<>();
        final long[] seenToken = new long[KeySegment.SLOTS];
        boolean reachable = true;
        boolean up = true;

        Server(Backend backend) {
            this.backend = backend;
        }
    }

    private record Hold(KeySegment segment, long until) {}

    /** A grant that waits until the server can be called. */
    private record Queued(Backend backend, KeySegment segment, String handover, long sendAt) {}

    private final List<Queued> queued = new ArrayList<>();
    /** Time for which grants wait before they are sent. */
    long queueMillis;

    /** A grant that was left unanswered. */
    private record Late(Server server, KeySegment segment, long applyAt, long until) {}

    private final List<Late> late = new ArrayList<>();
    /** Time after which grants are carried out without an answer; 0 carries them out and answers at once. */
    long lateMillis;

    private final Map<BackendServerId, Server> servers = new LinkedHashMap<>();
    private final Map<BackendServerId, Backend> listed = new HashMap<>();
    private final long[] highestToken = new long[KeySegment.SLOTS];
    private final BackendServerId[] highestHolder = new BackendServerId[KeySegment.SLOTS];
    private final List<Runnable> answers = new ArrayList<>();
    final KeyLoads loads = new KeyLoads();
    KeyTable durable = KeyTable.empty();
    KeyCustodian custodian;
    long now = 1_000;
    int saves;
    int handovers;
    int announcedGrants;
    boolean storeLosesAnswers;

    Backend add(String name) {
        return add(name, 1, "10.0.0." + servers.size() + ":80");
    }

    Backend add(String name, long startedAt, String address) {
        int colon = address.indexOf(':');
        Backend backend = new Backend(
                new BackendServerId(name),
                startedAt,
                new ServiceName("sheets"),
                address.substring(0, colon),
                Integer.parseInt(address.substring(colon + 1)),
                new FailureDomainId("a"),
                3,
                false,
                0);
        servers.put(backend.id(), new Server(backend));
        listed.put(backend.id(), backend);
        return backend;
    }

    void takeOver() {
        answers.clear();
        queued.clear();
        custodian = new KeyCustodian(TIMING, this, durable, now);
    }

    void unlist(String name) {
        listed.remove(new BackendServerId(name));
    }

    void reachable(String name, boolean reachable) {
        servers.get(new BackendServerId(name)).reachable = reachable;
    }

    void crash(String name) {
        servers.get(new BackendServerId(name)).up = false;
    }

    /** Runs the custodian for a time in steps of 50 ms. */
    void run(long millis) {
        for (long end = now + millis; now < end; now += 50) {
            Map<BackendServerId, Double> capacities = new TreeMap<>();
            listed.keySet().forEach(id -> capacities.put(id, 1.0));
            custodian.tick(listed, capacities, loads, now);
            List<Runnable> due = List.copyOf(answers);
            answers.clear();
            due.forEach(Runnable::run);
            sendQueued();
            applyLate();
            checkSoleOwners();
        }
    }

    /** Returns how many key slots are held at a server that is up. */
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
        return server.up
                ? server.holds.values().stream()
                        .filter(hold -> hold.until() > now)
                        .map(Hold::segment)
                        .toList()
                : List.of();
    }

    private void checkSoleOwners() {
        TreeMap<Integer, KeySegment> all = new TreeMap<>();
        for (Server server : servers.values()) {
            for (KeySegment segment : held(server)) {
                Map.Entry<Integer, KeySegment> before = all.floorEntry(segment.last());
                if (before != null && before.getValue().last() >= segment.first()) {
                    throw new AssertionError(segment + " overlaps " + before.getValue());
                }
                all.put(segment.first(), segment);
            }
        }
    }

    @Override
    public void grant(Backend backend, KeySegment segment, String handover) {
        if (queueMillis > 0) {
            queued.add(new Queued(backend, segment, handover, now + queueMillis));
        } else {
            send(backend, segment, handover);
        }
    }

    private void sendQueued() {
        for (Queued order : List.copyOf(queued)) {
            if (now >= order.sendAt()) {
                queued.remove(order);
                send(order.backend(), order.segment(), order.handover());
            }
        }
    }

    private void send(Backend backend, KeySegment segment, String handover) {
        if (!custodian.sends(segment, now)) {
            answers.add(() -> custodian.granted(segment, GrantResult.NOT_SENT, now));
            return;
        }
        Server server = servers.get(backend.id());
        if (!server.up || !server.reachable) {
            answers.add(() -> custodian.granted(segment, GrantResult.UNKNOWN, now));
            return;
        }
        long until = now + TIMING.holdMillis() * 102 / 100;
        if (lateMillis > 0) {
            long applyAt = now + lateMillis;
            late.add(new Late(server, segment, applyAt, until));
            answers.add(() -> custodian.granted(segment, GrantResult.UNKNOWN, now));
            return;
        }
        if (handover != null) {
            handovers++;
        }
        GrantResult result = apply(server, segment, until) ? GrantResult.ACCEPTED : GrantResult.STALE_TOKEN;
        answers.add(() -> custodian.granted(segment, result, now));
    }

    /** Carries out the orders that were left unanswered; their time counts from their arrival. */
    private void applyLate() {
        for (Late order : List.copyOf(late)) {
            if (now >= order.applyAt()) {
                late.remove(order);
                if (order.server().up && now < order.until()) {
                    apply(order.server(), order.segment(), order.until());
                }
            }
        }
    }

    /** Carries out a grant, unless the server has seen a higher token on one of its slots. */
    private boolean apply(Server server, KeySegment segment, long until) {
        BackendServerId id = server.backend.id();
        long token = segment.token().value();
        for (int slot = segment.first(); slot <= segment.last(); slot++) {
            if (token < server.seenToken[slot]) {
                return false;
            }
        }
        for (int slot = segment.first(); slot <= segment.last(); slot++) {
            boolean renewal = token == highestToken[slot] && id.equals(highestHolder[slot]);
            if (!renewal && token <= highestToken[slot]) {
                throw new AssertionError("slot " + slot + " is granted with token " + token + " after "
                        + highestToken[slot] + " at " + highestHolder[slot]);
            }
            highestToken[slot] = token;
            highestHolder[slot] = id;
            server.seenToken[slot] = token;
        }
        cutAll(server, segment);
        // The clock of the server runs 2 % slow.
        server.holds.put(segment.first(), new Hold(segment, until));
        return true;
    }

    @Override
    public void release(Backend backend, KeySegment segment) {
        Server server = servers.get(backend.id());
        boolean reached = server.up && server.reachable;
        if (reached) {
            cutAll(server, segment);
        }
        answers.add(() -> custodian.released(segment, reached, reached ? "state" : null, now));
    }

    private static void cutAll(Server server, KeySegment segment) {
        Map<Integer, Hold> kept = new TreeMap<>();
        server.holds.forEach((first, hold) -> cut(kept, hold, segment));
        server.holds.clear();
        server.holds.putAll(kept);
    }

    private static void cut(Map<Integer, Hold> kept, Hold hold, KeySegment released) {
        KeySegment segment = hold.segment();
        if (segment.last() < released.first() || segment.first() > released.last()) {
            kept.put(segment.first(), hold);
            return;
        }
        if (segment.first() < released.first()) {
            kept.put(segment.first(), new Hold(segment.part(segment.first(), released.first() - 1), hold.until()));
        }
        if (segment.last() > released.last()) {
            kept.put(released.last() + 1, new Hold(segment.part(released.last() + 1, segment.last()), hold.until()));
        }
    }

    @Override
    public void announce(KeySegment segment, boolean granted) {
        if (granted) {
            announcedGrants++;
        }
    }

    @Override
    public void save(KeyTable table) {
        saves++;
        durable = table;
        if (!storeLosesAnswers) {
            answers.add(() -> custodian.saved(now));
        }
    }

    FencingToken nextToken() {
        return durable.nextToken();
    }
}
