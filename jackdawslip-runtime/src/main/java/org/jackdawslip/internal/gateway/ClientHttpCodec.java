package org.jackdawslip.internal.gateway;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * HTTP codec of a connection of a client. Unlike the codec of Netty it stops between two messages of one buffer while
 * the connection takes no further request, and it tells the cost of a message head that is not complete yet.
 *
 * <p>Trailer fields are not kept, because they are not forwarded. Confined to the event loop.
 */
final class ClientHttpCodec extends CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder> {

    /**
     * Estimated heap of one header field beside its characters: the entry, the name and the value (about 150), and the
     * copy that is forwarded (about 100).
     */
    private static final int FIELD_BYTES = 256;

    /**
     * Creates header objects of one kind. Immutable and thread-safe.
     *
     * @param supplier returns a new header object without fields
     */
    record HeadersFactory(Supplier<HttpHeaders> supplier) implements HttpHeadersFactory {

        @Override
        public HttpHeaders newHeaders() {
            return supplier.get();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return supplier.get();
        }
    }

    /** Tells whether a connection takes further input. */
    interface Gate {

        /** Returns whether the next request may be decoded. */
        boolean acceptsRequest();

        /** The next request was not decoded; {@link ClientHttpCodec#resume} continues. */
        void onDeclined();

        /** Returns whether all further input is discarded. */
        boolean discardsInput();
    }

    private final Gate gate;
    private final Decoder decoder;
    private final Queue<HttpMethod> methods = new ArrayDeque<>();
    private ChannelHandlerContext context;
    /** Whether bytes were left undecoded because the connection takes no request. */
    private boolean declined;

    /** Creates a codec whose headers and lines have the limits of the configuration. */
    ClientHttpCodec(HttpDecoderConfig config, Gate gate) {
        this.gate = gate;
        decoder = new Decoder(config.setTrailersFactory(new HeadersFactory(DiscardedHeaders::new)));
        init(decoder, new Encoder());
    }

    @Override
    public void handlerAdded(ChannelHandlerContext newContext) throws Exception {
        super.handlerAdded(newContext);
        context = newContext;
    }

    /** Returns the estimated heap of a head of this many fields and bytes. */
    static long headCost(int fields, long bytes) {
        return (long) FIELD_BYTES * fields + 2 * bytes;
    }

    /** Returns the estimated heap of the incomplete head and of undecoded bytes, or 0 if there are none. */
    long partialHeadCost() {
        return decoder.partialHeadCost();
    }

    /** Returns the size of the last head that was decoded, in bytes. */
    long lastHeadBytes() {
        return decoder.lastHeadBytes;
    }

    /** Continues to decode bytes that were left because the connection took no request. */
    void resume() {
        if (declined) {
            declined = false;
            // The caller may have been called by the decoder.
            context.executor().execute(() -> {
                if (context.channel().isActive()) {
                    context.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
                    context.pipeline().fireChannelReadComplete();
                }
            });
        }
    }

    private final class Decoder extends HttpRequestDecoder {
        private HttpMessage partialHead;
        private long headBytes;
        private long lastHeadBytes;
        /** Whether the next byte belongs to a head; otherwise to a body. */
        private boolean inHead = true;

        Decoder(HttpDecoderConfig config) {
            super(config);
        }

        @Override
        protected void decode(ChannelHandlerContext ignored, ByteBuf buffer, List<Object> out) throws Exception {
            if (gate.discardsInput()) {
                partialHead = null;
                headBytes = 0;
                buffer.skipBytes(buffer.readableBytes());
                return;
            }
            if (inHead && !gate.acceptsRequest()) {
                declined = true;
                gate.onDeclined();
                return;
            }
            int readable = buffer.readableBytes();
            int size = out.size();
            super.decode(ignored, buffer, out);
            if (inHead) {
                headBytes += readable - buffer.readableBytes();
            }
            for (int i = size; i < out.size(); i++) {
                record(out.get(i));
            }
        }

        private void record(Object message) {
            if (message instanceof HttpRequest request) {
                methods.add(request.method());
                partialHead = null;
                lastHeadBytes = headBytes;
                headBytes = 0;
                inHead = false;
            }
            if (message instanceof LastHttpContent) {
                inHead = true;
            }
        }

        @Override
        protected HttpMessage createMessage(String[] initialLine) throws Exception {
            partialHead = super.createMessage(initialLine);
            return partialHead;
        }

        private long partialHeadCost() {
            long undecoded = actualReadableBytes() == 0 ? 0 : internalBuffer().capacity();
            int fields = partialHead == null ? 0 : partialHead.headers().size();
            return headCost(fields, headBytes) + undecoded;
        }
    }

    private final class Encoder extends HttpResponseEncoder {
        private HttpMethod method;

        @Override
        protected boolean isContentAlwaysEmpty(HttpResponse response) {
            if (response.status().codeClass() != HttpStatusClass.INFORMATIONAL
                    || response.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
                method = methods.poll();
            }
            return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(response);
        }
    }

    /** Header fields that are not kept. Not thread-safe. */
    private static final class DiscardedHeaders extends DefaultHttpHeaders {

        @Override
        public HttpHeaders add(String name, Object value) {
            return this;
        }

        @Override
        public HttpHeaders add(CharSequence name, Object value) {
            return this;
        }
    }
}
