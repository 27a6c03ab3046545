package org.jackdawslip.standins;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * A fake backend server with fenced key grants, slots, cold starts and fault injection.
 *
 * <p>Control paths: {@code POST /grants}, {@code POST /cancel/ATTEMPT}, {@code GET /health},
 * {@code GET /load}, {@code GET /journal} and {@code POST /control}. Requests with any other path run as
 * requests of callers and are recorded in the journal. Thread-safe.
 *
 * <pre>{@code
 * try (BackendServerProcess server = BackendServerProcess.builder().id("ledger-1").start()) {
 *     int port = server.port();
 * }
 * }</pre>
 */
public final class BackendServerProcess implements AutoCloseable {

    private static final long SAMPLE_INTERVAL_MILLIS = 50;
    private static final int MAX_JOURNAL_ENTRIES = 1_000_000;
    private static final String CANCEL = "/cancel/";

    private final BackendServerBuilder settings;
    private final String startId = UUID.randomUUID().toString();
    private final HttpServer server;
    private final ExecutorService executor;
    private final Map<String, CountDownLatch> cancellations = new ConcurrentHashMap<>();

    // Guarded by this.
    private final GrantTable grants;
    private final List<JournalEntry> journal = new ArrayList<>();
    private final Deque<Sample> samples = new ArrayDeque<>();
    private final SplittableRandom random;
    private long journalDropped;
    private int slots;
    private int running;
    private boolean drainRequested;
    private boolean cold;
    private long coldSinceNanos;
    private int coldResponses;
    private long overloadCount;
    private long sheds;
    private long finished;
    private double serviceTimeFactor = 1;
    private long frozenUntilNanos = System.nanoTime();
    private long responsesToDrop;

    BackendServerProcess(BackendServerBuilder settings) {
        this.settings = settings;
        grants = new GrantTable(settings.checksTokens);
        random = new SplittableRandom(settings.seed);
        slots = settings.slots;
        if (!settings.warm) {
            turnCold();
        }
        executor = Executors.newCachedThreadPool(runnable -> {
            Thread thread = new Thread(runnable, "backend-server-" + settings.id);
            thread.setDaemon(true);
            return thread;
        });
        server = HttpSupport.startServer(settings.host, settings.port, executor, this::handle);
    }

    /** Returns a builder with the defaults of the command line. */
    public static BackendServerBuilder builder() {
        return new BackendServerBuilder();
    }

    /** Runs the backend server until the process ends. Prints {@code ready PORT} when it listens. */
    public static void main(String[] args) {
        System.out.println("ready " + BackendServerBuilder.parse(args).start().port());
    }

    /** Returns the port that the backend server listens on. */
    public int port() {
        return server.getAddress().getPort();
    }

    /** Returns the value of the {@code Server-Start-Id} header. */
    public String startId() {
        return startId;
    }

    /**
     * Stops processing for the given milliseconds, like a paused process: calls wait, and grants still
     * expire.
     */
    public synchronized void freeze(long millis) {
        frozenUntilNanos = System.nanoTime() + millis * 1_000_000;
    }

    /** Puts the backend server into the cold state without changing its start id. */
    public synchronized void turnCold() {
        cold = true;
        coldSinceNanos = System.nanoTime();
        coldResponses = 0;
    }

    /** Sets the factor by which service times are multiplied. */
    public synchronized void setServiceTimeFactor(double factor) {
        serviceTimeFactor = factor;
    }

    /** Sets the drain flag of the health response. */
    public synchronized void setDraining(boolean value) {
        drainRequested = value;
    }

    /** Returns the entries of the journal in the order in which the requests started. */
    public synchronized List<Map<String, Object>> journal() {
        return journal.stream().map(JournalEntry::toJson).toList();
    }

