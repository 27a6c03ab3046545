package org.jackdawslip.internal.balance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.membership.MemberStanding;

/**
 * A fleet of instances with callers and the backend servers of one service, on simulated time. Unlike in
 * {@link SimulatedFleet}, a server turns cold at a moment of its own, and an instance learns of it only through the next
 * heartbeat of the server, discovery and its own view of the store.
 *
 * <p>Requests go through the product's own choice, gate and trackers; second sends of slow requests are left out.
 * Invariant: a server alone knows whether it is cold; instances know what was listed and delivered. The same seed gives
 * the same history. Not thread-safe.
 */
final class UnannouncedColdFleet {

    /** Time for which a server stays cold. */
    static final long COLD_MILLIS = 3_000;
    /** Time after which all instances are established. */
    static final long SETTLE_MILLIS = 12_000;

    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final long DISCOVERY_MILLIS = 800;
    private static final int LONGEST_VIEW_MILLIS = 1_200;
    private static final long SLOW_STORE_MILLIS = 250;
    private static final long MEMBER_MILLIS = 500;
    private static final long MEMBER_TERM_MILLIS = 8_000;
    private static final int SHORTEST_TRANSIT_MILLIS = 1;
    private static final int LONGEST_TRANSIT_MILLIS = 3;
    private static final int LONGEST_STALL_MILLIS = 150;
    private static final int STALL_INTERVAL_MILLIS = 1_000;
    private static final int STALLING_SHARE = 4;
    private static final int REFUSED_SHARE = 3;
    private static final long COUNTED_MILLIS = 1_000;
    private static final int SLOTS = 3;
    private static final int QUEUE = 12;
    private static final double[] SPEEDS = {0.5, 1, 1, 1.5};
    private static final double COLD_FACTOR = 2;
    /** Changes are gathered for this long before peers in the own domain are told; longer ones are left out. */
    private static final long SHORTEST_BATCH_MILLIS = 8;

    private static final long LONGEST_BATCH_MILLIS = 100;
    private static final int DATAGRAMS_PER_SECOND = 400;
    private static final long OWNER_POLL_MILLIS = 15;
    private static final long OWNER_WAIT_MILLIS = 600;
    private static final int MAX_CONNECT_FAILURES = 4;
    private static final int MAX_QUESTIONS = 3;
    private static final int MAX_REPEATS = 1;
    private static final long CALLER_PAUSE_MILLIS = 80;
    private static final double RETRY_RATIO = 0.2;
    private static final double RETRY_ALLOWANCE = 172;
    private static final long RETRY_WINDOW_MILLIS = 10_000;

    /** How the store treats the instances while a server turns cold. */
    enum Store {
        ANSWERS,
        SLOW,
        SILENT,
        REFUSES_A_THIRD
    }

    /**
     * One service of a site. Immutable and thread-safe.
     *
     * @param domains failure domains of the site
     * @param servers servers of the service
     * @param requestsPerSecond usual rate of its requests, or of those for its hot key
     * @param keyed whether all requests go to the owner of one key
     * @param workMillis mean time of a request at a server of speed 1
     * @param targetMillis time within which an answer is on time
     * @param timeoutMillis longest wait of a caller
     * @param warmupRequestsPerSecond what a cold server bears
     * @param mostInASecond bound on the requests of any second at a cold server
     */
    record Service(
            int domains,
            int servers,
            double requestsPerSecond,
            boolean keyed,
            double workMillis,
            long targetMillis,
            long timeoutMillis,
            double warmupRequestsPerSecond,
            double mostInASecond) {}

    final List<Node> nodes = new ArrayList<>();
    final List<Server> servers = new ArrayList<>();

    private final Service service;
    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private long eventNumber;
    private Store store = Store.ANSWERS;
    private double requestsPerSecond;
    private long now;
    private int asked;
    private int sent;

    private record Event(long at, long number, Runnable action) {}

