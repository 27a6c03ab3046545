package org.jackdawslip.internal.http;

import java.net.http.HttpRequest;
import java.nio.ByteBuffer;
import java.util.concurrent.Flow;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A request body that lets the JDK HTTP client send its request at most once, and reports whether the request
 * may have been sent.
 *
 * <p>The JDK client repeats GET and HEAD when the connection ends before the first byte of the response,
 * although the server may have run the request. The client calls {@link #contentLength} each time before it
 * writes the request head; the second call throws, and the request fails. A cookie handler does not serve
 * this purpose, because the client does not call it before a repeat. Thread-safe.
 */
final class SingleSendBody implements HttpRequest.BodyPublisher {

    private enum State {
        NEW,
        MAY_BE_SENT,
        SENDING_PREVENTED
    }

    private final HttpRequest.BodyPublisher content;
    private final AtomicReference<State> state = new AtomicReference<>(State.NEW);
    private volatile boolean repeatPrevented;

    SingleSendBody(byte[] body) {
        content = body.length == 0 ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofByteArray(body);
    }

    @Override
    public long contentLength() {
        if (!state.compareAndSet(State.NEW, State.MAY_BE_SENT)) {
            repeatPrevented = state.get() == State.MAY_BE_SENT;
            throw new IllegalStateException("the request may have been sent already, or its sending was prevented");
        }
        return content.contentLength();
    }

    @Override
    public void subscribe(Flow.Subscriber<? super ByteBuffer> subscriber) {
        content.subscribe(subscriber);
    }

    /**
     * Prevents any later sending of the request, and returns whether no byte of the request has been written
     * so far.
     */
    boolean preventSending() {
        return state.compareAndSet(State.NEW, State.SENDING_PREVENTED) || state.get() == State.SENDING_PREVENTED;
    }

    boolean repeatPrevented() {
        return repeatPrevented;
    }
}
