package org.jackdawslip.internal.gateway;

import java.util.regex.Pattern;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes responses and detects bytes that belong to no response. The codec alone would keep such bytes as
 * the beginning of the next response.
 *
 * <p>Invariant: a response is decoded without failure only if its status, and that of each interim response before it,
 * is a status code of HTTP, and the name of each field, also of trailers, is a token. The codec alone accepts any
 * integer as a status. Confined to the event loop.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    /** A status code of HTTP: three digits, the first of which is one of the five classes. */
    private static final Pattern STATUS_CODE = Pattern.compile("[1-5][0-9]{2}");

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
    protected HttpMessage createMessage(String[] initialLine) {
        if (!STATUS_CODE.matcher(initialLine[1]).matches()) {
            throw new IllegalArgumentException("invalid status code: " + initialLine[1]);
        }
        return super.createMessage(initialLine);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        // The codec ends the name of a response field at a blank and ignores the bytes from there to the colon, so
        // that "Content-Length x" would be taken for a length. It rejects other bytes that are not part of a token.
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("blank in the name of a header field");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return connection.expectsNoBody() || super.isContentAlwaysEmpty(message);
    }
}