    UnannouncedColdFleet(Service service, int instances, long seed) {
        this.service = service;
        this.random = new Random(seed);
        for (int i = 0; i < service.servers(); i++) {
            servers.add(new Server(i));
        }
        for (int i = 0; i < instances; i++) {
            nodes.add(new Node(i));
        }
        Set<InstanceId> all = nodes.stream().map(node -> node.id).collect(Collectors.toSet());
        nodes.forEach(node -> node.start(all));
    }

    /** Lets callers send requests at this rate from now on. */
    void requestsPerSecond(double rate) {
        boolean idle = requestsPerSecond == 0;
        requestsPerSecond = rate;
        if (idle) {
            nextRequest();
        }
    }

    private void nextRequest() {
        double gap = -Math.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond;
        after(Math.round(gap), () -> {
            asked++;
            Node node = nodes.get(random.nextInt(nodes.size()));
            Request request = new Request(now);
            node.handle(() -> node.send(request));
            nextRequest();
        });
    }

    /** Sets how the store treats the instances from now on. */
    void store(Store newest) {
        store = newest;
    }

    /** The store confirms that a failure domain is taken out; each instance learns of it with its view. */
    void takeOut(FailureDomainId domain) {
        nodes.forEach(node -> node.learn(() -> node.takenOut.add(domain)));
    }

    /** The store confirms that a failure domain is back. Its servers are cold from that moment on. */
    void bringBack(FailureDomainId domain) {
        servers.stream().filter(server -> server.domain.equals(domain)).forEach(Server::turnCold);
        nodes.forEach(node -> node.learn(() -> node.takenOut.remove(domain)));
    }

    /** Runs for a time. */
    void run(long millis) {
        long end = now + millis;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
        now = end;
    }

    /** Returns the most requests that any server got within a second while it was cold. */
    int worst() {
        return servers.stream().mapToInt(server -> server.worst).max().orElse(0);
    }

    /** Returns the part of the requests that were sent to a server at least once. */
    double sentShare() {
        return (double) sent / asked;
    }

    private void after(long millis, Runnable action) {
        events.add(new Event(now + millis, eventNumber++, action));
    }

    private long transit() {
        return SHORTEST_TRANSIT_MILLIS + random.nextInt(LONGEST_TRANSIT_MILLIS - SHORTEST_TRANSIT_MILLIS + 1);
    }

    /** One attempt of a caller. */
    private static final class Request {
        final long receivedAt;
        final Set<BackendServerId> tried = new HashSet<>();
        boolean cameBack;
        boolean wasSent;
        long waitingSince = -1;
        int connectFailures;
        int repeats;

        Request(long receivedAt) {
            this.receivedAt = receivedAt;
        }
    }

    /** A request at a server, and what the instance that sent it knows of the server. */
    private record Send(Request request, Node node, BackendTracker tracker, long sentAt, boolean queued) {}

    /** A backend server: whether it is cold, its requests, and what it writes into its listing. */
    final class Server {
        final BackendServerId id;
        final FailureDomainId domain;
        private final double speed;
        private final List<Send> running = new ArrayList<>();
        private final ArrayDeque<Send> waiting = new ArrayDeque<>();
        private final ArrayDeque<Long> arrivals = new ArrayDeque<>();
        private long startedAt;
        private long coldUntil;
        private long downUntil;
        private int worst;

        Server(int number) {
            id = new BackendServerId("s-" + number);
            domain = new FailureDomainId("domain-" + number % service.domains());
            speed = SPEEDS[number % SPEEDS.length];
            after(random.nextInt((int) HEARTBEAT_MILLIS), this::heartbeat);
        }

        /** Returns for how much longer the server is cold at this moment, in milliseconds. */
        long remainingWarmupMillis() {
            return Math.max(0, coldUntil - now);
        }

        /** The server is cold from now on and tells nobody before its next heartbeat. */
        void turnCold() {
            coldUntil = now + COLD_MILLIS;
        }

