package org.jackdawslip.standins;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * An in-memory fake of the part of Consul's HTTP API that the router uses, with fault injection.
 *
 * <p>Paths: {@code /v1/kv/KEY}, {@code /v1/health/service/NAME},
 * {@code /v1/agent/service/register}, {@code /v1/agent/service/deregister/ID}, {@code GET /calls} and
 * {@code PUT /control}. The modify index grows with each change of a record or registration. Thread-safe.
 *
 * <pre>{@code
 * try (StoreServer store = StoreServer.builder().start()) {
 *     String address = "127.0.0.1:" + store.port();
 * }
 * }</pre>
 */
public final class StoreServer implements AutoCloseable {

    private static final int VALUE_LIMIT_BYTES = 1 << 20;
    private static final long DEFAULT_WAIT_MILLIS = 300_000;
    private static final String KV = "/v1/kv/";
    private static final String HEALTH = "/v1/health/service/";
    private static final String DEREGISTER = "/v1/agent/service/deregister/";

    private final HttpServer server;
    private final ExecutorService executor;

    // Guarded by this.
    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, Long> deletedIndexes = new HashMap<>();
    private final Map<String, JsonNode> registrations = new LinkedHashMap<>();
    private final Deque<Listing> listings = new ArrayDeque<>();
    private final Map<String, Long> callCounts = new LinkedHashMap<>();
    private long index = 1;
    private long waitingWatches;
    private boolean unavailable;
    private long callDelayMillis;
    private long writeResponsesToDrop;
    private boolean listingFrozen;
    private long listingLagMillis;
    private boolean closed;
    /** The number of returns from a copy. */
    private long restores;

    private StoreServer(Builder builder) {
        listingLagMillis = builder.listingLagMillis;
        listings.add(new Listing(0, 1, Map.of()));
        executor = Executors.newCachedThreadPool(runnable -> {
            Thread thread = new Thread(runnable, "store-server");
            thread.setDaemon(true);
            return thread;
        });
        server = HttpSupport.startServer(builder.host, builder.port, executor, this::handle);
    }

    /** Returns a builder for a store on any free loopback port whose listings have no lag. */
    public static Builder builder() {
        return new Builder();
    }

    /** Runs the store until the process ends. Prints {@code ready PORT} when it listens. */
    public static void main(String[] args) {
        ArgumentParser parser = ArgumentParsers.newFor("store-server")
                .build()
                .defaultHelp(true)
                .description("A fake of the published key-value API of Consul.");
        parser.addArgument("--host").setDefault("127.0.0.1").help("address to listen on");
        parser.addArgument("--port").type(Integer.class).setDefault(0).help("port, 0 for any");
        parser.addArgument("--list-lag-millis")
                .type(Long.class)
                .setDefault(2000L)
                .help("age of the returned service listings in milliseconds");
        Namespace arguments = parser.parseArgsOrFail(args);
        StoreServer store = builder()
                .host(arguments.getString("host"))
                .port(arguments.getInt("port"))
                .listingLagMillis(arguments.getLong("list_lag_millis"))
                .start();
        System.out.println("ready " + store.port());
    }

    /** Returns the port that the store listens on. */
    public int port() {
        return server.getAddress().getPort();
    }

    /**
     * While true, closes every connection without running the call, also the connections of waiting watches.
     */
    public synchronized void setDown(boolean value) {
        unavailable = value;
        notifyAll();
    }

    /** Returns a copy of all records and of the index. */
    public synchronized Copy copy() {
        return new Copy(Map.copyOf(entries), Map.copyOf(deletedIndexes), index);
    }

    /**
     * Replaces all records and the index by those of a copy, as after a restore from a snapshot, and closes the
     * connections of waiting watches. Registrations stay, because agents add them again.
     */
    public synchronized void restore(Copy copy) {
        entries.clear();
        entries.putAll(copy.entries);
        deletedIndexes.clear();
        deletedIndexes.putAll(copy.deletedIndexes);
        index = copy.index;
        restores++;
        notifyAll();
    }

