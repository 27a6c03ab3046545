package org.jackdawslip.internal.balance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.membership.MemberStanding;

/**
 * A whole fleet of instances on simulated time, with a store that lists instances and backend servers. Requests wait at
 * every instance all the time, so an instance sends to a cold server and uses its retry budget whenever it may. Counts
 * what arrives at each server while it is cold, and the extra sends of all instances. Not thread-safe.
 */
final class SimulatedFleet {

    /** Extra sends in each window for all instances together. */
    static final int RETRY_ALLOWANCE = 172;

    private static final long RETRY_WINDOW_MILLIS = 10_000;
    private static final long RETRY_INTERVAL_MILLIS = 100;
    private static final long STEP_MILLIS = 5;
    private static final long WINDOW_MILLIS = 1_000;
    private static final long RENEW_MILLIS = 2_500;
    private static final long TERM_MILLIS = 8_000;
    private static final int SHORTEST_GATHER_MILLIS = 400;
    private static final int GATHER_SPREAD_MILLIS = 500;
    private static final int LONGEST_TRANSIT_MILLIS = 3;
    private static final ServiceName SERVICE = new ServiceName("pool");

    final Random random;
    final double rate;
    final List<Node> nodes = new ArrayList<>();
    final List<Server> servers = new ArrayList<>();
    /** Listings of instances with the end of their leases. */
    private final Map<InstanceId, Long> members = new HashMap<>();

    private final PriorityQueue<Arrival> underWay = new PriorityQueue<>(Comparator.comparingLong(Arrival::at));
    private final ArrayDeque<Long> retries = new ArrayDeque<>();
    private int mostRetries;
    private boolean takesWrites = true;
    long now;

    private record Arrival(long at, Server server) {}

    SimulatedFleet(int instances, double rate, long seed) {
        this.rate = rate;
        this.random = new Random(seed);
        for (int i = 0; i < instances; i++) {
            nodes.add(new Node(new InstanceId("front-" + i)));
        }
    }

    /** A backend server: when it is cold, what the store says of it, and what it got. */
    final class Server {
        final Backend backend;
        final long coldUntil;
        private final ArrayDeque<Long> window = new ArrayDeque<>();
        int worst;
        int arrivals;

        Server(int number, long coldMillis) {
            coldUntil = now + coldMillis;
            backend = new Backend(
                    new BackendServerId("s-" + number),
                    now,
                    SERVICE,
                    "10.0.0.1",
                    80,
                    new FailureDomainId("a"),
                    3,
                    false,
                    coldMillis);
        }

        private void arrive() {
            if (now >= coldUntil) {
                return;
            }
            arrivals++;
            window.addLast(now);
            while (window.peekFirst() <= now - WINDOW_MILLIS) {
                window.removeFirst();
            }
            worst = Math.max(worst, window.size());
        }
    }

    /** One instance. */
    final class Node {
        final InstanceId id;
        private final Map<Server, BackendTracker> trackers = new HashMap<>();
        private MemberStanding standing;
        private WarmupGate gate;
        private RetryBudget budget;
        private int live = 1;
        private boolean listed;
        private boolean up;
        private boolean cutFromStore;
        private long readAt;
        private long renewAt;

        Node(InstanceId id) {
            this.id = id;
            start();
        }

        /** Starts a process that knows nothing, reads the store and lists itself. */
        void start() {
            up = true;
            standing = new MemberStanding(() -> now, () -> now);
            gate = new WarmupGate(id, standing::established);
            budget = new RetryBudget(0, RETRY_ALLOWANCE, RETRY_WINDOW_MILLIS);
            live = 1;
            listed = false;
            trackers.clear();
            readAt = now + random.nextInt(SHORTEST_GATHER_MILLIS);
            renewAt = readAt;
        }

        /** Ends without a word: the listing stays until its lease runs out. */
        void kill() {
            up = false;
        }

        /** Ends as planned: the listing goes at once. */
        void stop() {
            up = false;
            members.remove(id);
        }

        void cutFromStore(boolean cut) {
            cutFromStore = cut;
        }

        private void step() {
            if (!up) {
                return;
            }
            if (!cutFromStore && takesWrites && now >= renewAt) {
                list();
                renewAt = now + RENEW_MILLIS;
            }
            if (!cutFromStore && now >= readAt) {
                read();
                readAt = now + SHORTEST_GATHER_MILLIS + random.nextInt(GATHER_SPREAD_MILLIS);
            }
            trackers.forEach(this::sendIfAdmitted);
            if (now % RETRY_INTERVAL_MILLIS == 0) {
                while (budget.tryRetry(now, standing.share(live))) {
                    retries.addLast(now);
                }
            }
        }

        private void list() {
            boolean kept = listed && members.containsKey(id);
            members.put(id, now + TERM_MILLIS);
            if (kept) {
                standing.renewed(now, TERM_MILLIS);
            } else {
                standing.listed(now, TERM_MILLIS);
                listed = true;
            }
        }

        private void read() {
            standing.viewed(now);
            if (listed && !members.containsKey(id)) {
                standing.unlisted();
                listed = false;
                renewAt = now;
            }
            Set<InstanceId> view = new HashSet<>(members.keySet());
            view.add(id);
            gate.instances(view);
            live = view.size();
            for (Server server : servers) {
                trackers.computeIfAbsent(server, added -> new BackendTracker(added.backend, now));
            }
        }

        private void sendIfAdmitted(Server server, BackendTracker tracker) {
            if (tracker.cold(now) && gate.beforeSend(tracker, rate, now) == SendStep.SEND) {
                underWay.add(new Arrival(now + random.nextInt(LONGEST_TRANSIT_MILLIS), server));
            }
        }
    }

    /** Starts a backend server that is cold; the instances learn of it at their next look at the store. */
    Server startServer(long coldMillis) {
        Server server = new Server(servers.size(), coldMillis);
        servers.add(server);
        return server;
    }

    /** While it takes no writes the store answers reads, so instances that start are not listed. */
    void takesWrites(boolean takes) {
        takesWrites = takes;
    }

    /** The store drops the listing of one instance, though its lease still seems to be valid. */
    void lapseListing(Node node) {
        members.remove(node.id);
    }

    /** The store drops all listings of instances, though their leases still seem to be valid. */
    void lapseListings() {
        members.clear();
    }

    /** Runs for a time. */
    void run(long millis) {
        for (long end = now + millis; now < end; now += STEP_MILLIS) {
            members.values().removeIf(until -> until <= now);
            nodes.forEach(Node::step);
            while (!retries.isEmpty() && retries.peekFirst() <= now - RETRY_WINDOW_MILLIS) {
                retries.removeFirst();
            }
            mostRetries = Math.max(mostRetries, retries.size());
            while (!underWay.isEmpty() && underWay.peek().at() <= now) {
                underWay.poll().server().arrive();
            }
        }
    }

    /** Returns the most extra sends of all instances in any window. */
    int mostRetries() {
        return mostRetries;
    }

    /** Returns the most requests that any server got within a second while it was cold. */
    int worst() {
        return servers.stream().mapToInt(server -> server.worst).max().orElse(0);
    }
}
