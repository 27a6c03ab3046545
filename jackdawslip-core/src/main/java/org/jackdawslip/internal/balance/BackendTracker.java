package org.jackdawslip.internal.balance;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

import org.jackdawslip.InstanceId;

/**
 * Load, speed and health of one backend server as observed by this instance.
 *
 * <p>Invariant: the in-flight count is the number of requests for which the server was chosen and that have
 * neither received a response nor been abandoned. All times and durations are in milliseconds. Not
 * thread-safe.
 */
public final class BackendTracker {

    /** Half-life of a reported slowdown. Noisy neighbours on the host come and go within about 400 ms. */
    private static final double SLOWDOWN_HALF_LIFE_MILLIS = 300;
    /** Half-life of the request counts in a load report. */
    private static final double LOAD_REPORT_HALF_LIFE_MILLIS = 100;
    /** Average duration of a reported slowdown. Work beyond it is expected to take its usual time. */
    private static final double SLOWDOWN_DURATION_MILLIS = 250;
    /** Relative increase of the service time when all slots of the server are in use. */
    private static final double FULL_SLOTS_SLOWDOWN = 0.1;
    /** Relative increase of the expected response time for a failure rate of 1. */
    private static final double FAILURE_PENALTY = 3;
    /** Weight of the newest sample in the mean of the relative service time. */
    private static final double SERVICE_TIME_WEIGHT = 0.07;
    /** Weight of the newest outcome in the mean of the failure rate. */
    private static final double FAILURE_WEIGHT = 0.15;
    /** Bounds of a relative service time, so that a few outliers do not exclude a server. */
    private static final double MIN_RELATIVE_SERVICE_TIME = 0.35;

    private static final double MAX_RELATIVE_SERVICE_TIME = 6;
    /** First pause after failures of a server. Each further pause doubles, up to the longest pause. */
    private static final long FIRST_PAUSE_MILLIS = 250;

    private static final long MAX_PAUSE_MILLIS = 2_000;

    /**
     * Consecutive rejections after which the address is assumed to belong to another server. A single
     * rejection may be caused by a concurrent move of keys.
     */
    private static final int REJECTIONS_BEFORE_PAUSE = 2;
    /** Consecutive overdue responses before a server is paused. A single one may be a long request. */
    private static final int OVERDUE_BEFORE_PAUSE = 2;
    /**
     * Age up to which a state report that the server is warm is valid. Reports take a few milliseconds; the
     * rest allows for a delayed event loop or one retransmitted packet.
     */
    public static final long STATE_REPORT_MAX_AGE_MILLIS = 250;

    private static final long IN_THE_PAST = Long.MIN_VALUE / 2;

    /** Consecutive failures to reach a server before its pause excludes it. One may be a lost packet. */
    private static final int UNREACHABLE_BEFORE_PAUSE = 2;
    /** Window of the attempt count. The capacity of a cold server is given in requests per second. */
    private static final long RECENT_ATTEMPTS_WINDOW_MILLIS = 1_000;

    private Backend backend;
    private final WarmupPacer pacer = new WarmupPacer();
    private final Map<InstanceId, Integer> inFlightByPeer = new HashMap<>();
    private final ArrayDeque<Long> recentAttemptTimes = new ArrayDeque<>();
    private int inFlight;
    private int peersInFlight;
    private long bytesInTransit;
    /** Mean service time relative to the usual one of the route. */
    private double relativeServiceTime = 1;

    private double failureRate;
    private LoadReport loadReport;
    private long loadReportedAt;
    /** End of the warm-up according to the listing. */
    private long listedColdUntil = IN_THE_PAST;
    /** End of the warm-up according to the state reports. */
    private long reportedColdUntil = IN_THE_PAST;
    /** Time of the latest state probe to which the server reported that it is cold. */
    private long lastColdProbeAt = IN_THE_PAST;
    /** Times of the state probes whose reports that the server is warm have not been used by a request. */
    private final ArrayDeque<Long> unusedWarmReports = new ArrayDeque<>();

    private long pausedUntil = Long.MIN_VALUE;
    private long pauseMillis;
    private int consecutiveOverdue;
    private int consecutiveRejections;
    private int consecutiveUnreachable;
    /** Whether the server stated that it is shutting down. It does not take this back. */
    private boolean leaving;
    /** End of the time for which the server asked this instance for no requests. */
    private long requestedPauseUntil = IN_THE_PAST;

    /** Creates a tracker for an incarnation of a server. */
    public BackendTracker(Backend backend, long now) {
        this.backend = backend;
        this.listedColdUntil = coldUntil(backend.warmupRemainingMillis(), now);
    }

    /** Returns the newest listing of the server. */
    public Backend backend() {
        return backend;
    }