    /** Returns the number of requests that exceeded the capacity of the cold backend server. */
    public synchronized long countOverloads() {
        return overloadCount;
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        if (path.equals("/control")) {
            HttpSupport.respond(exchange, 200, applyControl(HttpSupport.readJson(exchange)));
            return;
        }
        if (path.equals("/journal")) {
            HttpSupport.respond(exchange, 200, journalFrom(HttpSupport.queryParameters(exchange)));
            return;
        }
        awaitFreezeEnd();
        exchange.getResponseHeaders().set("Server-Start-Id", startId);
        if (path.equals("/grants")) {
            handleGrantCall(exchange);
        } else if (path.startsWith(CANCEL)) {
            CountDownLatch attempt = cancellations.get(path.substring(CANCEL.length()));
            if (attempt != null) {
                attempt.countDown();
            }
            HttpSupport.respond(exchange, 200, Map.of("cancelled", attempt != null));
        } else if (path.equals("/health")) {
            HttpSupport.respond(exchange, 200, healthReport());
        } else if (path.equals("/load")) {
            HttpSupport.respond(exchange, 200, loadReport());
        } else {
            handleRequest(exchange);
        }
    }

    private void awaitFreezeEnd() {
        while (true) {
            long remainingNanos;
            synchronized (this) {
                remainingNanos = frozenUntilNanos - System.nanoTime();
            }
            if (remainingNanos <= 0 || Thread.currentThread().isInterrupted()) {
                return;
            }
            HttpSupport.sleep(remainingNanos / 1_000_000 + 1);
        }
    }

    private void handleGrantCall(HttpExchange exchange) throws IOException {
        JsonNode body = HttpSupport.readJson(exchange);
        Map<String, Object> response = new LinkedHashMap<>();
        int status;
        synchronized (this) {
            long now = System.nanoTime();
            long expiresNanos = now + body.path("termMillis").asLong() * 1_000_000;
            List<GrantTable.Grant> requested = new ArrayList<>();
            body.path("ranges").forEach(node -> requested.add(GrantTable.Grant.parse(node, expiresNanos)));
            // A renewal that waited in a frozen process must not extend a grant that the sender assumes to be
            // expired.
            boolean late = settings.checksTokens
                    && body.has("notAfterMillis")
                    && now / 1_000_000 > body.get("notAfterMillis").asLong();
            boolean admitted = !late
                    && grants.admitSender(
                            body.path("sender").asText(),
                            Long.parseUnsignedLong(body.path("senderToken").asText()));
            status = admitted ? 200 : 409;
            response.put("startId", startId);
            response.put("nowMillis", now / 1_000_000);
            response.put("sender", grants.sender());
            response.put("senderToken", grants.senderToken());
            if (admitted) {
                List<GrantTable.Grant> refused = grants.replace(requested);
                response.put("grants", toJson(grants.unexpired(now), now));
                response.put("refused", toJson(refused, now));
            } else {
                response.put("reason", late ? "late" : "stale-token");
            }
        }
        HttpSupport.respond(exchange, status, response);
    }

    private static List<Map<String, Object>> toJson(List<GrantTable.Grant> list, long now) {
        return list.stream().map(grant -> grant.toJson(now)).toList();
    }

    private void handleRequest(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String requestId = header(exchange, "Request-Id");
        if (!requestId.isEmpty()) {
            exchange.getResponseHeaders().set("Request-Id", requestId);
        }
        long deadlineMillis = longHeader(exchange, "Request-Deadline", Long.MAX_VALUE);
        CountDownLatch cancelled = new CountDownLatch(1);
        String attemptId = header(exchange, "Attempt-Id");
        JournalEntry entry = null;
        boolean overloaded = false;
        double millis = 0;
        Rejection rejection;
        synchronized (this) {
            rejection = checkAdmission(exchange, deadlineMillis);
            if (rejection == null) {
                running++;
                overloaded = cold && running > settings.coldSlots;
                millis = serviceMillis();
                entry = recordRun(exchange, requestId, attemptId);
                // The lock is held, so no reader of the journal gets the entry before its attempt can be
                // cancelled.
                cancellations.put(attemptId, cancelled);
            }
            if (overloaded) {
                overloadCount++;
                turnCold();
            }
        }
        if (rejection != null) {
            reject(exchange, rejection);
            return;
        }
        String result = overloaded ? "failed" : "interrupted";
        try {
            if (!overloaded) {
                result = execute(millis, deadlineMillis, cancelled);
            }
        } finally {
            cancellations.remove(attemptId, cancelled);
            synchronized (this) {
                running--;
                finished++;
                updateColdState(result);
                entry.complete(result);
            }
        }
        respondToRequest(exchange, result, requestId, body.length);
    }