        /** Ends now and starts again under its id and address, cold, after a time. */
        void restart(long downMillis) {
            downUntil = now + downMillis;
            startedAt = downUntil;
            coldUntil = downUntil + COLD_MILLIS;
            List<Send> lost = new ArrayList<>(running);
            lost.addAll(waiting);
            running.clear();
            waiting.clear();
            lost.forEach(send ->
                    after(transit(), () -> send.node().handle(() -> send.node().lost(send))));
        }

        private Backend listing() {
            return new Backend(
                    id,
                    startedAt,
                    new ServiceName("pool"),
                    "10.0.0.1",
                    80,
                    domain,
                    SLOTS,
                    false,
                    remainingWarmupMillis());
        }

        private void heartbeat() {
            if (now >= downUntil) {
                Backend listing = listing();
                after(DISCOVERY_MILLIS, () -> nodes.forEach(node -> node.learn(() -> node.listed(listing))));
            }
            after(HEARTBEAT_MILLIS, this::heartbeat);
        }

        private void arrive(Send send) {
            if (now < downUntil) {
                after(transit(), () -> send.node().handle(() -> send.node().notConnected(send)));
                return;
            }
            if (remainingWarmupMillis() > 0) {
                countArrival();
            }
            if (running.size() < SLOTS) {
                begin(send);
            } else if (waiting.size() < QUEUE) {
                waiting.addLast(send);
            } else {
                LoadReport load = load();
                after(transit(), () -> send.node().handle(() -> send.node().refused(send, load)));
            }
        }

        private void countArrival() {
            arrivals.addLast(now);
            while (arrivals.peekFirst() <= now - COUNTED_MILLIS) {
                arrivals.removeFirst();
            }
            worst = Math.max(worst, arrivals.size());
        }

        private void begin(Send send) {
            running.add(send);
            double work = service.workMillis() * (0.5 - 0.5 * Math.log(1 - random.nextDouble())) / speed;
            long millis = Math.round(remainingWarmupMillis() > 0 ? COLD_FACTOR * work : work);
            after(millis, () -> finish(send));
        }

        private void finish(Send send) {
            if (!running.remove(send)) {
                return;
            }
            if (!waiting.isEmpty()) {
                begin(waiting.removeFirst());
            }
            LoadReport load = load();
            after(transit(), () -> send.node().handle(() -> send.node().answered(send, load)));
        }

        private LoadReport load() {
            return new LoadReport(running.size(), waiting.size(), SLOTS, 100);
        }
    }

    /** One instance: its view of the servers, and the way of a request through it. */
    final class Node {
        final InstanceId id;
        private final int number;
        private final FailureDomainId domain;
        private final Set<FailureDomainId> takenOut = new HashSet<>();
        private final Map<BackendServerId, BackendTracker> trackers = new LinkedHashMap<>();
        private final Map<BackendServerId, Server> serversById = new HashMap<>();
        private final LatencyEstimate latency = new LatencyEstimate(service.workMillis());
        private final RetryBudget budget = new RetryBudget(RETRY_RATIO, RETRY_ALLOWANCE, RETRY_WINDOW_MILLIS);
        private final MemberStanding standing = new MemberStanding(() -> now, () -> now);
        private final WarmupGate gate;
        private final Balancer balancer;
        private List<Node> near = List.of();
        private long stalledUntil = Long.MIN_VALUE;
        private long viewedAt = Long.MIN_VALUE;

        Node(int number) {
            this.number = number;
            id = new InstanceId("front-" + number);
            domain = new FailureDomainId("domain-" + number % service.domains());
            gate = new WarmupGate(id, standing::established);
            balancer = new Balancer(domain, random);
            for (Server server : servers) {
                serversById.put(server.id, server);
                trackers.put(server.id, new BackendTracker(server.listing(), now));
            }
        }

        private void start(Set<InstanceId> all) {
            gate.instances(all);
            near = nodes.stream()
                    .filter(other -> other != this && other.domain.equals(domain))
                    .toList();
            standing.listed(now, MEMBER_TERM_MILLIS);
            after(random.nextInt((int) MEMBER_MILLIS), this::keepStanding);
            if (number % STALLING_SHARE == 0) {
                after(random.nextInt(STALL_INTERVAL_MILLIS), this::stall);
            }
        }

