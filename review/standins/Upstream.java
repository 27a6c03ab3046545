package org.jackdawslip.platform;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * An upstream as the platform's pages describe it: a listing that it writes at each ping, a health path, requests that
 * take the time named in their path, and, for a service with keys, grants and releases. It can crash and start again
 * under its id and address. Thread-safe.
 */
class Upstream {

    static final int SLOTS = 3;
    static final int KEYS = 65_536;
    private static final long WARMUP_MILLIS = 3_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** A request or call as received; header names are in lower case. */
    static final class Message {
        final String method;
        final String path;
        final Map<String, String> headers;
        final byte[] body;

        Message(String method, String path, Map<String, String> headers, byte[] body) {
            this.method = method;
            this.path = path;
            this.headers = headers;
            this.body = body;
        }

        String id() {
            return headers.get("request-id");
        }
    }

    /** One life of the upstream: what it holds and runs ends with it. */
    final class Life {
        final long born = System.currentTimeMillis();
        final String name = id + "@" + born;
        final long[] heldUntil = new long[KEYS];
        final long[] fences = new long[KEYS];
        final int[] running = new int[KEYS];
        final AtomicInteger work = new AtomicInteger();
        final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        final boolean startsCold;
        volatile boolean up = true;
        volatile ServerSocket listener;

        Life(boolean startsCold) {
            this.startsCold = startsCold;
        }

        long coldMillis() {
            return startsCold ? Math.max(0, born + WARMUP_MILLIS - System.currentTimeMillis()) : 0;
        }
    }

    /** Learns of each accepted grant, under the lock of the keys. */
    interface GrantListener {
        void onGrant(Life life, int from, int target, long fence);
    }

    final Trial trial;
    final String id;
    final String service;
    final int port;
    volatile Life life;
    /** Whether the store can be reached, so that pings are written. */
    volatile boolean reachesStore = true;

    volatile String state = "ready";
    final AtomicInteger answers = new AtomicInteger();
    private final GrantListener grantListener;
    private final Object keys;
    private volatile boolean ended;
    private long sequence;
    private String lastListing = "";

    /**
     * Creates an upstream that is not started.
     *
     * @param keys the lock of the keys of all upstreams of the service
     */
    Upstream(Trial trial, String id, String service, Object keys, GrantListener grantListener) {
        this.trial = trial;
        this.id = id;
        this.service = service;
        this.keys = keys;
        this.grantListener = grantListener;
        this.port = trial.freePort(1);
    }

    /** Starts a life and writes pings from now on. */
    void start(boolean cold) throws IOException {
        startLife(cold);
        Thread pings = new Thread(this::ping, "ping " + id);
        pings.setDaemon(true);
        pings.start();
    }

