import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** Measures settings of the JDK HTTP server and client; docs/http.md has the commands and results. */
public final class HttpMeasure {

    private static final String GET = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

    public static void main(String[] arguments) throws Exception {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 1024);
        server.setExecutor(Executors.newFixedThreadPool(8));
        server.createContext("/", exchange -> {
            exchange.getRequestBody().readNBytes(1 << 20);
            if ("late".equals(arguments[0])) {
                CompletableFuture.delayedExecutor(6, TimeUnit.SECONDS).execute(() -> answer(exchange));
            } else {
                answer(exchange);
            }
        });
        server.start();
        InetSocketAddress address = server.getAddress();
        switch (arguments[0]) {
            case "raw" -> raw(address);
            case "client" -> client(address);
            case "idle" -> idle(address);
            case "slow" -> first(address, "half a head", "POST / HTTP/1.1\r\nHost: x\r\nContent-Len");
            case "late" -> {
                first(address, "answer after 6 s, request without a body", GET);
                first(address, "answer after 6 s, request with a body",
                        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx");
            }
            default -> throw new IllegalArgumentException(arguments[0]);
        }
        System.exit(0);
    }

    private static void answer(HttpExchange exchange) {
        try {
            exchange.sendResponseHeaders(200, 2);
            exchange.getResponseBody().write(new byte[] {'o', 'k'});
            exchange.close();
        } catch (IOException e) {
            System.out.println("the answer could not be written: " + e.getMessage());
        }
    }

    private static Socket connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setTcpNoDelay(true);
        return socket;
    }

    private static void get(Socket socket) throws IOException {
        socket.getOutputStream().write(GET.getBytes());
        StringBuilder text = new StringBuilder();
        while (!text.toString().endsWith("\r\n\r\nok")) {
            text.append((char) socket.getInputStream().read());
        }
    }

    private static void raw(InetSocketAddress address) throws Exception {
        for (boolean reuse : new boolean[] {true, true, false}) {
            long[] nanos = new long[200];
            Socket socket = connect(address);
            for (int i = 0; i < nanos.length; i++) {
                long start = System.nanoTime();
                socket = reuse ? socket : connect(address);
                get(socket);
                nanos[i] = System.nanoTime() - start;
            }
            print(reuse ? "raw socket, reused" : "raw socket, new connection", nanos);
        }
    }

    private static void client(InetSocketAddress address) throws Exception {
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort())).build();
        for (int round = 0; round < 3; round++) {
            long[] nanos = new long[2000];
            for (int i = 0; i < nanos.length; i++) {
                long start = System.nanoTime();
                client.send(request, HttpResponse.BodyHandlers.ofByteArray());
                nanos[i] = System.nanoTime() - start;
            }
            print("JDK client, reused", nanos);
        }
        int count = 40_000;
        Semaphore open = new Semaphore(64);
        CountDownLatch left = new CountDownLatch(count);
        long start = System.nanoTime();
        for (int i = 0; i < count; i++) {
            open.acquire();
            client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray()).whenComplete((response, failure) -> {
                open.release();
                left.countDown();
            });
        }
        left.await();
        System.out.printf("JDK client, 64 open: %.0f requests/s%n", count / ((System.nanoTime() - start) / 1e9));
    }

    private static void idle(InetSocketAddress address) throws Exception {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            sockets.add(connect(address));
            get(sockets.get(i));
        }
        Thread.sleep(300);
        int closed = 0;
        for (Socket socket : sockets) {
            try {
                socket.setSoTimeout(2);
                closed += socket.getInputStream().read() < 0 ? 1 : 0;
            } catch (SocketTimeoutException e) {
                // The connection is open.
            }
        }
        System.out.println("300 connections used once: " + closed + " closed by the server");
    }

    private static void first(InetSocketAddress address, String what, String request) throws Exception {
        try (Socket socket = connect(address)) {
            long start = System.nanoTime();
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(request.getBytes());
            String result;
            try {
                result = socket.getInputStream().read() < 0 ? "closed" : "answered";
            } catch (IOException e) {
                result = e.getMessage();
            }
            System.out.printf("%s: %s after %.1f s%n", what, result, (System.nanoTime() - start) / 1e9);
        }
    }

    private static void print(String what, long[] nanos) {
        Arrays.sort(nanos);
        System.out.printf("%s: median %d us, 99th percentile %d us%n",
                what, nanos[nanos.length / 2] / 1000, nanos[nanos.length * 99 / 100] / 1000);
    }
}
