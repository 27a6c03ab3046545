package org.jackdawslip.internal.balance;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

import org.jackdawslip.InstanceId;

/**
 * What one instance knows about the load and the health of one backend server.
 *
 * <p>Invariant: the in-flight count is the number of requests for which the server was chosen and
 * that were neither answered nor given up. Not thread-safe.
 */
public final class BackendTracker {

    /** Half-life of the pace in a load report, in milliseconds. Noisy neighbours come and go within about 400 ms. */
    private static final double PACE_HALF_LIFE_MILLIS = 300;
    /** Age after which the queue of a load report says nothing, in milliseconds. */
    private static final double QUEUE_HALF_LIFE_MILLIS = 100;
    /** Time for which a reported pace lasts on average, in milliseconds. Work beyond it takes its usual time. */
    private static final double PACE_LASTS_MILLIS = 250;
    /** Relative slow-down of a server whose slots are all taken. */
    private static final double CROWDING = 0.1;
    /** Factor by which the failure rate makes a server seem slower. */
    private static final double FAILURE_PENALTY = 3;
    /** Weight of the newest service time in the running mean. */
    private static final double SPEED_WEIGHT = 0.07;
    /** Weight of the newest outcome in the failure rate. */
    private static final double FAILURE_WEIGHT = 0.15;
    /** Bounds of the relative service time, so that a few odd requests do not exclude a server. */
    private static final double MIN_RATIO = 0.35;

    private static final double MAX_RATIO = 6;
    /** First pause after a server could not be reached, in milliseconds; it doubles up to the longest pause. */
    private static final long FIRST_PAUSE_MILLIS = 250;

    private static final long LONGEST_PAUSE_MILLIS = 2_000;

    /** Denials in a row after which the address is taken to belong to another server; one may cross a move of keys. */
    private static final int DENIALS_BEFORE_PAUSE = 2;
    /** Overdue answers in a row before a server is avoided; one may be a long request. */
    private static final int SILENCES_BEFORE_PAUSE = 2;
    /**
     * Age up to which an answer by which a server states that it is warm is relied on, in milliseconds. Answers take a
     * few milliseconds; this much is for a late event loop or a packet that is lost once.
     */
    public static final long STATEMENT_MILLIS = 250;

    private static final long NEVER = Long.MIN_VALUE / 2;

    /** Failures to reach a server in a row after which it is asked only after a pause; one may be a lost packet. */
    private static final int FAILURES_BEFORE_PAUSE = 2;
    /** Time over which sends are counted, in milliseconds; a cold server bears a number of requests a second. */
    private static final long RECENT_MILLIS = 1_000;

    private Backend backend;
    private final WarmupPacer pacer = new WarmupPacer();
    private final Map<InstanceId, Integer> peerInFlight = new HashMap<>();
    private final ArrayDeque<Long> recentSends = new ArrayDeque<>();
    private int inFlight;
    private int peerTotal;
    private double ratio = 1;
    private double failureRate;
    private LoadReport report;
    private long reportAt;
    /** Until when the server is cold by its listing. */
    private long listedColdUntil = NEVER;
    /** Until when the server is cold by its own statement. */
    private long statedColdUntil = NEVER;
    /** When the server was asked last of those times that it said it is cold. */
    private long statedColdAt = NEVER;
    /** When the server was asked for those statements that it is warm on which no request relied yet. */
    private final ArrayDeque<Long> warmStatements = new ArrayDeque<>();

    private long pausedUntil = Long.MIN_VALUE;
    private long pauseMillis;
    private int silences;
    private int denials;
    private int failuresToReach;

    /** Starts to track a server. */
    public BackendTracker(Backend backend, long now) {
        this.backend = backend;
        this.listedColdUntil = coldUntil(backend.warmupRemainingMillis(), now);
    }

    /** Returns the newest listing of the server. */
    public Backend backend() {
        return backend;
    }

    /** Takes a newer listing of the same life. */
    public void update(Backend newer, long now) {
        backend = newer;
        listedColdUntil = coldUntil(newer.warmupRemainingMillis(), now);
    }

    private static long coldUntil(long remainingMillis, long now) {
        return remainingMillis > 0 ? now + remainingMillis : NEVER;
    }

    /**
     * Takes what the server itself states of its warm-up.
     *
     * @param remainingMillis how much longer the server is cold; 0 if it is warm
     * @param askedAt when the server was asked; its state may have changed since
     */
    public void stated(long remainingMillis, long askedAt, long now) {
        failuresToReach = 0;
        if (remainingMillis > 0) {
            statedColdUntil = Math.max(statedColdUntil, now + remainingMillis);
            statedColdAt = Math.max(statedColdAt, askedAt);
            warmStatements.clear();
        } else if (askedAt > statedColdAt) {
            warmStatements.addLast(askedAt);
        }
    }

    /** Returns whether a request may rely on a recent statement that the server is warm. No other request may then. */
    public boolean takeWarmStatement(long now) {
        warmStatements.removeIf(askedAt -> now - askedAt > STATEMENT_MILLIS);
        return warmStatements.pollFirst() != null;
    }

    /** Returns whether the server is known to be cold. */
    public boolean cold(long now) {
        return now < Math.max(listedColdUntil, statedColdUntil);
    }

    /** Returns for how much longer the server is known to be cold, in milliseconds. */
    public long coldMillis(long now) {
        return cold(now) ? Math.max(listedColdUntil, statedColdUntil) - now : 0;
    }

    /** Returns the pacer for the time in which the server is cold. */
    public WarmupPacer pacer() {
        return pacer;
    }