    /** Sets the delay before every call, in milliseconds. */
    public synchronized void setCallDelayMillis(long value) {
        callDelayMillis = value;
    }

    /**
     * Closes the connections of the next {@code count} writes and registrations without a response; the
     * writes take effect.
     */
    public synchronized void dropWriteResponses(long count) {
        writeResponsesToDrop = count;
    }

    /** While true, calls return the same service listing regardless of new registrations. */
    public synchronized void setListingFrozen(boolean value) {
        listingFrozen = value;
    }

    /**
     * Returns the number of calls of each kind, their sum as {@code total}, and the current watches as
     * {@code waiting}.
     */
    public synchronized Map<String, Long> callCountsByKind() {
        Map<String, Long> result = new LinkedHashMap<>();
        for (String kind : List.of("reads", "writes", "watches", "lists", "registrations")) {
            result.put(kind, callCounts.getOrDefault(kind, 0L));
        }
        result.put("total", result.values().stream().mapToLong(Long::longValue).sum());
        result.put("waiting", waitingWatches);
        return result;
    }

    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        server.stop(0);
        executor.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        if (path.equals("/calls")) {
            HttpSupport.respond(exchange, 200, callCountsByKind());
        } else if (path.equals("/control")) {
            HttpSupport.respond(exchange, 200, applyControl(HttpSupport.readJson(exchange)));
        } else if (!delayAndCheckUnavailable()) {
            route(exchange, path);
        }
    }

    /**
     * Delays a call as configured, then returns whether the store is unavailable. If it is, the handler
     * returns without a response, which closes the connection.
     */
    private boolean delayAndCheckUnavailable() {
        long delayMillis;
        synchronized (this) {
            delayMillis = callDelayMillis;
        }
        HttpSupport.sleep(delayMillis);
        synchronized (this) {
            return unavailable;
        }
    }

    private void route(HttpExchange exchange, String path) throws IOException {
        String method = exchange.getRequestMethod();
        if (path.startsWith(KV) && method.equals("GET")) {
            read(exchange, path.substring(KV.length()));
        } else if (path.startsWith(KV) && method.equals("PUT")) {
            write(exchange, path.substring(KV.length()));
        } else if (path.startsWith(KV) && method.equals("DELETE")) {
            delete(exchange, path.substring(KV.length()));
        } else if (path.startsWith(HEALTH) && method.equals("GET")) {
            list(exchange, path.substring(HEALTH.length()));
        } else if (path.equals("/v1/agent/service/register") && method.equals("PUT")) {
            register(exchange);
        } else if (path.startsWith(DEREGISTER) && method.equals("PUT")) {
            deregister(exchange, path.substring(DEREGISTER.length()));
        } else {
            HttpSupport.respond(exchange, 404, Map.of("error", "no such path: " + method + " " + path));
        }
    }

    private synchronized Map<String, Object> applyControl(JsonNode change) {
        unavailable = change.path("down").asBoolean(unavailable);
        callDelayMillis = change.path("slowMillis").asLong(callDelayMillis);
        writeResponsesToDrop = change.path("loseWriteAnswers").asLong(writeResponsesToDrop);
        listingFrozen = change.path("listFrozen").asBoolean(listingFrozen);
        listingLagMillis = change.path("listLagMillis").asLong(listingLagMillis);
        notifyAll();
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("down", unavailable);
        state.put("slowMillis", callDelayMillis);
        state.put("loseWriteAnswers", writeResponsesToDrop);
        state.put("listFrozen", listingFrozen);
        state.put("listLagMillis", listingLagMillis);
        return state;
    }

    private void read(HttpExchange exchange, String key) throws IOException {
        Map<String, String> query = HttpSupport.queryParameters(exchange);
        Entry entry;
        long modifyIndex;
        synchronized (this) {
            if (query.containsKey("index")) {
                long deadlineNanos = System.nanoTime() + waitMillis(query) * 1_000_000;
                if (!awaitChange(key, Long.parseLong(query.get("index")), deadlineNanos)) {
                    return;
                }
            } else {
                countCall("reads");
            }
            entry = entries.get(key);
            modifyIndex = indexOf(key);
        }
        exchange.getResponseHeaders().set("X-Consul-Index", Long.toString(modifyIndex));
        if (entry == null) {
            HttpSupport.respond(exchange, 404, new byte[0]);
            return;
        }
        Map<String, Object> response = new LinkedHashMap<>();
        response.put("LockIndex", 0);
        response.put("Key", key);
        response.put("Flags", 0);
        response.put("Value", Base64.getEncoder().encodeToString(entry.value));
        response.put("CreateIndex", entry.createIndex);
        response.put("ModifyIndex", entry.modifyIndex);
        HttpSupport.respond(exchange, 200, List.of(response));
    }

    /**
     * Waits until the index of the key exceeds {@code knownIndex} or the deadline passes. Returns false if
     * the store is unavailable or closed, so that the connection must be closed. The caller holds the lock.
     */
    private boolean awaitChange(String key, long knownIndex, long deadlineNanos) {
        countCall("watches");
        waitingWatches++;
        long restoresBefore = restores;
        try {
            while (!unavailable && !closed && restores == restoresBefore && indexOf(key) <= knownIndex) {
                long remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
                if (remainingMillis <= 0) {
                    return true;
                }
                wait(remainingMillis);
            }
            return !unavailable && !closed && restores == restoresBefore;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } finally {
            waitingWatches--;
        }
    }

    private long indexOf(String key) {
        Entry entry = entries.get(key);
        return entry != null ? entry.modifyIndex : deletedIndexes.getOrDefault(key, 1L);
    }

    private void write(HttpExchange exchange, String key) throws IOException {
        byte[] value = exchange.getRequestBody().readAllBytes();
        if (value.length > VALUE_LIMIT_BYTES) {
            HttpSupport.respond(
                    exchange,
                    413,
                    Map.of("error", "value of " + value.length + " bytes is above " + VALUE_LIMIT_BYTES));
            return;
        }
        String expected = HttpSupport.queryParameters(exchange).get("cas");
        boolean applied;
        boolean dropResponse;
        synchronized (this) {
            countCall("writes");
            Entry old = entries.get(key);
            applied = expected == null || Long.parseLong(expected) == (old == null ? 0 : old.modifyIndex);
            if (applied) {
                index++;
                entries.put(key, new Entry(value, old == null ? index : old.createIndex, index));
                notifyAll();
            }
            dropResponse = takeResponseDrop();
        }
        if (!dropResponse) {
            HttpSupport.respond(exchange, 200, (Object) applied);
        }
    }

    private void delete(HttpExchange exchange, String key) throws IOException {
        String expected = HttpSupport.queryParameters(exchange).get("cas");
        boolean applied;
        boolean dropResponse;
        synchronized (this) {
            countCall("writes");
            Entry old = entries.get(key);
            applied = expected == null || old == null || Long.parseLong(expected) == old.modifyIndex;
            if (applied && old != null) {
                index++;
                entries.remove(key);
                deletedIndexes.put(key, index);
                notifyAll();
            }
            dropResponse = takeResponseDrop();
        }
        if (!dropResponse) {
            HttpSupport.respond(exchange, 200, (Object) applied);
        }
    }

    /**
     * Returns whether the response of this write must not be sent, and counts the dropped response. The
     * caller holds the lock.
     */
    private boolean takeResponseDrop() {
        if (writeResponsesToDrop > 0) {
            writeResponsesToDrop--;
            return true;
        }
        return false;
    }

    private void register(HttpExchange exchange) throws IOException {
        JsonNode body = HttpSupport.readJson(exchange);
        String name = body.path("Name").asText();
        if (name.isEmpty()) {
            throw new IllegalArgumentException("Name is missing");
        }
        boolean dropResponse;
        synchronized (this) {
            countCall("registrations");
            registrations.put(body.path("ID").asText(name), body);
            recordListing();
            dropResponse = takeResponseDrop();
        }
        if (!dropResponse) {
            HttpSupport.respond(exchange, 200, new byte[0]);
        }
    }

    private void deregister(HttpExchange exchange, String id) throws IOException {
        boolean dropResponse;
        synchronized (this) {
            countCall("registrations");
            registrations.remove(id);
            recordListing();
            dropResponse = takeResponseDrop();
        }
        if (!dropResponse) {
            HttpSupport.respond(exchange, 200, new byte[0]);
        }
    }

    private void recordListing() {
        index++;
        listings.add(new Listing(System.nanoTime() / 1_000_000, index, Map.copyOf(registrations)));
    }

    /** Responds with the newest listing that is at least as old as the lag, and removes older ones. */
    private void list(HttpExchange exchange, String service) throws IOException {
        Listing listing;
        synchronized (this) {
            countCall("lists");
            long newestMillis = System.nanoTime() / 1_000_000 - listingLagMillis;
            Listing first = listings.peekFirst();
            while (!listingFrozen && listings.size() > 1) {
                listings.removeFirst();
                if (listings.peekFirst().atMillis > newestMillis) {
                    listings.addFirst(first);
                    break;
                }
                first = listings.peekFirst();
            }
            listing = listings.peekFirst();
        }
        List<Object> response = new ArrayList<>();
        listing.instances.forEach((id, body) -> {
            if (body.path("Name").asText().equals(service)) {
                response.add(healthEntry(id, body));
            }
        });
        exchange.getResponseHeaders().set("X-Consul-Index", Long.toString(listing.index));
        HttpSupport.respond(exchange, 200, response);
    }

    private static Map<String, Object> healthEntry(String id, JsonNode body) {
        String address = body.path("Address").asText("127.0.0.1");
        Map<String, Object> service = new LinkedHashMap<>();
        service.put("ID", id);
        service.put("Service", body.path("Name").asText());
        service.put("Address", address);
        service.put("Port", body.path("Port").asInt());
        service.put("Meta", body.has("Meta") ? body.get("Meta") : Map.of());
        service.put("Tags", body.has("Tags") ? body.get("Tags") : List.of());
        return Map.of(
                "Node",
                Map.of("Node", id, "Address", address),
                "Service",
                service,
                "Checks",
                List.of(Map.of("CheckID", "service:" + id, "ServiceID", id, "Status", "passing")));
    }

    private static long waitMillis(Map<String, String> query) {
        String waitText = query.get("wait");
        if (waitText == null || waitText.isEmpty()) {
            return DEFAULT_WAIT_MILLIS;
        }
        if (waitText.endsWith("ms")) {
            return Long.parseLong(waitText.substring(0, waitText.length() - 2));
        }
        long value = Long.parseLong(waitText.substring(0, waitText.length() - 1));
        return waitText.endsWith("m") ? value * 60_000 : value * 1000;
    }

    private void countCall(String kind) {
        callCounts.merge(kind, 1L, Long::sum);
    }

    /** The records and the index of a store at one moment. Immutable and thread-safe. */
    public static final class Copy {
        private final Map<String, Entry> entries;
        private final Map<String, Long> deletedIndexes;
        private final long index;

        private Copy(Map<String, Entry> entries, Map<String, Long> deletedIndexes, long index) {
            this.entries = entries;
            this.deletedIndexes = deletedIndexes;
            this.index = index;
        }
    }

    private record Entry(byte[] value, long createIndex, long modifyIndex) {}

    private record Listing(long atMillis, long index, Map<String, JsonNode> instances) {}

    /** Builds a {@link StoreServer}. Not thread-safe. */
    public static final class Builder {

        private String host = "127.0.0.1";
        private int port;
        private long listingLagMillis;

        private Builder() {}

        /** Sets the address to listen on. */
        public Builder host(String value) {
            host = value;
            return this;
        }

        /** Sets the port to listen on; 0 selects a free port. */
        public Builder port(int value) {
            port = value;
            return this;
        }

        /** Sets the age of the returned service listings, in milliseconds. */
        public Builder listingLagMillis(long value) {
            listingLagMillis = value;
            return this;
        }

        /**
         * Starts the store.
         *
         * @throws java.io.UncheckedIOException if the port is in use
         */
        public StoreServer start() {
            return new StoreServer(this);
        }
    }
}