    /** Waits for the service time, which a freeze prolongs. Returns the result for the journal. */
    private String execute(double millis, long deadlineMillis, CountDownLatch cancelled) {
        try {
            boolean late = millis > deadlineMillis;
            long waitNanos = late ? deadlineMillis * 1_000_000 : (long) (millis * 1_000_000);
            if (cancelled.await(waitNanos, TimeUnit.NANOSECONDS)) {
                return "cancelled";
            }
            awaitFreezeEnd();
            return late ? "deadline" : "done";
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "interrupted";
        }
    }

    private void respondToRequest(HttpExchange exchange, String result, String requestId, int bodyLength)
            throws IOException {
        synchronized (this) {
            if (responsesToDrop > 0) {
                responsesToDrop--;
                return;
            }
        }
        int status =
                switch (result) {
                    case "done" -> 200;
                    case "deadline" -> 504;
                    case "cancelled" -> 499;
                    default -> 500;
                };
        Map<String, Object> response = new LinkedHashMap<>();
        response.put("server", settings.id);
        response.put("requestId", requestId);
        response.put("key", header(exchange, "Key"));
        response.put("path", exchange.getRequestURI().getPath());
        response.put("bodyLength", bodyLength);
        response.put("result", result);
        HttpSupport.respond(exchange, status, response);
    }

    /** Returns the reason for rejecting a request, or null if it may run. The caller holds the lock. */
    private Rejection checkAdmission(HttpExchange exchange, long deadlineMillis) {
        String token = header(exchange, "Fencing-Token");
        if (settings.checksTokens
                && (token.isEmpty()
                        || !grants.admitSender(header(exchange, "Sender"), Long.parseUnsignedLong(token)))) {
            return new Rejection(409, "stale-token");
        }
        String hash = header(exchange, "Key-Hash");
        if (!hash.isEmpty()
                && !grants.owns(
                        Long.parseUnsignedLong(hash, 16), longHeader(exchange, "Range-Token", 0), System.nanoTime())) {
            return new Rejection(409, "not-owner");
        }
        if (deadlineMillis <= 0) {
            return new Rejection(504, "deadline");
        }
        if (running >= slots) {
            sheds++;
            return new Rejection(503, "shed");
        }
        return null;
    }

    private void reject(HttpExchange exchange, Rejection rejection) throws IOException {
        exchange.getResponseHeaders().set("Not-Run", "true");
        Map<String, Object> response = new LinkedHashMap<>();
        response.put("reason", rejection.reason);
        synchronized (this) {
            response.put("sender", grants.sender());
            response.put("senderToken", grants.senderToken());
        }
        response.put("startId", startId);
        HttpSupport.respond(exchange, rejection.status, response);
    }

    private JournalEntry recordRun(HttpExchange exchange, String requestId, String attemptId) {
        Map<String, Object> request = new LinkedHashMap<>();
        request.put("server", settings.id);
        request.put("requestId", requestId);
        request.put("attemptId", attemptId);
        request.put("key", header(exchange, "Key"));
        request.put("keyHash", header(exchange, "Key-Hash"));
        request.put("sender", header(exchange, "Sender"));
        request.put("senderToken", longHeader(exchange, "Fencing-Token", 0));
        request.put("rangeToken", longHeader(exchange, "Range-Token", 0));
        request.put("method", exchange.getRequestMethod());
        request.put("path", exchange.getRequestURI().getPath());
        JournalEntry entry = new JournalEntry(request);
        if (journal.size() < MAX_JOURNAL_ENTRIES) {
            journal.add(entry);
        } else {
            journalDropped++;
        }
        return entry;
    }

