package org.jackdawslip.internal.hedging;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.Backend;
import org.jackdawslip.internal.balance.BackendTracker;
import org.jackdawslip.internal.balance.Balancer;
import org.jackdawslip.internal.balance.LatencyEstimate;
import org.jackdawslip.internal.balance.LoadReport;
import org.jackdawslip.internal.balance.RetryBudget;

/**
 * Instances that send the requests of one class to the servers of one service, in simulated time. Decisions are made by
 * the classes of the product; servers, network and callers are simulated. A request that is refused or not answered by
 * its deadline counts with the deadline as its response time. Not thread-safe.
 */
final class HedgingSimulation {

    /** When a slow request is hedged. */
    enum Rule {
        /** Never. */
        NONE,
        /** By the rule before this module: a multiple of the expected time, under the retry budget alone. */
        MULTIPLE_OF_MEAN,
        /** By {@link HedgeTiming} and {@link HedgePolicy}. */
        QUANTILE
    }

    /** The behaviour of the servers and callers. */
    enum Load {
        USUAL,
        /** 3 in 100 attempts take 7 times the mean. */
        LONG_TAIL,
        /** 3 in 100 requests take 7 times the mean at every server. */
        LONG_REQUESTS,
        /** A tenth of the servers takes 5 times as long for 2 s of every 6 s. */
        SLOW_TENTH,
        /** One server in ten does not respond for 2 s of every 10 s. */
        SILENT_SERVER,
        /** 1.3 times the requests that the servers can handle. */
        OVERLOAD,
        /** All servers but one have ended. */
        ONE_SERVER
    }

    static final double TARGET_MILLIS = 400;
    static final double DEADLINE_MILLIS = 1_200;
    private static final double WORK_MILLIS = 100;
    private static final double WORK_SIGMA = 0.3;
    private static final int INSTANCES = 10;
    private static final int SERVERS = 20;
    private static final int SLOTS = 2;
    private static final int QUEUE_LIMIT = 12;
    private static final double USUAL_LOAD = 0.55;
    private static final double NETWORK_MILLIS = 1;
    private static final long END_MILLIS = 60_000;
    private static final long PEER_REPORT_INTERVAL_MILLIS = 50;
    private static final double RETRY_RATIO = 0.8 * 0.2;
    private static final double RETRY_ALLOWANCE = 0.8 * 60;
    private static final FailureDomainId DOMAIN = new FailureDomainId("a");

