package org.jackdawslip.internal.gateway;

import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * One HTTP connection to a server, with one exchange at a time.
 *
 * <p>Invariants: bytes that arrive while no exchange is open belong to no request and close the connection; the
 * buffered bytes of a response stay within the limits of the pool.
 * Confined to the event loop.
 */
final class HttpConnection extends SimpleChannelInboundHandler<HttpObject> {

    /**
     * Largest body that is buffered until it is complete. A larger one is passed on in parts if the listener
     * accepts that.
     */
    static final int MAX_WHOLE_BODY_BYTES = 32 * 1024;

    private static final String KEEP_ALIVE_HEADER = "keep-alive";
    /** Time before the announced idle timeout of the server at which the connection is no longer reused. */
    private static final long IDLE_TIMEOUT_MARGIN_MILLIS = 700;
    /** Idle time after which a connection is not reused if the server announces no idle timeout. */
    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 4_000;

    private static final long UNSET = -1;

    private final ConnectionPool pool;
    private final ResponseDecoder decoder = new ResponseDecoder(this);
    private Channel channel;
    private ExchangeListener listener;
    private Consumer<HttpConnection> onResponseHandled;
    private boolean headRequest;
    private boolean reusable = true;
    /** Head of the response that is being received, or null. */
    private HttpResponse head;
    /** Buffered part of the body of that response. */
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    /** Whether that response is buffered although it is large. */
    private boolean bufferWhole;
    /** Receives the body of that response in parts, or null. */
    private BodyReceiver bodyReceiver;
    /** Whether the server refused a request on this connection; a copy of the refusal may arrive later. */
    private boolean refusalReceived;

    private long idleSince = UNSET;
    private long idleBeforeSendMillis;
    private long sentAt;
    private long idleTimeoutMillis = DEFAULT_IDLE_TIMEOUT_MILLIS;

    HttpConnection(ConnectionPool pool) {
        this.pool = pool;
    }

    ResponseDecoder decoder() {
        return decoder;
    }

    /** Returns whether no exchange is open. */
    boolean isIdle() {
        return listener == null;
    }

    /** Returns whether the response to the open request has no body, whatever its headers contain. */
    boolean expectsNoBody() {
        return headRequest;
    }

    /**
     * Records that the response to the open request is a refusal. The connection is not reused after a
     * refusal without a request id, because a copy of that refusal would match the next request.
     *
     * @param hasRequestId whether the refusal contains the id of the open request
     * @return whether the refusal is certainly not a copy of an earlier one
     */
    boolean recordRefusal(boolean hasRequestId) {
        boolean certain = hasRequestId || !refusalReceived;
        refusalReceived = true;
        reusable &= hasRequestId;
        return certain;
    }

    void setChannel(Channel newChannel) {
        channel = newChannel;
    }

    /** Returns whether an exchange was completed on this connection. */
    boolean usedBefore() {
        return idleSince != UNSET;
    }

    /**
     * Sends a request. The connection takes ownership of the reference to the request.
     *
     * @param verified whether the connection is new or the server has just responded on it
     * @param newOnResponseHandled receives the connection after a response, whether or not it may be reused
     */
    void send(
            FullHttpRequest request,
            ExchangeListener newListener,
            boolean verified,
            Consumer<HttpConnection> newOnResponseHandled) {
        listener = newListener;
        onResponseHandled = newOnResponseHandled;
        headRequest = request.method().equals(HttpMethod.HEAD);
        sentAt = pool.now();
        idleBeforeSendMillis = verified ? UNSET : sentAt - idleSince;
        channel.writeAndFlush(request, channel.voidPromise());
    }

    /** Aborts the open exchange, if any, and closes the connection. The listener is not called. */
    void abort() {
        listener = null;
        discardResponse();
        close();
    }

    private void discardResponse() {
        head = null;
        bodyReceiver = null;
        bufferWhole = false;
        detachBody().release();
    }

    /** Returns the size of the buffered part of the response that is being received, in bytes. */
    int receivedBodyBytes() {
        return body.readableBytes();
    }

    /** Returns whether the connection may carry another request. */
    boolean isUsable(long now) {
        return reusable
                && usedBefore()
                && channel.isActive()
                && now - idleSince < Math.min(idleTimeoutMillis, pool.idleLimitMillis());
    }

    void close() {
        reusable = false;
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject object) {
        if (listener == null) {
            close();
            return;
        }
        if (object.decoderResult().isFailure()) {
            fail(ExchangeFailure.MALFORMED_ANSWER);
            return;
        }
        if (object instanceof HttpResponse response) {
            receiveHead(response);
        }
        if (object instanceof HttpContent content && head != null) {
            receiveBody(content);
        }
    }

