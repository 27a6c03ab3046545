package org.jackdawslip.internal.gateway;

import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * One HTTP connection to a server, with one exchange at a time.
 *
 * <p>Invariant: bytes that arrive while no exchange is open belong to no request and close the connection.
 * Confined to the event loop.
 */
final class HttpConnection extends SimpleChannelInboundHandler<FullHttpResponse> {

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
    private boolean broken;
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
        close();
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
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
        if (listener == null) {
            close();
            return;
        }
        // Bytes left over from an earlier response become part of the protocol name of this response.
        if (response.decoderResult().isFailure()
                || !HttpVersion.HTTP_1_1
                        .protocolName()
                        .equals(response.protocolVersion().protocolName())) {
            fail(ExchangeFailure.MALFORMED_ANSWER);
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return;
        }
        if (broken) {
            return;
        }
        applyKeepAlive(response);
        reusable &= !decoder.hasSurplusBytes();
        ExchangeListener current = listener;
        if (!current.onResponse(response)) {
            reusable = false;
            return;
        }
        listener = null;
        idleSince = pool.now();
        onResponseHandled.accept(this);
    }

    private void applyKeepAlive(FullHttpResponse response) {
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
        // A reset also closes the channel, and the decoder would then complete a response without a length.
        broken = true;
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
        listener = null;
        close();
        if (current != null) {
            if (idleBeforeSendMillis != UNSET && failure == ExchangeFailure.CONNECTION_LOST) {
                pool.handleLossAfterIdle(idleBeforeSendMillis, pool.now() - sentAt);
            }
            current.onFailure(failure);
        }
    }
}
