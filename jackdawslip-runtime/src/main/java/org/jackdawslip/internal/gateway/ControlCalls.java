package org.jackdawslip.internal.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.jackdawslip.internal.balance.Backend;

/**
 * Sends orders about keys to backend servers, a few at a time to each.
 *
 * <p>Invariant: an order is sent only while the condition holds at the moment of the send. Confined to the event loop.
 */
final class ControlCalls {

    /** Orders under way at one server. A release is answered only when the work on its keys has ended. */
    static final int LANES = 4;

    private final HttpCaller caller;
    private final String expectedServerHeader;
    private final BooleanSupplier permitted;
    private final Map<String, Lane> lanes = new HashMap<>();

    ControlCalls(HttpCaller caller, String expectedServerHeader, BooleanSupplier permitted) {
        this.caller = caller;
        this.expectedServerHeader = expectedServerHeader;
        this.permitted = permitted;
    }

    private record Order(
            Backend server,
            PlatformAdapter.ControlCall call,
            long timeoutMillis,
            BooleanSupplier due,
            Runnable whenDropped,
            Consumer<HttpCaller.Answer> whenDone) {}

    private static final class Lane {
        final Deque<Order> waiting = new ArrayDeque<>();
        int underWay;
    }

    /**
     * Sends an order as soon as a lane is free.
     *
     * @param due is asked right before the send whether the order is still wanted
     * @param whenDropped runs instead of the consumer if the order was not sent
     */
    void send(
            Backend server,
            PlatformAdapter.ControlCall call,
            long timeoutMillis,
            BooleanSupplier due,
            Runnable whenDropped,
            Consumer<HttpCaller.Answer> whenDone) {
        Lane lane = lanes.computeIfAbsent(server.address(), address -> new Lane());
        lane.waiting.addLast(new Order(server, call, timeoutMillis, due, whenDropped, whenDone));
        next(server.address(), lane);
    }

    private void next(String address, Lane lane) {
        while (lane.underWay < LANES && !lane.waiting.isEmpty()) {
            Order order = lane.waiting.pollFirst();
            if (!permitted.getAsBoolean() || !order.due().getAsBoolean()) {
                order.whenDropped().run();
                continue;
            }
            lane.underWay++;
            caller.call(
                    address,
                    HttpMethod.POST,
                    order.call().uri(),
                    order.call().body(),
                    // The address may belong to another server by now, which must not take the keys.
                    new DefaultHttpHeaders()
                            .set(expectedServerHeader, order.server().id().value()),
                    order.timeoutMillis(),
                    answer -> {
                        lane.underWay--;
                        order.whenDone().accept(answer);
                        next(address, lane);
                    });
        }
    }

    /** Forgets all orders that wait. */
    void clear() {
        lanes.clear();
    }
}