    /** Replaces the listing by a newer one of the same incarnation. */
    public void update(Backend newer, long now) {
        backend = newer;
        listedColdUntil = coldUntil(newer.warmupRemainingMillis(), now);
    }

    private static long coldUntil(long remainingMillis, long now) {
        return remainingMillis > 0 ? now + remainingMillis : IN_THE_PAST;
    }

    /**
     * Records a state report.
     *
     * @param remainingMillis remaining time of the warm-up in milliseconds; 0 if the server is warm
     * @param probedAt when the state probe was sent; the state of the server may have changed since
     */
    public void recordStateReport(long remainingMillis, long probedAt, long now) {
        consecutiveUnreachable = 0;
        if (remainingMillis > 0) {
            reportedColdUntil = Math.max(reportedColdUntil, now + remainingMillis);
            lastColdProbeAt = Math.max(lastColdProbeAt, probedAt);
            unusedWarmReports.clear();
        } else if (probedAt > lastColdProbeAt) {
            unusedWarmReports.addLast(probedAt);
        }
    }

    /** Uses up one recent report that the server is warm for one request. Returns false if there is none. */
    public boolean useWarmReport(long now) {
        unusedWarmReports.removeIf(probedAt -> now - probedAt > STATE_REPORT_MAX_AGE_MILLIS);
        return unusedWarmReports.pollFirst() != null;
    }

    /** Returns whether the server is known to be cold. */
    public boolean cold(long now) {
        return now < Math.max(listedColdUntil, reportedColdUntil);
    }

    /** Returns the remaining time for which the server is known to be cold, or 0 if it is not. */
    public long remainingColdMillis(long now) {
        return cold(now) ? Math.max(listedColdUntil, reportedColdUntil) - now : 0;
    }

    /** Returns the rate limiter for requests while the server is cold. */
    public WarmupPacer pacer() {
        return pacer;
    }

    /** Counts a request for which the server was chosen. */
    public void recordChosen() {
        inFlight++;
    }

    /** Counts an attempt when its request is written to a connection. */
    public void recordSent(long now) {
        removeOldAttempts(now);
        recentAttemptTimes.addLast(now);
    }

    /** Returns the number of attempts sent within the last second. */
    public int recentAttempts(long now) {
        removeOldAttempts(now);
        return recentAttemptTimes.size();
    }

    private void removeOldAttempts(long now) {
        while (!recentAttemptTimes.isEmpty() && recentAttemptTimes.peekFirst() <= now - RECENT_ATTEMPTS_WINDOW_MILLIS) {
            recentAttemptTimes.removeFirst();
        }
    }

    /** Records that an attempt was abandoned or failed without a response. */
    public void recordAbandoned() {
        inFlight--;
    }

    /** Records the response of a request that ran. */
    public void recordResponse(boolean success) {
        inFlight--;
        pauseMillis = 0;
        consecutiveOverdue = 0;
        consecutiveRejections = 0;
        failureRate += FAILURE_WEIGHT * ((success ? 0 : 1) - failureRate);
    }

    /**
     * Adds the relative service time of one request, measured by this instance or by a peer. Requests that
     * waited in the queue of the server must be left out, because their duration does not depend on its speed
     * alone.
     *
     * @param relative service time, corrected for a temporary slowdown, divided by the usual time of the
     *     route
     */
    public void addServiceTimeSample(double relative) {
        double newest = Math.max(MIN_RELATIVE_SERVICE_TIME, Math.min(MAX_RELATIVE_SERVICE_TIME, relative));
        relativeServiceTime += SERVICE_TIME_WEIGHT * (newest - relativeServiceTime);
    }

    /**
     * Records that an attempt was abandoned because its response was overdue. Consecutive overdue responses
     * start a pause: without requests in flight, an unresponsive server would appear to be idle.
     */
    public void recordOverdue(long now) {
        inFlight--;
        failureRate += FAILURE_WEIGHT * (1 - failureRate);
        consecutiveOverdue++;
        if (consecutiveOverdue >= OVERDUE_BEFORE_PAUSE) {
            startPause(now);
        }
    }

    /** Records a response that reports that the request did not run. */
    public void recordNotRun() {
        inFlight--;
    }

    /** Records a rejection: another server has the address, or the server does not own the key. */
    public void recordRejection(long now) {
        inFlight--;
        consecutiveRejections++;
        if (rejectsRequests()) {
            startPause(now);
        }
    }

    /** Returns whether the server rejected its newest requests, so that it is not used during a pause. */
    public boolean rejectsRequests() {
        return consecutiveRejections >= REJECTIONS_BEFORE_PAUSE;
    }

    /** Records a lost connection or a lost response. */
    public void recordLostResponse() {
        inFlight--;
        failureRate += FAILURE_WEIGHT * (1 - failureRate);
    }