        private boolean reachesStore() {
            return switch (store) {
                case ANSWERS, SLOW -> true;
                case SILENT -> false;
                case REFUSES_A_THIRD -> number % REFUSED_SHARE != 0;
            };
        }

        private void keepStanding() {
            if (reachesStore()) {
                standing.renewed(now, MEMBER_TERM_MILLIS);
                standing.viewed(now);
            }
            after(MEMBER_MILLIS, this::keepStanding);
        }

        private void stall() {
            stalledUntil = now + random.nextInt(LONGEST_STALL_MILLIS + 1);
            after(STALL_INTERVAL_MILLIS, this::stall);
        }

        /** Runs an action on the event loop of this instance, which may be late. */
        private void handle(Runnable action) {
            if (now < stalledUntil) {
                after(stalledUntil - now, () -> handle(action));
            } else {
                action.run();
            }
        }

        /** Takes a change from the store some time after its confirmation, in order, or not at all. */
        private void learn(Runnable change) {
            long delay = random.nextInt(LONGEST_VIEW_MILLIS) + (store == Store.SLOW ? SLOW_STORE_MILLIS : 0);
            viewedAt = Math.max(viewedAt, now + delay);
            after(viewedAt - now, () -> {
                if (reachesStore()) {
                    handle(change);
                }
            });
        }

        private void listed(Backend listing) {
            BackendTracker known = trackers.get(listing.id());
            if (known.backend().sameLife(listing)) {
                known.update(listing, now);
            } else {
                trackers.put(listing.id(), new BackendTracker(listing, now));
            }
        }

        /** Sends a request to the server that is chosen for it now, lets it wait for its owner, or refuses it. */
        void send(Request request) {
            BackendTracker tracker = service.keyed() ? owner() : pick(request);
            if (tracker == null) {
                if (service.keyed() && mayWaitForOwner(request)) {
                    after(OWNER_POLL_MILLIS, () -> handle(() -> send(request)));
                }
                return;
            }
            double expected = tracker.expectedMillis(latency.millis(), now);
            long useful = request.cameBack ? service.timeoutMillis() : service.targetMillis();
            boolean busy = tracker.busy(now) >= SLOTS;
            if (now + expected > request.receivedAt + useful && busy) {
                askToComeBack(request, now + expected - request.receivedAt - useful);
                return;
            }
            Send send = new Send(request, this, tracker, now, busy);
            request.tried.add(tracker.backend().id());
            tracker.chosen();
            tellInFlight(tracker);
            proceed(send, 0);
        }

        /** Sends a request that has a connection, asks the server for its state before, or withdraws it. */
        private void proceed(Send send, int questions) {
            Server server = serversById.get(send.tracker().backend().id());
            switch (gate.beforeSend(send.tracker(), service.warmupRequestsPerSecond(), now)) {
                case SEND -> {
                    if (!send.request().wasSent) {
                        send.request().wasSent = true;
                        sent++;
                    }
                    after(transit(), () -> server.arrive(send));
                }
                case ASK -> {
                    if (questions < MAX_QUESTIONS) {
                        ask(send, server, questions + 1);
                    } else {
                        withdrawn(send);
                    }
                }
                default -> withdrawn(send);
            }
        }

        private void ask(Send send, Server server, int questions) {
            long askedAt = now;
            after(transit(), () -> {
                boolean down = now < server.downUntil;
                long remaining = server.remainingWarmupMillis();
                after(
                        transit(),
                        () -> handle(() -> {
                            if (down) {
                                notConnected(send);
                            } else {
                                send.tracker().stated(remaining, askedAt, now);
                                proceed(send, questions);
                            }
                        }));
            });
        }

        private void withdrawn(Send send) {
            send.tracker().abandoned();
            tellInFlight(send.tracker());
            send(send.request());
        }

