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
 * One connection to a server, with one exchange at a time.
 *
 * <p>Invariant: bytes that arrive while no exchange is open belong to no request and end the connection. Confined to
 * the event loop.
 */
final class HttpConnection extends SimpleChannelInboundHandler<FullHttpResponse> {

    private static final String KEEP_ALIVE = "keep-verified";
    /** A server closes an idle connection after the announced time; this much earlier it is no longer used. */
    private static final long CLOSE_MARGIN_MILLIS = 700;
    /** Idle time after which a connection is no longer used if the server announced none. */
    private static final long DEFAULT_IDLE_MILLIS = 4_000;

    private static final long NEVER = -1;

    private final ConnectionPool pool;
    private final AnswerDecoder decoder = new AnswerDecoder(this);
    private Channel channel;
    private ExchangeListener listener;
    private Consumer<HttpConnection> whenAnswered;
    private boolean headRequest;
    private boolean reusable = true;
    private boolean broken;
    /** Whether the server refused a request here; it may write that refusal again, at any later moment. */
    private boolean refusalRead;

    private long idleSince = NEVER;
    private long idleMillis;
    private long sentAt;
    private long idleLimitMillis = DEFAULT_IDLE_MILLIS;

    HttpConnection(ConnectionPool pool) {
        this.pool = pool;
    }

    AnswerDecoder decoder() {
        return decoder;
    }

    /** Returns whether no exchange is open. */
    boolean idle() {
        return listener == null;
    }

    /** Returns whether the answer to the open request has no body whatever its headers say. */
    boolean expectsNoBody() {
        return headRequest;
    }

    /**
     * Takes that the answer to the open request is a refusal. The connection ends after one that does not name its
     * request, because a second copy would pass for the answer to the next request.
     *
     * @param named whether the refusal names the open request
     * @return whether the refusal is certainly not a copy of an earlier one
     */
    boolean refused(boolean named) {
        boolean certain = named || !refusalRead;
        refusalRead = true;
        reusable &= named;
        return certain;
    }

    void opened(Channel open) {
        channel = open;
    }

    /** Returns whether an exchange was completed on this connection. */
    boolean usedBefore() {
        return idleSince != NEVER;
    }

    /**
     * Sends a request. The connection takes over the reference to it.
     *
     * @param verified whether the connection is new or the server has just answered on it
     * @param newWhenAnswered takes the connection after an answer, whether or not it may be used again
     */
    void send(
            FullHttpRequest request,
            ExchangeListener newListener,
            boolean verified,
            Consumer<HttpConnection> newWhenAnswered) {
        listener = newListener;
        whenAnswered = newWhenAnswered;
        headRequest = request.method().equals(HttpMethod.HEAD);
        sentAt = pool.now();
        idleMillis = verified ? NEVER : sentAt - idleSince;
        channel.writeAndFlush(request, channel.voidPromise());
    }

    /** Aborts the open exchange, if any, and closes the connection. Its listener is not called. */
    void abort() {
        listener = null;
        close();
    }

    boolean usable(long now) {
        return reusable
                && usedBefore()
                && channel.isActive()
                && now - idleSince < Math.min(idleLimitMillis, pool.idleLimitMillis());
    }

    void close() {
        reusable = false;
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
        if (listener == null) {
            close();
            return;
        }
        // Bytes that are left of an earlier answer change the name of the protocol.
        if (answer.decoderResult().isFailure()
                || !HttpVersion.HTTP_1_1
                        .protocolName()
                        .equals(answer.protocolVersion().protocolName())) {
            fail(ExchangeFailure.MALFORMED_ANSWER);
            return;
        }
        if (answer.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return;
        }
        if (broken) {
            return;
        }
        noteKeepAlive(answer);
        reusable &= !decoder.surplus();
        ExchangeListener current = listener;
        if (!current.answered(answer)) {
            reusable = false;
            return;
        }
        listener = null;
        idleSince = pool.now();
        whenAnswered.accept(this);
    }

    private void noteKeepAlive(FullHttpResponse answer) {
        if (!HttpUtil.isKeepAlive(answer)) {
            reusable = false;
        }
        String keepAlive = answer.headers().get(KEEP_ALIVE);
        int at = keepAlive == null ? -1 : keepAlive.indexOf("timeout=");
        if (at >= 0) {
            int end = at + "timeout=".length();
            int start = end;
            while (end < keepAlive.length() && Character.isDigit(keepAlive.charAt(end)) && end - start < 6) {
                end++;
            }
            if (end > start) {
                idleLimitMillis = Integer.parseInt(keepAlive, start, end, 10) * 1_000L - CLOSE_MARGIN_MILLIS;
            }
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // A reset is followed by the end of the channel, at which an answer without a length would seem complete.
        broken = true;
        fail(ExchangeFailure.CONNECTION_LOST);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        reusable = false;
        pool.closed(this);
        fail(ExchangeFailure.CONNECTION_LOST);
    }

    private void fail(ExchangeFailure failure) {
        ExchangeListener current = listener;
        listener = null;
        close();
        if (current != null) {
            if (idleMillis != NEVER && failure == ExchangeFailure.CONNECTION_LOST) {
                pool.lostAfterIdle(idleMillis, pool.now() - sentAt);
            }
            current.failed(failure);
        }
    }
}