    private void startLife(boolean cold) throws IOException {
        Life started = new Life(cold);
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 200);
        started.listener = listener;
        life = started;
        trial.record("upstream " + started.name + " starts");
        Thread acceptor = new Thread(() -> accept(started), "accept " + id);
        acceptor.setDaemon(true);
        acceptor.start();
    }

    /** Ends the life at once: connections are reset, and what was held and run is gone. */
    void crash() throws IOException {
        Life crashed = life;
        synchronized (keys) {
            crashed.up = false;
        }
        trial.record("upstream " + crashed.name + " crashes");
        crashed.listener.close();
        for (Socket socket : crashed.sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** Starts again after a crash, under the same id and address. */
    void restart() throws IOException {
        startLife(true);
    }

    void end() {
        ended = true;
    }

    private void ping() {
        try {
            while (!ended) {
                writePing();
                Thread.sleep(Trial.HEARTBEAT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes the entry, if it changed in more than its sequence, as the store keeps it. */
    synchronized void writePing() {
        Life current = life;
        if (!reachesStore || !current.up) {
            return;
        }
        String entry = listing(current);
        if (!entry.equals(lastListing)) {
            lastListing = entry;
            trial.store.put("servers/" + id, entry);
            trial.record("store has entry of " + current.name + ": " + state);
        }
    }

    /** Returns the entry of a life; its sequence is left out of comparisons by staying the same. */
    String listing(Life of) {
        return "{\"address\":\"127.0.0.1:" + port + "\",\"born\":" + of.born + ",\"information\":{\"service\":\"" + service
                + "\",\"version\":\"v1\",\"zone\":\"a\",\"slots\":" + SLOTS + "},\"status\":{\"state\":\"" + state
                + "\",\"sequence\":4,\"warmup_remaining_ms\":" + of.coldMillis() + "}}";
    }

    /** The store carried out another write of the entry, so the next ping is a change again. */
    synchronized void forgetLastListing() {
        lastListing = "";
    }

    private void accept(Life of) {
        try {
            while (of.up) {
                Socket socket = of.listener.accept();
                Thread thread = new Thread(() -> serve(of, socket), "serve " + id);
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException e) {
            // The life has ended.
            return;
        }
    }

    private void serve(Life of, Socket socket) {
        of.sockets.add(socket);
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Connection connection = new Connection(of, socket);
            for (Message message = read(in); message != null && of.up; message = read(in)) {
                if (!handle(of, connection, message)) {
                    return;
                }
            }
        } catch (IOException | InterruptedException e) {
            // The connection or the life has ended.
            return;
        } finally {
            of.sockets.remove(socket);
        }
    }

    /** A connection and the last answer written on it. */
    final class Connection {
        final Life life;
        final Socket socket;
        volatile byte[] lastAnswer;

        Connection(Life life, Socket socket) {
            this.life = life;
            this.socket = socket;
        }

        void answer(int status, String headers, byte[] body) throws IOException {
            byte[] head = ("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
            byte[] answer = new byte[head.length + body.length];
            System.arraycopy(head, 0, answer, 0, head.length);
            System.arraycopy(body, 0, answer, head.length, body.length);
            lastAnswer = answer;
            answers.incrementAndGet();
            write(answer);
        }

        void write(byte[] bytes) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(bytes);
            out.flush();
        }
    }

    private static Message read(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        String[] words = line.split(" ");
        return body.length < length ? null : new Message(words[0], words[1], headers, body);
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    private boolean handle(Life of, Connection connection, Message message) throws IOException, InterruptedException {
        String echo = message.id() == null ? "" : "Request-Id: " + message.id() + "\r\n";
        String expected = message.headers.getOrDefault("expected-instance", id);
        if (!expected.equals(id)) {
            connection.answer(421, echo + "Not-Executed: 1\r\nInstance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        if (message.path.equals("/health")) {
            String cold = of.coldMillis() > 0 ? "Warmup-Remaining-Ms: " + of.coldMillis() + "\r\n" : "";
            connection.answer(
                    state.equals("ready") ? 200 : 503,
                    echo + "Instance-Id: " + id + "\r\n" + load(of) + cold,
                    new byte[0]);
            return true;
        }
        if (message.path.equals("/v1/grant")) {
            grant(of, connection, message, echo);
            return true;
        }
        if (message.path.equals("/v1/release")) {
            release(of, connection, message, echo);
            return true;
        }
        return run(of, connection, message, echo);
    }

    String load(Life of) {
        return "Server-Load: " + Math.min(SLOTS, of.work.get()) + "," + Math.max(0, of.work.get() - SLOTS) + "," + SLOTS
                + ",100\r\n";
    }

    private void grant(Life of, Connection connection, Message message, String echo) throws IOException {
        JsonNode call = MAPPER.readTree(message.body);
        int from = call.path("from").asInt();
        int target = call.path("target").asInt();
        long fence = call.path("fence").asLong();
        int status = 200;
        synchronized (keys) {
            for (int key = from; key <= target; key++) {
                status = of.fences[key] > fence ? 409 : status;
            }
            if (status == 200) {
                long until = System.nanoTime() + call.path("hold_ms").asLong() * 1_000_000;
                for (int key = from; key <= target; key++) {
                    of.fences[key] = fence;
                    of.heldUntil[key] = until;
                }
                grantListener.onGrant(of, from, target, fence);
            }
        }
        trial.record("grant " + from + "-" + target + " fence " + fence + " at " + of.name + ": " + status);
        connection.answer(status, echo, new byte[0]);
    }

    private void release(Life of, Connection connection, Message message, String echo)
            throws IOException, InterruptedException {
        JsonNode call = MAPPER.readTree(message.body);
        int from = call.path("from").asInt();
        int target = call.path("target").asInt();
        boolean busy;
        synchronized (keys) {
            for (int key = from; key <= target; key++) {
                of.heldUntil[key] = 0;
            }
            busy = isBusy(of, from, target);
        }
        trial.record("release " + from + "-" + target + " fence " + call.path("fence").asLong() + " at " + of.name
                + (busy ? ", work is running" : ""));
        beforeReleaseAnswer(connection, busy);
        synchronized (keys) {
            while (isBusy(of, from, target)) {
                keys.wait(50);
            }
        }
        trial.record("release " + from + "-" + target + " at " + of.name + " is answered");
        connection.answer(200, echo + "Handover: " + of.born + "-" + from + "\r\n", new byte[0]);
    }

    /** Runs when a release has arrived, before its answer; for disruptions. */
    void beforeReleaseAnswer(Connection connection, boolean busy) throws IOException {}

    private static boolean isBusy(Life of, int from, int target) {
        for (int key = from; key <= target; key++) {
            if (of.running[key] > 0) {
                return true;
            }
        }
        return false;
    }

    /** Runs a request for the milliseconds that end its path. */
    boolean run(Life of, Connection connection, Message message, String echo) throws IOException, InterruptedException {
        String keyHeader = message.headers.get("shard-key");
        int key = keyHeader == null ? 0 : Integer.parseInt(keyHeader);
        boolean keyed = service.equals("keyed");
        synchronized (keys) {
            if (keyed && of.heldUntil[key] <= System.nanoTime()) {
                answerNotHeld(of, connection, message, echo);
                return true;
            }
            of.running[key]++;
        }
        of.work.incrementAndGet();
        beforeRun(message);
        String keyText = keyed ? " key " + key : "";
        trial.record("run " + message.id() + keyText + " begins at " + of.name);
        long workMillis = Long.parseLong(message.path.substring(message.path.lastIndexOf('/') + 1));
        Thread.sleep(workMillis);
        of.work.decrementAndGet();
        synchronized (keys) {
            of.running[key]--;
            keys.notifyAll();
        }
        if (!of.up) {
            return false;
        }
        trial.record("run " + message.id() + keyText + " ends at " + of.name);
        answerRun(of, connection, message, echo);
        return true;
    }

    /** Runs when the work on a request begins; for checks. */
    void beforeRun(Message message) {}

    /** Turns a request away because its key is not held; for disruptions. */
    void answerNotHeld(Life of, Connection connection, Message message, String echo) throws IOException {
        trial.record("request " + message.id() + " is turned away with 421 by " + of.name);
        connection.answer(421, echo + "Not-Executed: 1\r\n", new byte[0]);
    }

    /** Answers a request that has run; for disruptions. */
    void answerRun(Life of, Connection connection, Message message, String echo) throws IOException {
        connection.answer(200, signedHeaders(of, echo), answerBody(message));
    }

    String signedHeaders(Life of, String echo) {
        return echo + "Response-Signature: " + of.born + "\r\n" + load(of);
    }

    byte[] answerBody(Message message) {
        return ("ran " + message.id()).getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns the ranges of keys that both lives hold. */
    static List<int[]> heldByBoth(Life one, Life other, int from, int target) {
        List<int[]> ranges = new ArrayList<>();
        long now = System.nanoTime();
        int start = -1;
        for (int key = from; key <= target + 1; key++) {
            boolean both = key <= target && one.heldUntil[key] > now && other.heldUntil[key] > now;
            if (both && start < 0) {
                start = key;
            } else if (!both && start >= 0) {
                ranges.add(new int[] {start, key - 1});
                start = -1;
            }
        }
        return ranges;
    }
}