        private BackendTracker owner() {
            BackendTracker owner = trackers.get(hotOwner().id);
            return takenOut.contains(owner.backend().domain()) || !gate.admits(owner, now) ? null : owner;
        }

        private boolean mayWaitForOwner(Request request) {
            if (request.waitingSince < 0) {
                request.waitingSince = now;
            }
            BackendTracker owner = trackers.get(hotOwner().id);
            long limit = Math.min(OWNER_WAIT_MILLIS, service.targetMillis() / 2);
            return now - request.waitingSince < limit && (!owner.cold(now) || gate.sendsTo(owner));
        }

        private BackendTracker pick(Request request) {
            BackendTracker found = choose(request, false);
            return found != null ? found : choose(request, true);
        }

        private BackendTracker choose(Request request, boolean pausedToo) {
            return balancer.choose(
                    trackers.values(),
                    tracker -> (pausedToo || !tracker.paused(now))
                            && !takenOut.contains(tracker.backend().domain())
                            && !request.tried.contains(tracker.backend().id())
                            && gate.admits(tracker, now),
                    latency.millis(),
                    service.targetMillis(),
                    now);
        }

        /** Callers that were refused come back once. */
        private void askToComeBack(Request request, double excessMillis) {
            if (!request.cameBack) {
                request.cameBack = true;
                after(Math.max(CALLER_PAUSE_MILLIS, Math.round(excessMillis)), () -> handle(() -> send(request)));
            }
        }

        private void answered(Send send, LoadReport load) {
            send.tracker().report(load, now, 0);
            send.tracker().answered(true);
            tellReport(send.tracker(), load);
            if (!send.queued()) {
                double millis = now - send.sentAt();
                send.tracker().speedSample(millis / latency.millis());
                latency.sample(millis);
            }
        }

        private void refused(Send send, LoadReport load) {
            send.tracker().report(load, now, 0);
            send.tracker().refused();
            tellReport(send.tracker(), load);
            repeat(send);
        }

        private void lost(Send send) {
            send.tracker().failed();
            tellInFlight(send.tracker());
            repeat(send);
        }

        private void repeat(Send send) {
            Request request = send.request();
            boolean mayRepeat = !service.keyed()
                    && request.repeats < MAX_REPEATS
                    && now < request.receivedAt + service.timeoutMillis();
            if (mayRepeat && budget.tryRetry(now, standing.share(nodes.size()))) {
                request.repeats++;
                send(request);
            }
        }

        private void notConnected(Send send) {
            BackendTracker tracker = send.tracker();
            tracker.abandoned();
            tellInFlight(tracker);
            tracker.unreachable(now);
            if (!service.keyed()) {
                send.request().connectFailures++;
                if (send.request().connectFailures < MAX_CONNECT_FAILURES) {
                    send(send.request());
                }
            }
        }

        private void tellInFlight(BackendTracker tracker) {
            long batch = batchMillis();
            if (batch <= LONGEST_BATCH_MILLIS) {
                int count = tracker.inFlight();
                after(
                        batch + transit(),
                        () -> near.forEach(peer -> peer.trackerOf(tracker).peerInFlight(id, count)));
            }
        }

        private void tellReport(BackendTracker tracker, LoadReport load) {
            tellInFlight(tracker);
            long batch = batchMillis();
            after(
                    batch + transit(),
                    () -> near.forEach(peer -> peer.trackerOf(tracker).report(load, now, batch)));
        }

        private BackendTracker trackerOf(BackendTracker ofPeer) {
            return trackers.get(ofPeer.backend().id());
        }

        private long batchMillis() {
            return Math.max(SHORTEST_BATCH_MILLIS, 1_000L * near.size() / DATAGRAMS_PER_SECOND);
        }
    }

    /** Returns the server that owns the key of a keyed service. */
    Server hotOwner() {
        return fastest();
    }

    /** Returns a server of the highest speed. */
    Server fastest() {
        return servers.stream()
                .max(Comparator.comparingDouble(server -> server.speed))
                .orElseThrow();
    }
}