    private void receiveHead(HttpResponse response) {
        // Bytes left over from an earlier response become part of the protocol name of this response.
        if (!HttpVersion.HTTP_1_1
                .protocolName()
                .equals(response.protocolVersion().protocolName())) {
            fail(ExchangeFailure.MALFORMED_ANSWER);
        } else if (response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
            head = response;
            applyKeepAlive(response);
            listener.onResponseHead(response);
        }
    }

    private void receiveBody(HttpContent content) {
        if (bodyReceiver != null) {
            if (content.content().isReadable()) {
                bodyReceiver.onPart(content.content().retain());
            }
        } else if (!buffer(content.content())) {
            fail(ExchangeFailure.MALFORMED_ANSWER);
        } else if (body.readableBytes() > MAX_WHOLE_BODY_BYTES
                && !bufferWhole
                && !(content instanceof LastHttpContent)) {
            chooseBodyReceiver();
        }
        if (content instanceof LastHttpContent && head != null) {
            completeResponse();
        }
    }

    /** Adds bytes to the buffered body; returns false if the body exceeds a limit. */
    private boolean buffer(ByteBuf bytes) {
        int length = bytes.readableBytes();
        if (body.readableBytes() + length > pool.maxBufferedBytes()
                || !pool.memory().tryReserve(length)) {
            return false;
        }
        if (length > 0) {
            body = body == Unpooled.EMPTY_BUFFER ? Unpooled.buffer(length) : body;
            body.writeBytes(bytes);
        }
        return true;
    }

    private ByteBuf detachBody() {
        ByteBuf detached = body;
        pool.memory().release(detached.readableBytes());
        body = Unpooled.EMPTY_BUFFER;
        return detached;
    }

    private void chooseBodyReceiver() {
        BodyReceiver receiver = listener.onLargeResponse(head);
        if (listener == null) {
            // The listener aborted the exchange.
            return;
        }
        bufferWhole = receiver == null;
        bodyReceiver = receiver;
        if (receiver != null) {
            receiver.onPart(detachBody());
        }
    }

    private void completeResponse() {
        HttpResponse completed = head;
        BodyReceiver receiver = bodyReceiver;
        head = null;
        bodyReceiver = null;
        bufferWhole = false;
        reusable &= !decoder.hasSurplusBytes();
        if (receiver == BodyReceiver.DISCARD) {
            reusable = false;
            return;
        }
        if (receiver != null) {
            setReading(true);
            receiver.onEnd();
        } else if (!deliver(completed, detachBody())) {
            reusable = false;
            return;
        }
        listener = null;
        idleSince = pool.now();
        onResponseHandled.accept(this);
    }

    private boolean deliver(HttpResponse completed, ByteBuf content) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                completed.protocolVersion(),
                completed.status(),
                content,
                completed.headers(),
                EmptyHttpHeaders.INSTANCE);
        try {
            return listener.onResponse(response);
        } finally {
            response.release();
        }
    }

    /** Stops or resumes reading, so that a response is received only as fast as it is passed on. */
    void setReading(boolean reading) {
        channel.config().setAutoRead(reading);
    }

    private void applyKeepAlive(HttpResponse response) {
        if (!HttpUtil.isKeepAlive(response)) {
            reusable = false;
        }
        String keepAlive = response.headers().get(KEEP_ALIVE_HEADER);
        int timeoutAt = keepAlive == null ? -1 : keepAlive.indexOf("timeout=");
        if (timeoutAt >= 0) {
            int end = timeoutAt + "timeout=".length();
            int start = end;
            while (end < keepAlive.length() && Character.isDigit(keepAlive.charAt(end)) && end - start < 6) {
                end++;
            }
            if (end > start) {
                idleTimeoutMillis = Integer.parseInt(keepAlive, start, end, 10) * 1_000L - IDLE_TIMEOUT_MARGIN_MILLIS;
            }
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // A reset also closes the channel, and the decoder would then complete a response without a length. No
        // exchange is open any more by then.
        fail(ExchangeFailure.CONNECTION_LOST);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        reusable = false;
        pool.onConnectionClosed(this);
        fail(ExchangeFailure.CONNECTION_LOST);
    }

    private void fail(ExchangeFailure failure) {
        ExchangeListener current = listener;
        BodyReceiver receiver = bodyReceiver;
        listener = null;
        discardResponse();
        close();
        if (current != null && receiver != null && receiver != BodyReceiver.DISCARD) {
            receiver.onFailure(failure);
        } else if (current != null) {
            if (idleBeforeSendMillis != UNSET && failure == ExchangeFailure.CONNECTION_LOST) {
                pool.handleLossAfterIdle(idleBeforeSendMillis, pool.now() - sentAt);
            }
            current.onFailure(failure);
        }
    }
}
