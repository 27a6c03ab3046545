package org.jackdawslip.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A crowd of clients opens connections, sends one request without a route on each and leaves it open. Ordinary callers
 * get a response that their upstream sends in two parts, with a pause of less than the time limit between them.
 */
final class StreamCase {

    private static final int BODY_BYTES = 60_000;
    private static final int FIRST_PART_BYTES = 50_000;
    private static final long PAUSE_MILLIS = 2_750;
    private static final int LIMIT_MILLIS = 3_000;
    private static final int CALLERS = 12;
    private static final long WARM_MILLIS = 2_000;
    private static final long CROWD_MILLIS = 3_000;
    private static final int NOT_SENT = 0;
    private static final int CROWD_THREADS = 2;
    /** Connections that the crowd keeps open. */
    private static final int OPEN_PER_THREAD = 800;

    private static volatile boolean crowdRuns;
    private static final AtomicInteger CROWD_REQUESTS = new AtomicInteger();

    private StreamCase() {}

    public static void main(String[] arguments) {
        Lab.main(arguments, StreamCase::run);
    }

    private static int run(Lab lab) throws Exception {
        for (int i = 0; i < 6; i++) {
            BackendStandin upstream = new BackendStandin("i-" + i);
            upstream.setRequestHandler((request, out, socket) -> respond(lab, upstream.id, request, out, socket));
            lab.store.put(
                    "servers/i-" + i,
                    TestDeployment.listingJson(
                            upstream.address(), "ledger", "a", System.currentTimeMillis(), "ready", 0, 4));
        }
        lab.store.put("op/config", CrowdCase.config());
        Lab.GatewayProcess gateway = lab.startGateway("front-a-1", "a", lab.store.address());
        lab.awaitReady(gateway);
        ExecutorService executor = Executors.newCachedThreadPool();
        List<Future<Integer>> answers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            String id = "r" + i;
            answers.add(executor.submit(() -> call(lab, gateway.callerPort, id)));
        }
        Thread.sleep(WARM_MILLIS);
        if (lab.trouble) {
            crowdRuns = true;
            lab.record("trouble", "the crowd arrives");
            for (int i = 0; i < CROWD_THREADS; i++) {
                executor.execute(() -> runCrowd(gateway.callerPort));
            }
        }
        int complete = 0;
        int refused = 0;
        int cut = 0;
        for (Future<Integer> answer : answers) {
            int status = answer.get();
            complete += status == 200 ? 1 : 0;
            refused += status == 503 ? 1 : 0;
            cut += status == Caller.CLOSED ? 1 : 0;
        }
        crowdRuns = false;
        String text = complete + " complete, " + refused + " refused, " + cut + " cut; " + CROWD_REQUESTS.get()
                + " requests of the crowd";
        lab.record("sum", text);
        System.out.println(text);
        executor.shutdownNow();
        return cut > 3 ? Lab.EXIT_BROKEN : Lab.EXIT_HELD;
    }

    private static boolean respond(
            Lab lab, String upstream, BackendStandin.ReceivedRequest request, OutputStream out, Socket socket)
            throws IOException, InterruptedException {
        String id = request.headers().get("request-id");
        lab.record("ran", id + " at " + upstream);
        String headers = "Request-Id: " + id + "\r\nResponse-Signature: s." + id + "\r\nServer-Load: 1,0,3,100\r\n";
        if (!request.line().contains("/read/page")) {
            BackendStandin.writeResponse(out, 200, headers, "small");
            return true;
        }
        out.write(Lab.ascii("HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + BODY_BYTES + "\r\n\r\n"));
        out.write(new byte[FIRST_PART_BYTES]);
        out.flush();
        Thread.sleep(PAUSE_MILLIS);
        out.write(new byte[BODY_BYTES - FIRST_PART_BYTES]);
        out.flush();
        return true;
    }

    /**
     * Keeps a connection in use with small requests, and sends the one for the long response when the crowd has been
     * there for some time; returns the status of that one.
     */
    private static int call(Lab lab, int port, String id) {
        try (Caller caller = new Caller(port)) {
            long longRequestAt = System.nanoTime() + (WARM_MILLIS + CROWD_MILLIS) * 1_000_000L;
            for (int number = 0; System.nanoTime() < longRequestAt; number++) {
                caller.send(Caller.head("GET", "/read/1", id + "-" + number, LIMIT_MILLIS, 0, ""));
                int status = caller.read(System.nanoTime() + LIMIT_MILLIS * 1_000_000L).status();
                if (status != 200) {
                    lab.record("answered", id + "-" + number + " " + status);
                    return NOT_SENT;
                }
                Thread.sleep(100);
            }
            caller.send(Caller.head("GET", "/read/page", id, LIMIT_MILLIS, 0, ""));
            lab.record("sent", id);
            int status = caller.read(System.nanoTime() + LIMIT_MILLIS * 1_000_000L).status();
            lab.record("answered", id + " " + status);
            return status;
        } catch (IOException | InterruptedException e) {
            lab.record("failed", id + " " + e);
            return NOT_SENT;
        }
    }

    private static void runCrowd(int port) {
        Deque<Caller> open = new ArrayDeque<>();
        while (crowdRuns) {
            try {
                Caller client = new Caller(port);
                open.addLast(client);
                client.send("GET /nowhere/ HTTP/1.1\r\nHost: a.example\r\n\r\n");
                client.read(System.nanoTime() + 1_000_000_000L);
                CROWD_REQUESTS.incrementAndGet();
                if (open.size() > OPEN_PER_THREAD) {
                    open.removeFirst().close();
                }
            } catch (IOException e) {
                continue;
            }
        }
        open.forEach(client -> {
            try {
                client.close();
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
    }
}