    /** Counts a request for which the server was chosen. */
    public void chosen() {
        inFlight++;
    }

    /** Counts a request that is written to a connection. */
    public void sent(long now) {
        forgetOldSends(now);
        recentSends.addLast(now);
    }

    /** Returns the number of requests that were sent within the last second. */
    public int recentSends(long now) {
        forgetOldSends(now);
        return recentSends.size();
    }

    private void forgetOldSends(long now) {
        while (!recentSends.isEmpty() && recentSends.peekFirst() <= now - RECENT_MILLIS) {
            recentSends.removeFirst();
        }
    }

    /** Counts a send that was given up or failed without an answer. */
    public void abandoned() {
        inFlight--;
    }

    /** Counts an answer of a request that ran. */
    public void answered(boolean success) {
        inFlight--;
        pauseMillis = 0;
        silences = 0;
        denials = 0;
        failureRate += FAILURE_WEIGHT * ((success ? 0 : 1) - failureRate);
    }

    /**
     * Takes the relative service time of one request, seen here or by a peer. Requests that waited at the server
     * say nothing about its speed and are left out.
     *
     * @param relative time at the usual pace of the machine, divided by the usual time of the route
     */
    public void speedSample(double relative) {
        double newest = Math.max(MIN_RATIO, Math.min(MAX_RATIO, relative));
        ratio += SPEED_WEIGHT * (newest - ratio);
    }

    /**
     * Counts a send that was given up because its answer was overdue. A server that is silent twice in a row is avoided
     * for a while: with nothing in flight it would seem free.
     */
    public void silent(long now) {
        inFlight--;
        failureRate += FAILURE_WEIGHT * (1 - failureRate);
        silences++;
        if (silences >= SILENCES_BEFORE_PAUSE) {
            unreachable(now);
        }
    }

    /** Counts an answer that says that the request did not run. */
    public void refused() {
        inFlight--;
    }

    /** Counts an answer that says that another server has the address, or that the server does not own the key. */
    public void denied(long now) {
        inFlight--;
        denials++;
        if (denies()) {
            unreachable(now);
        }
    }

    /** Returns whether the server denied its newest requests, so that it is asked only after a pause. */
    public boolean denies() {
        return denials >= DENIALS_BEFORE_PAUSE;
    }

    /** Counts a lost connection or a lost answer. */
    public void failed() {
        inFlight--;
        failureRate += FAILURE_WEIGHT * (1 - failureRate);
    }

    /** Avoids the server for a while because it could not be reached. */
    public void unreachable(long now) {
        pauseMillis = pauseMillis == 0 ? FIRST_PAUSE_MILLIS : Math.min(LONGEST_PAUSE_MILLIS, 2 * pauseMillis);
        pausedUntil = now + pauseMillis;
    }

    /** Takes that the server could not be reached, or did not tell its state. */
    public void notReached(long now) {
        failuresToReach++;
        unreachable(now);
    }

    /** Returns whether the server was not reached several times in a row, so that it is asked only after a pause. */
    public boolean outOfReach(long now) {
        return failuresToReach >= FAILURES_BEFORE_PAUSE && paused(now);
    }

    /** Returns whether the server could not be reached shortly before. */
    public boolean paused(long now) {
        return now < pausedUntil;
    }

    /** Returns the length of the newest pause, in milliseconds. */
    public long pauseMillis() {
        return pauseMillis;
    }

    /** Takes a load report that is as old as given. */
    public void report(LoadReport newest, long now, long ageMillis) {
        if (report == null || now - ageMillis >= reportAt) {
            report = newest;
            reportAt = now - ageMillis;
        }
    }

    /** Takes the number of requests that a peer has in flight at the server. */
    public void peerInFlight(InstanceId peer, int count) {
        Integer before = count == 0 ? peerInFlight.remove(peer) : peerInFlight.put(peer, count);
        peerTotal += count - (before == null ? 0 : before);
    }

    /** Forgets a peer that is gone. */
    public void forgetPeer(InstanceId peer) {
        peerInFlight(peer, 0);
    }

    /** Returns the number of requests that this instance has in flight at the server. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns the estimated number of requests at the server, from all instances. */
    public double busy(long now) {
        double known = inFlight + peerTotal;
        if (report == null) {
            return known;
        }
        double trust = Math.pow(0.5, (now - reportAt) / QUEUE_HALF_LIFE_MILLIS);
        return Math.max(known, trust * (report.running() + report.waiting()));
    }

    /** Returns the factor by which work takes longer at the moment because of neighbours. */
    public double pace(long now) {
        if (report == null) {
            return 1;
        }
        double trust = Math.pow(0.5, (now - reportAt) / PACE_HALF_LIFE_MILLIS);
        return 1 + trust * (report.pacePercent() / 100.0 - 1);
    }

    /**
     * Returns the expected time until an answer, in milliseconds.
     *
     * @param usualMillis time that the route usually takes at a free server of usual speed
     */
    public double expectedMillis(double usualMillis, long now) {
        double slots = Math.max(1, backend.slots());
        double busy = busy(now);
        double waiting = Math.max(0, busy + 1 - slots);
        double crowding = 1 + CROWDING * Math.min(1, busy / slots);
        double millis = usualMillis * ratio * (crowding + waiting / slots);
        double slowed = Math.min(millis, PACE_LASTS_MILLIS) * (pace(now) - 1);
        return (millis + slowed) * (1 + FAILURE_PENALTY * failureRate);
    }

    /** Returns the running mean of the service time relative to the usual one. */
    public double ratio() {
        return ratio;
    }
}
