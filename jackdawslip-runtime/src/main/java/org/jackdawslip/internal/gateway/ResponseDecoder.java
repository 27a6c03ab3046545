package org.jackdawslip.internal.gateway;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes responses and detects bytes that belong to no response. The codec alone would keep such bytes as
 * the beginning of the next response. Confined to the event loop.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    private final HttpConnection connection;

    ResponseDecoder(HttpConnection connection) {
        super(new HttpDecoderConfig().setMaxChunkSize(ConnectionPool.MAX_READ_BYTES));
        this.connection = connection;
    }

    /** Returns whether bytes follow the response that is being passed to the next handler. */
    boolean hasSurplusBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (connection.isIdle()) {
            ReferenceCountUtil.release(message);
            context.close();
        } else {
            super.channelRead(context, message);
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return connection.expectsNoBody() || super.isContentAlwaysEmpty(message);
    }
}