    /**
     * Starts a pause of the server, twice as long as the previous one unless a response arrived in between.
     */
    public void startPause(long now) {
        pauseMillis = pauseMillis == 0 ? FIRST_PAUSE_MILLIS : Math.min(MAX_PAUSE_MILLIS, 2 * pauseMillis);
        pausedUntil = now + pauseMillis;
    }

    /** Records that the server could not be reached or did not respond to a state probe. */
    public void recordUnreachable(long now) {
        consecutiveUnreachable++;
        startPause(now);
    }

    /** Returns whether the server was unreachable several times in a row and its pause has not ended. */
    public boolean repeatedlyUnreachable(long now) {
        return consecutiveUnreachable >= UNREACHABLE_BEFORE_PAUSE && paused(now);
    }

    /** Records that the server stated that it is shutting down; returns whether this was not known. */
    public boolean recordLeaving() {
        boolean news = !leaving;
        leaving = true;
        return news;
    }

    /** Returns whether the server stated that it is shutting down. */
    public boolean leaving() {
        return leaving;
    }

    /**
     * Records that the server asked this instance for no requests for some time. A shorter time does not end an
     * earlier pause.
     */
    public void recordRequestedPause(long millis, long now) {
        requestedPauseUntil = Math.max(requestedPauseUntil, now + millis);
    }

    /** Returns for how much longer the server asked for no requests, in milliseconds; 0 if it does not. */
    public long requestedPauseMillis(long now) {
        return Math.max(0, requestedPauseUntil - now);
    }

    /** Returns whether the server is in a pause after failures. */
    public boolean paused(long now) {
        return now < pausedUntil;
    }

    /** Returns the length of the newest pause, in milliseconds. */
    public long pauseMillis() {
        return pauseMillis;
    }

    /** Records a load report that was made {@code ageMillis} before now, unless a newer one is known. */
    public void recordLoadReport(LoadReport newest, long now, long ageMillis) {
        if (loadReport == null || now - ageMillis >= loadReportedAt) {
            loadReport = newest;
            loadReportedAt = now - ageMillis;
        }
    }

    /** Sets the number of requests that a peer has in flight at the server. */
    public void setPeerInFlight(InstanceId peer, int count) {
        Integer previous = count == 0 ? inFlightByPeer.remove(peer) : inFlightByPeer.put(peer, count);
        peersInFlight += count - (previous == null ? 0 : previous);
    }

    /** Removes the requests in flight of a peer that is no longer live. */
    public void removePeer(InstanceId peer) {
        setPeerInFlight(peer, 0);
    }

    /** Returns the number of requests that this instance has in flight at the server. */
    public int inFlight() {
        return inFlight;
    }

    /** Adds the bytes of a request or of an unread response that the server holds; negative if they are released. */
    public void addBytesInTransit(long bytes) {
        bytesInTransit += bytes;
    }

    /** Returns the bytes of requests and unread responses of this instance that the server holds. */
    public long bytesInTransit() {
        return bytesInTransit;
    }

    /** Returns the estimated number of requests of all instances at the server, running or waiting. */
    public double estimatedRequests(long now) {
        double knownInFlight = inFlight + peersInFlight;
        if (loadReport == null) {
            return knownInFlight;
        }
        double weight = Math.pow(0.5, (now - loadReportedAt) / LOAD_REPORT_HALF_LIFE_MILLIS);
        return Math.max(knownInFlight, weight * (loadReport.running() + loadReport.waiting()));
    }

    /**
     * Returns the current factor by which work takes longer because of other load on the host of the server.
     */
    public double slowdownFactor(long now) {
        if (loadReport == null) {
            return 1;
        }
        double weight = Math.pow(0.5, (now - loadReportedAt) / SLOWDOWN_HALF_LIFE_MILLIS);
        return 1 + weight * (loadReport.slowdownPercent() / 100.0 - 1);
    }

    /**
     * Returns the expected time until a response, in milliseconds.
     *
     * @param usualMillis usual response time of the route at an idle server of usual speed, in milliseconds
     */
    public double expectedResponseMillis(double usualMillis, long now) {
        double slots = Math.max(1, backend.slots());
        double requests = estimatedRequests(now);
        double waiting = Math.max(0, requests + 1 - slots);
        double serviceTimeFactor = 1 + FULL_SLOTS_SLOWDOWN * Math.min(1, requests / slots);
        double millis = usualMillis * relativeServiceTime * (serviceTimeFactor + waiting / slots);
        double slowdownMillis = Math.min(millis, SLOWDOWN_DURATION_MILLIS) * (slowdownFactor(now) - 1);
        return (millis + slowdownMillis) * (1 + FAILURE_PENALTY * failureRate);
    }

    /** Returns the mean of the relative service times; above 1 the server is slower than usual. */
    public double relativeServiceTime() {
        return relativeServiceTime;
    }
}
