package org.jackdawslip.internal.balance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.Predicate;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.ServiceName;

/**
 * Instances with callers and the backend servers of one service under heavy load, in simulated time.
 *
 * <p>Servers have slots, a short queue, different speeds, work times with a long tail, and hosts that slow them down
 * for a moment. An instance knows its own requests, the load reports in its responses, and what its peers published
 * some time ago; counts in flight come only from peers in its failure domain. The admission of requests and the choice
 * of a server are replaceable, so that rules are compared on the same load. Requests use the production code of
 * {@link BackendTracker} and {@link LatencyEstimate}. The same seed gives the same arrivals. Not thread-safe.
 */
final class HeavyLoadModel {

    private static final int QUEUE_LIMIT = 12;
    private static final int DOMAINS = 3;
    private static final double TAIL_SHARE = 0.02;
    private static final double TAIL_FACTOR = 6;
    private static final double WORK_DEVIATION = 0.25;
    private static final double MIN_SPEED = 0.5;
    private static final double MAX_SPEED = 1.6;
    /** Mean time between episodes in which other work slows the host of a server down, and their duration. */
    private static final double SLOWDOWN_INTERVAL_MILLIS = 2_000;

    private static final double SLOWDOWN_MILLIS = 250;
    private static final double SLOWDOWN_FACTOR = 2.5;
    private static final double MIN_REPORT_AGE_MILLIS = 8;
    private static final double MAX_REPORT_AGE_MILLIS = 150;
    /** Peers in a failure domain from which counts in flight would be too old to be sent. */
    private static final int MAX_PEERS_WITH_COUNTS = 40;

    private static final double MAX_HONOURED_DELAY_SHARE = 1.0 / 3;
    /** Time within which a crowd arrives. */
    private static final double CROWD_ARRIVAL_MILLIS = 20;

    /** Time after the arrival of a crowd for which no server can take a request. */
    private static final double NO_OWNER_MILLIS = 150;

    private static final int MAX_SERVER_REFUSALS = 2;
    private static final double PERCENT = 100;

    /** Decides whether a request is admitted to a server. One object per instance. */
    interface AdmissionRule {
        /**
         * Returns by how many milliseconds the request exceeds its limit; 0 or less admits it.
         *
         * @param remainingMillis time until the caller gives up
         */
        double excessMillis(
                RequestClass requestClass, BackendTracker server, double usualMillis, long remainingMillis, long now);
    }

    /** Chooses a server of a service without keys. One object per instance. */
    interface ChoiceRule {
        BackendTracker choose(
                Collection<BackendTracker> servers,
                Predicate<BackendTracker> admitted,
                double usualMillis,
                double targetMillis,
                long now);
    }

    /** Returns the delay that a refused caller is told, in milliseconds. */
    interface DelayRule {
        double delayMillis(double excessMillis, long remainingMillis, long now);
    }

    /**
     * One class of requests.
     *
     * @param callerRetries how often a refused caller retries
     * @param impatientShare share of the callers that retry immediately and three times
     * @param burstFactor factor of the rate during the burst, the second third of the run
     */
    record Load(
            RequestClass requestClass,
            double perSecond,
            double workMillis,
            double valueOnTime,
            double valueLate,
            int callerRetries,
            double impatientShare,
            double burstFactor) {

        Load times(double factor) {
            return new Load(
                    requestClass,
                    perSecond * factor,
                    workMillis,
                    valueOnTime,
                    valueLate,
                    callerRetries,
                    impatientShare,
                    burstFactor);
        }

        Load burst(double factor) {
            return new Load(
                    requestClass, perSecond, workMillis, valueOnTime, valueLate, callerRetries, impatientShare, factor);
        }

        Load impatient(double share) {
            return new Load(
                    requestClass, perSecond, workMillis, valueOnTime, valueLate, callerRetries, share, burstFactor);
        }
    }

    /**
     * The servers and instances of a run.
     *
     * @param hotShare share of the requests whose keys belong to the hot servers
     * @param hotServers number of servers that own the hot keys
     * @param crowdMillis time whose usual requests arrive at once in the middle of the run, in addition to the others,
     *     like those of callers that return after a loss of power
     */
    record Site(
            int instances,
            int servers,
            int slots,
            boolean keyed,
            double hotShare,
            int hotServers,
            long millis,
            long crowdMillis,
            List<Load> loads) {

        Site(
                int instances,
                int servers,
                int slots,
                boolean keyed,
                double hotShare,
                int hotServers,
                long millis,
                List<Load> loads) {
            this(instances, servers, slots, keyed, hotShare, hotServers, millis, 0, loads);
        }

        Site withCrowd(long crowd) {
            return new Site(instances, servers, slots, keyed, hotShare, hotServers, millis, crowd, loads);
        }
    }