    /** Draws a log-normal service time; the Box-Muller transform gives the normal variate. */
    private double serviceMillis() {
        double gaussian =
                Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
        return settings.serviceMillis * Math.exp(settings.serviceSigma * gaussian) * serviceTimeFactor;
    }

    /** Counts a successful response and ends the cold state when both of its minima are reached. */
    private void updateColdState(String result) {
        if (cold && result.equals("done")) {
            coldResponses++;
            boolean longEnough = System.nanoTime() - coldSinceNanos >= settings.coldMillis * 1_000_000;
            cold = !(longEnough && coldResponses >= settings.coldResponses);
        }
    }

    private synchronized Map<String, Object> healthReport() {
        Map<String, Object> response = new LinkedHashMap<>();
        response.put("id", settings.id);
        response.put("status", "ok");
        response.put("draining", drainRequested);
        response.put("startId", startId);
        return response;
    }

    /** Returns the newest sample that is at least as old as the configured lag, or the oldest one. */
    private synchronized Map<String, Object> loadReport() {
        long now = System.nanoTime() / 1_000_000;
        if (samples.isEmpty() || now - samples.peekLast().atMillis >= SAMPLE_INTERVAL_MILLIS) {
            samples.add(new Sample(now, running, finished, sheds));
        }
        Sample sample = samples.peekFirst();
        while (samples.size() > 1 && now - samples.peekFirst().atMillis >= settings.loadLagMillis) {
            sample = samples.removeFirst();
        }
        Map<String, Object> response = new LinkedHashMap<>();
        response.put("running", sample.running);
        response.put("slots", slots);
        response.put("finished", sample.finished);
        response.put("sheds", sample.sheds);
        return response;
    }

    private synchronized Map<String, Object> journalFrom(Map<String, String> query) {
        int from = Math.min(Integer.parseInt(query.getOrDefault("from", "0")), journal.size());
        Map<String, Object> response = new LinkedHashMap<>();
        response.put("next", journal.size());
        response.put("dropped", journalDropped);
        response.put("overloads", overloadCount);
        response.put(
                "runs",
                journal.subList(from, journal.size()).stream()
                        .map(JournalEntry::toJson)
                        .toList());
        return response;
    }

    private synchronized Map<String, Object> applyControl(JsonNode change) {
        if (change.has("freezeMillis")) {
            freeze(change.get("freezeMillis").asLong());
        }
        if (change.path("cold").asBoolean()) {
            turnCold();
        }
        serviceTimeFactor = change.path("straggle").asDouble(serviceTimeFactor);
        drainRequested = change.path("draining").asBoolean(drainRequested);
        slots = change.path("slots").asInt(slots);
        responsesToDrop = change.path("loseAnswers").asLong(responsesToDrop);
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("frozenMillis", Math.max(0, (frozenUntilNanos - System.nanoTime()) / 1_000_000));
        state.put("cold", cold);
        state.put("straggle", serviceTimeFactor);
        state.put("draining", drainRequested);
        state.put("slots", slots);
        state.put("loseAnswers", responsesToDrop);
        state.put("overloads", overloadCount);
        return state;
    }

    private static String header(HttpExchange exchange, String name) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? "" : value;
    }

    private static long longHeader(HttpExchange exchange, String name, long defaultValue) {
        String value = header(exchange, name);
        return value.isEmpty() ? defaultValue : Long.parseLong(value);
    }

    private record Rejection(int status, String reason) {}

    private record Sample(long atMillis, int running, long finished, long sheds) {}
}
