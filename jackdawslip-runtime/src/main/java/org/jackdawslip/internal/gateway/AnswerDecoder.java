package org.jackdawslip.internal.gateway;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes answers and notices bytes that belong to none: the codec would keep them and take them for the beginning of
 * the next answer. Confined to the event loop.
 */
final class AnswerDecoder extends HttpResponseDecoder {

    private final HttpConnection connection;

    AnswerDecoder(HttpConnection connection) {
        this.connection = connection;
    }

    /** Returns whether bytes follow the answer that is being handed on. */
    boolean surplus() {
        return actualReadableBytes() > 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (connection.idle()) {
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
