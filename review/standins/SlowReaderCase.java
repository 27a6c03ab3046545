package org.jackdawslip.platform;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A gateway is stopped as planned while clients on slow links read large answers and have sent a further request.
 */
final class SlowReaderCase {

    private static final int UPSTREAMS = 4;
    private static final int CLIENTS = 4;
    private static final int BODY_BYTES = 200_000;
    /** Bytes that a client reads in each interval: about 1 Mbit/s. */
    private static final int READ_BYTES = 2_500;

    private static final long READ_INTERVAL_MILLIS = 20;
    private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;
    private static final long REQUEST_AFTER_TERM_MILLIS = 2_300;
    private static final long WORK_MILLIS = 600;
    /** A client sends a further request before the first has been answered. */
    private static final long FURTHER_REQUEST_MILLIS = 450;
    private static final long DEADLINE_MILLIS = 3_000;
    private static final int GRACE_MILLIS = 6_000;

    private SlowReaderCase() {}

    public static void main(String[] arguments) {
        Trial.run(arguments, SlowReaderCase::run);
    }

    private static int run(Trial trial) throws Exception {
        trial.writeManifest();
        Object lock = new Object();
        byte[] body = new byte[BODY_BYTES];
        for (int i = 1; i <= UPSTREAMS; i++) {
            new Upstream(trial, "s-" + i, "pool", lock, (life, from, target, fence) -> {}) {
                @Override
                byte[] answerBody(Message message) {
                    return message.path.startsWith("/x/large/") ? body : super.answerBody(message);
                }
            }.start(false);
        }
        Trial.GatewayProcess gateway = trial.startGateway("front-1", "a");
        List<Socket> connections = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Socket socket = new Socket();
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), gateway.callerPort));
            connections.add(socket);
        }
        // The first requests are answered before the stop, so that the connections are kept ones.
        for (int i = 0; i < CLIENTS; i++) {
            exchange(trial, connections.get(i), "first-" + i, "/x/50", null);
        }
        if (trial.trouble) {
            trial.report("SIGTERM to " + gateway.name);
            new ProcessBuilder("kill", "-TERM", Long.toString(gateway.process.pid())).start().waitFor();
        }
        long termAt = trial.millis();
        Thread.sleep(REQUEST_AFTER_TERM_MILLIS);
        AtomicInteger incomplete = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Socket socket = connections.get(i);
            String id = "large-" + i;
            Thread thread = new Thread(() -> {
                try {
                    if (!exchange(trial, socket, id, "/x/large/" + WORK_MILLIS, "further-" + id)) {
                        incomplete.incrementAndGet();
                    }
                } catch (IOException | InterruptedException e) {
                    trial.report("request " + id + ": " + e);
                    incomplete.incrementAndGet();
                }
            });
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        trial.report(incomplete + " of " + CLIENTS + " answers did not arrive whole");
        if (trial.trouble) {
            long left = Math.max(1, termAt + GRACE_MILLIS - trial.millis());
            boolean ended = gateway.process.waitFor(left, TimeUnit.MILLISECONDS);
            trial.report(gateway.name + (ended ? " has ended by itself" : " still runs at the end of the grace"));
        }
        return incomplete.get() > 0 ? Trial.BROKEN : Trial.HELD;
    }

    /** Sends a request, reads its answer at the speed of the link, and returns whether the answer is whole. */
    private static boolean exchange(Trial trial, Socket socket, String id, String path, String furtherId)
            throws IOException, InterruptedException {
        long sentAt = trial.millis();
        send(trial, socket, id, path);
        if (furtherId != null) {
            Thread.sleep(FURTHER_REQUEST_MILLIS);
            if (socket.getInputStream().available() > 0) {
                throw new IllegalStateException("the first request was answered before the further one was sent");
            }
            send(trial, socket, furtherId, "/x/50");
        }
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                trial.report("request " + id + ": the connection ended without an answer after "
                        + (trial.millis() - sentAt) + " ms");
                return false;
            }
            head.append((char) next);
        }
        String text = head.toString().toLowerCase(Locale.ROOT);
        int from = text.indexOf("content-length:") + "content-length:".length();
        int length = Integer.parseInt(text.substring(from, text.indexOf('\r', from)).trim());
        byte[] buffer = new byte[READ_BYTES];
        int received = 0;
        while (received < length) {
            int count = in.read(buffer, 0, Math.min(READ_BYTES, length - received));
            if (count < 0) {
                break;
            }
            received += count;
            Thread.sleep(READ_INTERVAL_MILLIS);
        }
        trial.report("request " + id + ": status " + text.substring(9, 12) + ", " + received + " of " + length
                + " bytes after " + (trial.millis() - sentAt) + " ms");
        return received == length;
    }

    private static void send(Trial trial, Socket socket, String id, String path) throws IOException {
        socket.getOutputStream()
                .write(("GET " + path + " HTTP/1.1\r\nHost: " + Trial.HOST + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: "
                                + DEADLINE_MILLIS + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
        trial.record("request " + id + " is sent");
    }
}
