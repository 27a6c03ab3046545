package org.jackdawslip.internal.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.jackdawslip.internal.balance.Backend;

/**
 * Queues of ownership calls, one for each address of a backend server. The number of calls in flight at each
 * server is limited.
 *
 * <p>Invariant: a call is sent only if sending is permitted and the call is still needed at that time.
 * Confined to the event loop.
 */
final class OwnershipCallQueues {

    /** Limit of calls in flight. A server responds to a release call only after work on the keys has ended. */
    static final int MAX_CALLS_IN_FLIGHT_PER_SERVER = 4;

    private final InternalHttpClient client;
    private final HeaderNames names;
    private final BooleanSupplier sendingPermitted;
    private final Map<String, ServerQueue> queues = new HashMap<>();

    /**
     * Creates the queues.
     *
     * @param names the names of the headers of a call
     * @param sendingPermitted evaluated immediately before each call is sent; the call is dropped if it
     *     returns false
     */
    OwnershipCallQueues(InternalHttpClient client, HeaderNames names, BooleanSupplier sendingPermitted) {
        this.client = client;
        this.names = names;
        this.sendingPermitted = sendingPermitted;
    }

    private record QueuedCall(
            Backend server,
            OwnershipCallKind kind,
            PlatformAdapter.OwnershipCall call,
            BooleanSupplier stillNeeded,
            Runnable onDropped,
            Consumer<InternalHttpClient.Response> onResponse) {}

    private static final class ServerQueue {
        final Deque<QueuedCall> waiting = new ArrayDeque<>();
        int inFlight;
    }

    /**
     * Sends a call as soon as fewer than {@link #MAX_CALLS_IN_FLIGHT_PER_SERVER} calls are in flight at the
     * server.
     *
     * @param stillNeeded evaluated immediately before the call is sent; the call is dropped if it returns
     *     false
     * @param onDropped runs instead of {@code onResponse} if the call is dropped
     * @param onResponse receives the response, or one with status 0 if the call fails or times out
     */
    void enqueue(
            Backend server,
            OwnershipCallKind kind,
            PlatformAdapter.OwnershipCall call,
            BooleanSupplier stillNeeded,
            Runnable onDropped,
            Consumer<InternalHttpClient.Response> onResponse) {
        ServerQueue queue = queues.computeIfAbsent(server.address(), address -> new ServerQueue());
        queue.waiting.addLast(new QueuedCall(server, kind, call, stillNeeded, onDropped, onResponse));
        sendQueued(server.address(), queue);
    }

    private void sendQueued(String address, ServerQueue queue) {
        while (queue.inFlight < MAX_CALLS_IN_FLIGHT_PER_SERVER && !queue.waiting.isEmpty()) {
            QueuedCall queued = queue.waiting.pollFirst();
            if (!sendingPermitted.getAsBoolean() || !queued.stillNeeded().getAsBoolean()) {
                queued.onDropped().run();
                continue;
            }
            queue.inFlight++;
            // The address may now belong to another server, which must not accept the keys.
            HttpHeaders headers = new DefaultHttpHeaders()
                    .set(names.expectedServer(), queued.server().id().value())
                    .set(names.requestId(), UUID.randomUUID().toString());
            client.call(
                    address,
                    HttpMethod.POST,
                    queued.call().uri(),
                    queued.call().body(),
                    new InternalHttpClient.CallOptions(
                            headers, names.requestId(), queued.kind().onNewConnection()),
                    queued.kind().timeoutMillis(),
                    response -> {
                        queue.inFlight--;
                        queued.onResponse().accept(response);
                        sendQueued(address, queue);
                    });
        }
    }

    /** Discards all queued calls. Calls in flight complete. */
    void clear() {
        queues.clear();
    }
}
