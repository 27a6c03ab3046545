package org.jackdawslip.platform;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A client's connection, on which requests are written as raw bytes. Not thread-safe. */
final class Caller implements AutoCloseable {

    /** A complete response; header names are in lower case. */
    static final class Response {
        final int status;
        final Map<String, String> headers;
        final byte[] body;

        Response(int status, Map<String, String> headers, byte[] body) {
            this.status = status;
            this.headers = headers;
            this.body = body;
        }
    }

    final Socket socket;
    private final InputStream in;
    private final OutputStream out;

    Caller(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(20_000);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    /** Sends a request; the headers are complete lines. */
    void send(String method, String path, String id, long deadlineMillis, String headers) throws IOException {
        send(method, path, id, deadlineMillis, headers, new byte[0]);
    }

    void send(String method, String path, String id, long deadlineMillis, String headers, byte[] body)
            throws IOException {
        String length = method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "";
        out.write((method + " " + path + " HTTP/1.1\r\nHost: " + Trial.HOST + "\r\nRequest-Id: " + id
                        + "\r\nDeadline-Ms: " + deadlineMillis + "\r\n" + length + headers + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    /** Reads one complete response; an end before that is an exception. */
    Response read() throws IOException {
        String status = readLine();
        Map<String, String> headers = new HashMap<>();
        for (String header = readLine(); !header.isEmpty(); header = readLine()) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        byte[] body;
        if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            body = readChunks();
        } else {
            body = readBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        }
        return new Response(Integer.parseInt(status.substring(9, 12)), headers, body);
    }

    private byte[] readChunks() throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (int size = Integer.parseInt(readLine().trim(), 16); size > 0; ) {
            body.write(readBytes(size));
            readLine();
            size = Integer.parseInt(readLine().trim(), 16);
        }
        readLine();
        return body.toByteArray();
    }

    private byte[] readBytes(int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the response ended after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended in place of a response");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
