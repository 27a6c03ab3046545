package org.jackdawslip.internal.http;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * HTTP server on plain sockets for tests: reads requests, records their heads, and passes each to a script,
 * which may send any bytes or close the connection at any point. Each connection has its own thread, so scripts
 * may run concurrently.
 */
public final class RawServer implements AutoCloseable {

    private final ServerSocket listening;
    private final Script script;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    final List<String> requestHeads = new CopyOnWriteArrayList<>();
    final Set<Socket> usedConnections = ConcurrentHashMap.newKeySet();

    public RawServer(Script script) throws IOException {
        this.script = script;
        listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startThread(this::accept);
    }

    public int port() {
        return listening.getLocalPort();
    }

    int connectionsWithRequests() {
        return usedConnections.size();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listening.accept();
                sockets.add(socket);
                startThread(() -> serve(socket));
            }
        } catch (IOException e) {
            // The server was closed, which ends the thread.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String head = readHead(in); head != null; head = readHead(in)) {
                requestHeads.add(head);
                usedConnections.add(socket);
                in.readNBytes(bodyLength(head));
                script.respond(requestHeads.size(), socket);
            }
        } catch (IOException e) {
            // The client or the script closed the connection.
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static int bodyLength(String head) {
        return head.lines()
                .filter(line -> line.regionMatches(true, 0, "Content-Length:", 0, 15))
                .mapToInt(line -> Integer.parseInt(line.substring(15).trim()))
                .findFirst()
                .orElse(0);
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "raw-server");
        thread.setDaemon(true);
        thread.start();
    }

    public static void write(Socket socket, String text) {
        try {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        listening.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /** Responds to one request, or ends its connection. */
    @FunctionalInterface
    public interface Script {
        void respond(int requestNumber, Socket socket) throws IOException;
    }
}
