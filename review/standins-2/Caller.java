package org.jackdawslip.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** One connection of a client that sends requests and reads answers as raw HTTP/1.1. Not thread-safe. */
final class Caller implements AutoCloseable {

    /** No answer before the time limit of the client. */
    static final int TIMED_OUT = -1;
    /** The connection ended before a complete answer. */
    static final int CLOSED = -2;

    /** An answer; the status is {@link #TIMED_OUT} or {@link #CLOSED} if there was none. */
    record Answer(int status, Map<String, String> headers, byte[] body) {
        static Answer none(int status) {
            return new Answer(status, Map.of(), new byte[0]);
        }
    }

    final Socket socket = new Socket();
    private final byte[] buffer = new byte[2_048];
    private int position;
    private int received;

    Caller(int port) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
    }

    static String head(String method, String path, String id, long limitMillis, int bodyBytes, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: "
                + limitMillis + "\r\n" + more
                + (method.equals("GET") ? "" : "Content-Length: " + bodyBytes + "\r\n") + "\r\n";
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(Lab.ascii(text));
        socket.getOutputStream().flush();
    }

    /** Reads one answer until the time given by {@link System#nanoTime}. */
    Answer read(long endNanos) {
        try {
            String line = readLine(endNanos);
            if (line == null) {
                return Answer.none(CLOSED);
            }
            int status = Integer.parseInt(line.split(" ")[1]);
            Map<String, String> headers = new TreeMap<>();
            for (String header = readLine(endNanos); header != null && !header.isEmpty(); header = readLine(endNanos)) {
                int colon = header.indexOf(':');
                headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
            }
            byte[] body = new byte[Integer.parseInt(headers.getOrDefault("content-length", "0"))];
            for (int i = 0; i < body.length; i++) {
                int next = readByte(endNanos);
                if (next < 0) {
                    return Answer.none(CLOSED);
                }
                body[i] = (byte) next;
            }
            return new Answer(status, headers, body);
        } catch (SocketTimeoutException e) {
            return Answer.none(TIMED_OUT);
        } catch (IOException e) {
            return Answer.none(CLOSED);
        }
    }

    private String readLine(long endNanos) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = readByte(endNanos); next != '\n'; next = readByte(endNanos)) {
            if (next < 0) {
                return null;
            }
            line.append((char) next);
        }
        return line.toString().trim();
    }

    private int readByte(long endNanos) throws IOException {
        if (position == received) {
            long millis = (endNanos - System.nanoTime()) / 1_000_000;
            if (millis <= 0) {
                throw new SocketTimeoutException();
            }
            socket.setSoTimeout((int) millis);
            received = Math.max(0, socket.getInputStream().read(buffer));
            position = 0;
            if (received == 0) {
                return -1;
            }
        }
        return buffer[position++] & 0xff;
    }

    static int readinessStatus(int port) {
        try (Caller caller = new Caller(port)) {
            caller.send("GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
            return caller.read(System.nanoTime() + 1_000_000_000L).status();
        } catch (IOException e) {
            return CLOSED;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