    private final Rule rule;
    private final Load load;
    private final double limitShare;
    private final Random arrivals;
    private final Random work;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::number));
    private final List<Server> servers = new ArrayList<>();
    private final List<Instance> instances = new ArrayList<>();
    private final List<Double> times = new ArrayList<>();
    private long eventNumber;
    private double now;

    private int requests;
    private int hedges;
    private int wins;
    private int onTime;
    private int served;
    private double busyMillis;
    private double hedgeBusyMillis;

    private record Event(double at, long number, Runnable action) {}

    /** The result of one or more runs with the same rule and load. */
    record Result(
            int requests,
            int served,
            int onTime,
            int hedges,
            int wins,
            double busy,
            double hedgeBusy,
            double[] sorted) {

        static Result merge(List<Result> results) {
            return new Result(
                    results.stream().mapToInt(Result::requests).sum(),
                    results.stream().mapToInt(Result::served).sum(),
                    results.stream().mapToInt(Result::onTime).sum(),
                    results.stream().mapToInt(Result::hedges).sum(),
                    results.stream().mapToInt(Result::wins).sum(),
                    results.stream().mapToDouble(Result::busy).sum(),
                    results.stream().mapToDouble(Result::hedgeBusy).sum(),
                    results.stream()
                            .flatMapToDouble(result -> Arrays.stream(result.sorted))
                            .sorted()
                            .toArray());
        }

        double quantile(double share) {
            return sorted[(int) Math.min(sorted.length - 1L, (long) (share * sorted.length))];
        }

        double hedgedShare() {
            return hedges / (double) requests;
        }

        /** Returns the time of servers for hedged attempts as a share of their time for all others. */
        double extraWork() {
            return hedgeBusy / (busy - hedgeBusy);
        }

        double onTimeShare() {
            return onTime / (double) requests;
        }

        double servedShare() {
            return served / (double) requests;
        }
    }

    HedgingSimulation(Rule rule, Load load, double limitShare, long seed) {
        this.rule = rule;
        this.load = load;
        this.limitShare = limitShare;
        this.arrivals = new Random(seed);
        this.work = new Random(seed + 1_000_003);
        int serverCount = load == Load.ONE_SERVER ? 1 : SERVERS;
        for (int i = 0; i < serverCount; i++) {
            servers.add(new Server(i));
        }
        for (int i = 0; i < INSTANCES; i++) {
            instances.add(new Instance(new InstanceId("front-" + i), seed * INSTANCES + i));
        }
    }

    Result run() {
        double usualRate = USUAL_LOAD * servers.size() * SLOTS / WORK_MILLIS;
        double rate = load == Load.OVERLOAD ? usualRate * 1.3 / USUAL_LOAD : usualRate;
        scheduleArrival(rate);
        after(PEER_REPORT_INTERVAL_MILLIS, this::reportToPeers);
        while (!events.isEmpty() && events.peek().at < END_MILLIS + DEADLINE_MILLIS) {
            Event event = events.remove();
            now = event.at;
            event.action.run();
        }
        double[] sorted =
                times.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        return new Result(requests, served, onTime, hedges, wins, busyMillis, hedgeBusyMillis, sorted);
    }

    private void scheduleArrival(double rate) {
        after(-Math.log(1 - arrivals.nextDouble()) / rate, () -> {
            if (now < END_MILLIS) {
                requests++;
                boolean slow = arrivals.nextInt(100) < 3;
                new Request(instances.get(arrivals.nextInt(INSTANCES)), slow && load == Load.LONG_REQUESTS).start();
                scheduleArrival(rate);
            }
        });
    }

    /** Peers report their requests in flight in datagrams. */
    private void reportToPeers() {
        for (Instance reporter : instances) {
            for (Instance receiver : instances) {
                for (int i = 0; i < servers.size() && receiver != reporter; i++) {
                    receiver.trackers
                            .get(i)
                            .setPeerInFlight(
                                    reporter.id, reporter.trackers.get(i).inFlight());
                }
            }
        }
        if (now < END_MILLIS) {
            after(PEER_REPORT_INTERVAL_MILLIS, this::reportToPeers);
        }
    }

    private void after(double millis, Runnable action) {
        events.add(new Event(now + millis, eventNumber++, action));
    }

    private long nowMillis() {
        return (long) now;
    }

    private final class Instance {
        final InstanceId id;
        final Balancer balancer;
        final List<BackendTracker> trackers = new ArrayList<>();
        final LatencyEstimate latency = new LatencyEstimate(0.33 * TARGET_MILLIS);
        final RetryBudget retryBudget = new RetryBudget(RETRY_RATIO, RETRY_ALLOWANCE, 10_000);
        final HedgePolicy policy = new HedgePolicy(new HedgeLimit(limitShare), retryBudget);
        final HedgeTiming timing = new HedgeTiming();

        Instance(InstanceId id, long seed) {
            this.id = id;
            this.balancer = new Balancer(DOMAIN, new Random(seed));
            servers.forEach(server -> trackers.add(new BackendTracker(server.backend, 0)));
        }

        BackendTracker choose(Set<BackendTracker> excluded) {
            BackendTracker active = balancer.choose(
                    trackers,
                    server -> !excluded.contains(server) && !server.paused(nowMillis()),
                    latency.meanMillis(),
                    TARGET_MILLIS,
                    nowMillis());
            return active != null
                    ? active
                    : balancer.choose(
                            trackers,
                            server -> !excluded.contains(server),
                            latency.meanMillis(),
                            TARGET_MILLIS,
                            nowMillis());
        }
    }

    /** One request with at most two servers, as in the gateway. */
    private final class Request {
        final Instance instance;
        final boolean slow;
        final double receivedAt = now;
        final Set<BackendTracker> used = new HashSet<>();
        final List<Attempt> open = new ArrayList<>();
        boolean finished;
        boolean hedged;
        double firstStartedAt;

        Request(Instance instance, boolean slow) {
            this.instance = instance;
            this.slow = slow;
        }

        void start() {
            instance.retryBudget.recordRequest(nowMillis());
            instance.policy.recordRequest(nowMillis());
            after(DEADLINE_MILLIS, () -> finish(null));
            attempt(TARGET_MILLIS);
        }

        private double expected(BackendTracker server) {
            return server.expectedResponseMillis(instance.latency.meanMillis(), nowMillis());
        }

        private void attempt(double limitMillis) {
            BackendTracker server = instance.choose(used);
            if (server == null) {
                finish(null);
                return;
            }
            double expected = expected(server);
            if (now + expected > receivedAt + limitMillis
                    && server.estimatedRequests(nowMillis()) >= server.backend().slots()) {
                instance.policy.recordOverload((long) TARGET_MILLIS, nowMillis());
                finish(null);
                return;
            }
            firstStartedAt = now;
            send(server, false, expected);
            double delay =
                    switch (rule) {
                        case NONE -> DEADLINE_MILLIS;
                        case MULTIPLE_OF_MEAN -> Math.max(2.5 * expected, 0.45 * TARGET_MILLIS);
                        case QUANTILE -> instance.timing.delayMillis(
                                expected,
                                instance.latency.meanMillis(),
                                TARGET_MILLIS,
                                receivedAt + TARGET_MILLIS - now,
                                receivedAt + DEADLINE_MILLIS - now);
                    };
            after(delay, () -> hedge(delay / 2));
        }

        private void hedge(double recheckMillis) {
            if (finished || open.isEmpty() || used.size() >= 2 || rule == Rule.NONE) {
                return;
            }
            BackendTracker server = instance.choose(used);
            double expected = server == null ? 0 : expected(server);
            boolean permitted;
            boolean mayChange = false;
            if (rule == Rule.MULTIPLE_OF_MEAN) {
                permitted = server != null
                        && server.estimatedRequests(nowMillis())
                                < server.backend().slots()
                        && now + expected < receivedAt + DEADLINE_MILLIS
                        && instance.retryBudget.tryRetry(nowMillis(), 1.0 / INSTANCES);
            } else {
                HedgeDecision decision = instance.policy.decide(
                        server,
                        expected,
                        (long) (now - firstStartedAt),
                        (long) (receivedAt + DEADLINE_MILLIS - now),
                        1.0 / INSTANCES,
                        nowMillis());
                permitted = decision == HedgeDecision.HEDGE;
                mayChange = decision.mayChange();
            }
            if (permitted) {
                hedged = true;
                hedges++;
                send(server, true, expected);
            } else if (mayChange) {
                after(recheckMillis, () -> hedge(recheckMillis));
            }
        }

        private void send(BackendTracker server, boolean hedge, double expected) {
            used.add(server);
            server.recordChosen();
            Attempt attempt = new Attempt(this, server, hedge, expected);
            open.add(attempt);
            after(NETWORK_MILLIS, () -> attempt.server.dispatch(attempt));
        }

        void onResponse(Attempt attempt, LoadReport report) {
            if (!open.remove(attempt)) {
                return;
            }
            attempt.tracker.recordLoadReport(report, nowMillis(), 0);
            attempt.tracker.recordResponse(true);
            double millis = now - attempt.startedAt;
            if (!attempt.queued) {
                attempt.tracker.addServiceTimeSample(millis / instance.latency.meanMillis());
                instance.latency.addSample(millis);
            }
            instance.timing.recordResponseTime(now - firstStartedAt);
            if (hedged) {
                instance.timing.recordHedge(attempt.hedge);
            }
            wins += attempt.hedge ? 1 : 0;
            finish(attempt);
        }

        void onRefusal(Attempt attempt, LoadReport report) {
            if (!open.remove(attempt)) {
                return;
            }
            attempt.tracker.recordLoadReport(report, nowMillis(), 0);
            attempt.tracker.recordNotRun();
            if (attempt.hedge) {
                instance.policy.recordOverload((long) TARGET_MILLIS, nowMillis());
            }
            if (open.isEmpty()) {
                if (used.size() < 2 && instance.retryBudget.tryRetry(nowMillis(), 1.0 / INSTANCES)) {
                    attempt(DEADLINE_MILLIS);
                } else {
                    finish(null);
                }
            }
        }

        private void finish(Attempt winner) {
            if (finished) {
                return;
            }
            finished = true;
            double millis = winner == null ? DEADLINE_MILLIS : now - receivedAt;
            times.add(millis);
            served += winner == null ? 0 : 1;
            onTime += winner != null && millis <= TARGET_MILLIS ? 1 : 0;
            for (Attempt attempt : open) {
                if (now - attempt.startedAt > 2 * attempt.expected) {
                    attempt.tracker.recordOverdue(nowMillis());
                } else {
                    attempt.tracker.recordAbandoned();
                }
                after(NETWORK_MILLIS, () -> attempt.server.cancel(attempt));
            }
            open.clear();
        }
    }

    private final class Attempt {
        final Request request;
        final BackendTracker tracker;
        final Server server;
        final boolean hedge;
        final boolean queued;
        final double expected;
        final double startedAt = now;
        double runningSince = -1;

        Attempt(Request request, BackendTracker tracker, boolean hedge, double expected) {
            this.request = request;
            this.tracker = tracker;
            this.hedge = hedge;
            this.expected = expected;
            this.server = servers.get(Integer.parseInt(tracker.backend().id().value()));
            this.queued =
                    tracker.estimatedRequests(nowMillis()) > tracker.backend().slots();
        }
    }

    /** A server with a few slots and a short queue. */
    private final class Server {
        final int number;
        final Backend backend;
        final List<Attempt> running = new ArrayList<>();
        final ArrayDeque<Attempt> waiting = new ArrayDeque<>();

        Server(int number) {
            this.number = number;
            this.backend = new Backend(
                    new BackendServerId(Integer.toString(number)),
                    1,
                    new ServiceName("hub"),
                    "127.0.0.1",
                    80,
                    DOMAIN,
                    SLOTS,
                    false,
                    0);
        }

        private LoadReport report() {
            return new LoadReport(running.size(), waiting.size(), SLOTS, 100);
        }

        void dispatch(Attempt attempt) {
            if (running.size() < SLOTS) {
                run(attempt);
            } else if (waiting.size() < QUEUE_LIMIT) {
                waiting.add(attempt);
            } else {
                LoadReport report = report();
                after(NETWORK_MILLIS, () -> attempt.request.onRefusal(attempt, report));
            }
        }

        private void run(Attempt attempt) {
            attempt.runningSince = now;
            running.add(attempt);
            after(workMillis(attempt), () -> {
                if (running.contains(attempt)) {
                    end(attempt);
                    LoadReport report = report();
                    after(NETWORK_MILLIS, () -> attempt.request.onResponse(attempt, report));
                }
            });
        }

        private double workMillis(Attempt attempt) {
            double millis = WORK_MILLIS * Math.exp(WORK_SIGMA * work.nextGaussian() - WORK_SIGMA * WORK_SIGMA / 2);
            boolean tail = work.nextInt(100) < 3 && load == Load.LONG_TAIL;
            if (tail || attempt.request.slow) {
                millis *= 7;
            }
            boolean affected = number % 10 == 0;
            if (load == Load.SLOW_TENTH && affected && now % 6_000 < 2_000) {
                millis *= 5;
            }
            if (load == Load.SILENT_SERVER && affected && now % 10_000 < 2_000) {
                millis += 2_000;
            }
            return millis;
        }

        void cancel(Attempt attempt) {
            if (running.contains(attempt)) {
                end(attempt);
            } else {
                waiting.remove(attempt);
            }
        }

        private void end(Attempt attempt) {
            running.remove(attempt);
            double millis = now - attempt.runningSince;
            busyMillis += millis;
            hedgeBusyMillis += attempt.hedge ? millis : 0;
            if (!waiting.isEmpty()) {
                run(waiting.remove());
            }
        }
    }
}