    /** The outcome of one class. */
    static final class Outcome {
        int requests;
        int served;
        int onTime;
        int attempts;
        double value;
        double maxValue;
        double responseMillis;

        double servedShare() {
            return requests == 0 ? 1 : (double) served / requests;
        }

        double onTimeShare() {
            return requests == 0 ? 1 : (double) onTime / requests;
        }

        double valueShare() {
            return maxValue == 0 ? 1 : value / maxValue;
        }

        double meanResponseMillis() {
            return served == 0 ? 0 : responseMillis / served;
        }

        private void add(Outcome other) {
            requests += other.requests;
            served += other.served;
            onTime += other.onTime;
            attempts += other.attempts;
            value += other.value;
            maxValue += other.maxValue;
            responseMillis += other.responseMillis;
        }
    }

    private record Event(double at, long sequence, Runnable action) {}

    private record Publication(
            double at, Instance sender, Server server, int inFlight, LoadReport report, double serviceTime) {}

    final List<Outcome> outcomes = new ArrayList<>();
    int serverRefusals;
    int attemptsInOtherDomains;

    private final Site site;
    private final Random random;
    private final List<Server> servers = new ArrayList<>();
    private final List<Instance> instances = new ArrayList<>();
    private final List<Publication> publications = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::sequence));
    private long eventCount;
    private double now;

    HeavyLoadModel(
            Site site,
            long seed,
            Function<Random, AdmissionRule> admission,
            BiFunction<FailureDomainId, Random, ChoiceRule> choice,
            Function<Random, DelayRule> delay) {
        this.site = site;
        this.random = new Random(seed);
        for (int i = 0; i < site.servers(); i++) {
            servers.add(new Server(i, MIN_SPEED + (MAX_SPEED - MIN_SPEED) * random.nextDouble()));
        }
        for (int i = 0; i < site.instances(); i++) {
            Random own = new Random(random.nextLong());
            instances.add(new Instance(
                    i,
                    admission.apply(own),
                    choice.apply(new FailureDomainId("d" + i % DOMAINS), own),
                    delay.apply(own)));
        }
        for (int i = 0; i < site.loads().size(); i++) {
            outcomes.add(new Outcome());
        }
    }

    /** Runs the load to its end. */
    void run() {
        for (int i = 0; i < site.loads().size(); i++) {
            scheduleArrival(i, new Random(random.nextLong()));
            scheduleCrowd(i, new Random(random.nextLong()));
        }
        servers.forEach(Server::scheduleSlowdown);
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
    }

    Outcome total() {
        Outcome sum = new Outcome();
        outcomes.forEach(sum::add);
        return sum;
    }

    private void at(double time, Runnable action) {
        events.add(new Event(time, eventCount++, action));
    }

    private void scheduleArrival(int index, Random arrivals) {
        Load load = site.loads().get(index);
        boolean burst = now > site.millis() / 3.0 && now < 2 * site.millis() / 3.0;
        double rate = load.perSecond() * (burst ? load.burstFactor() : 1);
        double next = now - Math.log(1 - arrivals.nextDouble()) * 1_000 / rate;
        if (next > site.millis()) {
            return;
        }
        at(next, () -> {
            Caller caller = new Caller(index, pickOwner(arrivals), arrivals);
            caller.attempt();
            scheduleArrival(index, arrivals);
        });
    }

    private void scheduleCrowd(int index, Random arrivals) {
        long count = Math.round(site.loads().get(index).perSecond() * site.crowdMillis() / 1_000);
        for (long i = 0; i < count; i++) {
            at(
                    site.millis() / 2.0 + CROWD_ARRIVAL_MILLIS * arrivals.nextDouble(),
                    () -> new Caller(index, pickOwner(arrivals), arrivals).attempt());
        }
    }

    private Server pickOwner(Random arrivals) {
        if (arrivals.nextDouble() < site.hotShare()) {
            return servers.get(arrivals.nextInt(site.hotServers()));
        }
        // The keys are spread by the capacity of the servers.
        while (true) {
            Server server = servers.get(arrivals.nextInt(servers.size()));
            if (arrivals.nextDouble() * MAX_SPEED < server.speed) {
                return server;
            }
        }
    }

    /** A caller with one request. */
    private final class Caller {
        private final int index;
        private final Load load;
        private final Server owner;
        private final Random choices;
        private final double startedAt = now;
        private final double deadlineAt;
        private final boolean impatient;
        private int retriesLeft;
        private boolean ended;

        Caller(int index, Server owner, Random choices) {
            this.index = index;
            this.load = site.loads().get(index);
            this.owner = owner;
            this.choices = choices;
            this.deadlineAt = now + load.requestClass().deadlineMillis();
            this.impatient = choices.nextDouble() < load.impatientShare();
            this.retriesLeft = impatient ? 3 : load.callerRetries();
            Outcome outcome = outcomes.get(index);
            outcome.requests++;
            outcome.maxValue += load.valueOnTime();
        }

        void attempt() {
            outcomes.get(index).attempts++;
            instances.get(choices.nextInt(instances.size())).handle(this);
        }

        void refused(double delayMillis) {
            double left = deadlineAt - now;
            if (retriesLeft > 0 && left > 0) {
                retriesLeft--;
                double delay = impatient ? 1 : Math.min(delayMillis, MAX_HONOURED_DELAY_SHARE * left);
                at(now + delay, this::attempt);
            }
        }

        void answered() {
            if (!ended && now <= deadlineAt) {
                ended = true;
                Outcome outcome = outcomes.get(index);
                outcome.served++;
                outcome.responseMillis += now - startedAt;
                boolean onTime = now - startedAt <= load.requestClass().targetLatencyMillis();
                outcome.onTime += onTime ? 1 : 0;
                outcome.value += onTime ? load.valueOnTime() : load.valueLate();
            }
        }
    }

    /** One attempt at a server. */
    private record Attempt(
            Caller caller, Instance instance, BackendTracker tracker, boolean queued, double sentAt, int refusals) {}

    private final class Instance {
        private final InstanceId id;
        private final int domain;
        private final AdmissionRule admission;
        private final ChoiceRule choice;
        private final DelayRule delay;
        private final List<BackendTracker> trackers = new ArrayList<>();
        private final List<LatencyEstimate> latencies = new ArrayList<>();
        private final double reportAge;
        private int readPublications;

        Instance(int index, AdmissionRule admission, ChoiceRule choice, DelayRule delay) {
            this.id = new InstanceId("i" + index);
            this.domain = index % DOMAINS;
            this.admission = admission;
            this.choice = choice;
            this.delay = delay;
            this.reportAge =
                    MIN_REPORT_AGE_MILLIS + (MAX_REPORT_AGE_MILLIS - MIN_REPORT_AGE_MILLIS) * random.nextDouble();
            servers.forEach(server -> trackers.add(new BackendTracker(server.backend, 0)));
            site.loads().forEach(load -> latencies.add(new LatencyEstimate(load.workMillis())));
        }

        private void readPublications() {
            boolean counts = site.instances() / DOMAINS <= MAX_PEERS_WITH_COUNTS;
            while (readPublications < publications.size()
                    && publications.get(readPublications).at() <= now - reportAge) {
                Publication publication = publications.get(readPublications++);
                if (publication.sender() != this) {
                    BackendTracker tracker = trackers.get(publication.server().index);
                    if (counts && publication.sender().domain == domain) {
                        tracker.setPeerInFlight(publication.sender().id, publication.inFlight());
                    }
                    if (publication.report() != null) {
                        tracker.recordLoadReport(publication.report(), (long) now, (long) (now - publication.at()));
                    }
                    if (publication.serviceTime() > 0) {
                        tracker.addServiceTimeSample(publication.serviceTime());
                    }
                }
            }
        }

        void handle(Caller caller) {
            readPublications();
            double sinceCrowd = now - site.millis() / 2.0;
            if (site.crowdMillis() > 0 && sinceCrowd >= 0 && sinceCrowd < NO_OWNER_MILLIS) {
                long remaining = (long) (caller.deadlineAt - now);
                caller.refused(delay.delayMillis(Double.MAX_VALUE, remaining, (long) now));
                return;
            }
            handle(caller, null, 0);
        }

        private void handle(Caller caller, BackendTracker excluded, int refusals) {
            double usualMillis = latencies.get(caller.index).meanMillis();
            RequestClass requestClass = caller.load.requestClass();
            BackendTracker tracker = site.keyed()
                    ? trackers.get(caller.owner.index)
                    : choice.choose(
                            trackers,
                            server -> server != excluded,
                            usualMillis,
                            requestClass.targetLatencyMillis(),
                            (long) now);
            long remaining = (long) (caller.deadlineAt - now);
            double excess = refusals > 0
                    ? 0
                    : admission.excessMillis(requestClass, tracker, usualMillis, remaining, (long) now);
            if (excess > 0) {
                caller.refused(delay.delayMillis(excess, remaining, (long) now));
                return;
            }
            boolean queued = tracker.estimatedRequests((long) now) >= site.slots();
            Server server = servers.get(trackers.indexOf(tracker));
            attemptsInOtherDomains += server.index % DOMAINS == domain ? 0 : 1;
            tracker.recordChosen();
            publish(server, tracker, null, 0);
            Attempt attempt = new Attempt(caller, this, tracker, queued, now, refusals);
            at(now + transitMillis(), () -> server.arrive(attempt));
        }

        void onRefusal(Attempt attempt, Server server, LoadReport report) {
            attempt.tracker().recordNotRun();
            attempt.tracker().recordLoadReport(report, (long) now, 0);
            publish(server, attempt.tracker(), report, 0);
            Caller caller = attempt.caller();
            if (!site.keyed() && attempt.refusals() + 1 < MAX_SERVER_REFUSALS && now < caller.deadlineAt) {
                handle(caller, attempt.tracker(), attempt.refusals() + 1);
            } else {
                caller.refused(delay.delayMillis(0, (long) (caller.deadlineAt - now), (long) now));
            }
        }

        void onResponse(Attempt attempt, Server server, LoadReport report) {
            attempt.tracker().recordResponse(true);
            attempt.tracker().recordLoadReport(report, (long) now, 0);
            double relative = 0;
            if (!attempt.queued()) {
                double millis = (now - attempt.sentAt()) / (report.slowdownPercent() / PERCENT);
                LatencyEstimate latency = latencies.get(attempt.caller().index);
                relative = millis / latency.meanMillis();
                attempt.tracker().addServiceTimeSample(relative);
                latency.addSample(millis);
            }
            publish(server, attempt.tracker(), report, relative);
            attempt.caller().answered();
        }

        private void publish(Server server, BackendTracker tracker, LoadReport report, double serviceTime) {
            publications.add(new Publication(now, this, server, tracker.inFlight(), report, serviceTime));
        }
    }

    private double transitMillis() {
        return 1 + 2 * random.nextDouble();
    }

    private final class Server {
        private final int index;
        private final double speed;
        private final Backend backend;
        private final ArrayDeque<Attempt> queue = new ArrayDeque<>();
        private int running;
        private double slowdown = 1;

        Server(int index, double speed) {
            this.index = index;
            this.speed = speed;
            this.backend = new Backend(
                    new BackendServerId("s" + index),
                    0,
                    new ServiceName("service"),
                    "127.0.0.1",
                    index + 1,
                    new FailureDomainId("d" + index % DOMAINS),
                    site.slots(),
                    false,
                    0);
        }

        void scheduleSlowdown() {
            double start = now - Math.log(1 - random.nextDouble()) * SLOWDOWN_INTERVAL_MILLIS;
            if (start < site.millis()) {
                at(start, () -> {
                    slowdown = SLOWDOWN_FACTOR;
                    at(now + 2 * SLOWDOWN_MILLIS * random.nextDouble(), () -> {
                        slowdown = 1;
                        scheduleSlowdown();
                    });
                });
            }
        }

        private LoadReport report() {
            return new LoadReport(running, queue.size(), site.slots(), (int) (PERCENT * slowdown));
        }

        void arrive(Attempt attempt) {
            if (running < site.slots()) {
                start(attempt);
            } else if (queue.size() < QUEUE_LIMIT) {
                queue.add(attempt);
            } else {
                serverRefusals++;
                LoadReport report = report();
                at(now + transitMillis(), () -> attempt.instance().onRefusal(attempt, this, report));
            }
        }

        private void start(Attempt attempt) {
            running++;
            double tail = random.nextDouble() < TAIL_SHARE ? TAIL_FACTOR : 1;
            double spread = Math.max(0.3, 1 + WORK_DEVIATION * random.nextGaussian());
            double work = attempt.caller().load.workMillis() / (1 + TAIL_SHARE * (TAIL_FACTOR - 1)) * tail * spread;
            at(now + work / speed * slowdown, () -> end(attempt));
        }

        private void end(Attempt attempt) {
            running--;
            LoadReport report = report();
            at(now + transitMillis(), () -> attempt.instance().onResponse(attempt, this, report));
            while (!queue.isEmpty() && running < site.slots()) {
                Attempt next = queue.poll();
                if (next.caller().deadlineAt < now) {
                    next.tracker().recordAbandoned();
                } else {
                    start(next);
                }
            }
        }
    }
}
