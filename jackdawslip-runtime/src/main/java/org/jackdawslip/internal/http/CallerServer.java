package org.jackdawslip.internal.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;

import com.sun.net.httpserver.HttpExchange;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;

/**
 * HTTP/1.1 server that receives the requests of callers and passes them to a handler.
 *
 * <p>A request occupies a thread while it is read and while its response is written, but not in between. The
 * JDK server reports a disconnected caller only when the response is written; such responses are counted as
 * undelivered. Thread-safe.
 *
 * <pre>{@code
 * CallerServer server = CallerServer.builder(address, handler).bodyLimit(1 << 20).open();
 * }</pre>
 */
public final class CallerServer implements AutoCloseable {

    private final HttpListener listener;
    private final CallerHandler handler;
    private final CallerRequestParser parser;
    private final Consumer<ErrorCode> refusalListener;
    private final LongAdder undeliveredResponses = new LongAdder();

    private CallerServer(Builder builder) {
        handler = builder.handler;
        parser = new CallerRequestParser(builder.bodyLimit, builder.keyLimit);
        refusalListener = builder.refusalListener;
        listener = new HttpListener("caller", builder.address, builder.backlog, builder.threads, this::handleExchange);
    }

    /** Returns a builder for a server that listens on the address. */
    public static Builder builder(InetSocketAddress address, CallerHandler handler) {
        return new Builder(address, handler);
    }

    /** Returns the address that callers connect to. */
    public InetSocketAddress localAddress() {
        return listener.address();
    }

    /**
     * Returns the number of responses that could not be written: the caller disconnected or reads too slowly.
     */
    public long undeliveredResponses() {
        return undeliveredResponses.sum();
    }

    private void handleExchange(HttpExchange exchange) {
        CompletableFuture<CallerResponse> response;
        try {
            response = handler.handle(parser.parse(exchange));
        } catch (IOException e) {
            undeliveredResponses.increment();
            exchange.close();
            return;
        } catch (RuntimeException e) {
            response = CompletableFuture.failedFuture(e);
        }
        String requestId =
                Objects.requireNonNullElse(exchange.getRequestHeaders().getFirst("Request-Id"), "");
        response.exceptionally(failure -> {
                    refusalListener.accept(Json.errorCode(failure));
                    return Json.errorResponse(failure, requestId);
                })
                .thenAccept(complete -> enqueueWrite(exchange, complete));
    }

    private void enqueueWrite(HttpExchange exchange, CallerResponse response) {
        try {
            listener.writers().execute(() -> writeResponse(exchange, response));
        } catch (RejectedExecutionException e) {
            undeliveredResponses.increment();
            exchange.close();
        }
    }

    private void writeResponse(HttpExchange exchange, CallerResponse response) {
        try {
            HttpListener.writeResponse(exchange, response);
        } catch (IOException | RuntimeException e) {
            undeliveredResponses.increment();
            exchange.close();
        }
    }

    /** Stops listening and waits until all responses are written, at most the given number of seconds. */
    public void stop(int delaySeconds) {
        listener.stop(delaySeconds);
    }

    @Override
    public void close() {
        listener.close();
    }

    /** Configures a {@link CallerServer}. Not thread-safe. */
    public static final class Builder {

        private final InetSocketAddress address;
        private final CallerHandler handler;
        private int bodyLimit = 1 << 20;
        private int keyLimit = 1 << 10;
        private Consumer<ErrorCode> refusalListener = code -> {};
        private int backlog = 1_024;
        private int threads = 64;

        private Builder(InetSocketAddress address, CallerHandler handler) {
            this.address = Objects.requireNonNull(address, "address");
            this.handler = Objects.requireNonNull(handler, "handler");
        }

        /** Sets the maximum size of a request body in bytes. */
        public Builder bodyLimit(int bytes) {
            bodyLimit = requirePositive("body limit", bytes);
            return this;
        }

        /** Sets the maximum size of a key in bytes. */
        public Builder keyLimit(int bytes) {
            keyLimit = requirePositive("key limit", bytes);
            return this;
        }

        /** Sets the listener for error responses to requests for which the parser or the handler failed. */
        public Builder refusalListener(Consumer<ErrorCode> receiver) {
            refusalListener = Objects.requireNonNull(receiver, "receiver");
            return this;
        }

        /**
         * Sets the maximum number of connections that the operating system queues until they are accepted.
         */
        public Builder backlog(int connections) {
            backlog = requirePositive("backlog", connections);
            return this;
        }

        /** Sets the number of threads that read requests, and also of those that write responses. */
        public Builder threads(int count) {
            threads = requirePositive("number of threads", count);
            return this;
        }

        /**
         * Binds the address and starts the server.
         *
         * @throws JackdawslipException with {@link ErrorCode#ADDRESS_IN_USE} if the address cannot be bound
         */
        public CallerServer open() {
            return new CallerServer(this);
        }

        private static int requirePositive(String name, int value) {
            if (value <= 0) {
                throw new JackdawslipException(ErrorCode.INVALID_ARGUMENT, name + " " + value + " is not positive");
            }
            return value;
        }
    }
}
