package org.jackdawslip.internal.peer;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.jackdawslip.protocol.Envelope;
import org.tinylog.Logger;

/**
 * Installs the Netty pipeline of a connection: each side sends the preamble once, then frames that consist of
 * a 4-byte length and an envelope. Stateless and thread-safe.
 */
final class PeerPipeline {

    // The last byte is the protocol version. The connection to a peer with another version is closed, so that
    // its frames are not misinterpreted.
    private static final byte[] PREAMBLE = "jackdawslip-peer\u0001".getBytes(StandardCharsets.US_ASCII);
    private static final int LENGTH_BYTES = 4;

    private PeerPipeline() {}

    static void install(Channel channel, PeerCounters counters, Consumer<Envelope> receiver) {
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(new PreambleSender());
        pipeline.addLast(new PreambleDecoder());
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(PeerTransport.MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new ProtobufDecoder(Envelope.getDefaultInstance()));
        pipeline.addLast(new ProtobufEncoder());
        pipeline.addLast(new EnvelopeHandler(counters, receiver));
    }

    /**
     * Sends the preamble before anything else. Confined to the event loop.
     *
     * <p>Netty completes the connect future before it calls {@link #channelActive}, so the first envelope may
     * be written earlier than that call.
     */
    private static final class PreambleSender extends ChannelDuplexHandler {

        private boolean sent;

        @Override
        public void channelActive(ChannelHandlerContext context) throws Exception {
            send(context);
            context.flush();
            super.channelActive(context);
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
            send(context);
            super.write(context, message, promise);
        }

        private void send(ChannelHandlerContext context) {
            if (!sent) {
                sent = true;
                context.write(Unpooled.wrappedBuffer(PREAMBLE));
            }
        }
    }

    /** Checks the preamble of the peer, then removes itself from the pipeline. Confined to the event loop. */
    private static final class PreambleDecoder extends ByteToMessageDecoder {

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
            int available = Math.min(in.readableBytes(), PREAMBLE.length);
            for (int i = 0; i < available; i++) {
                if (in.getByte(in.readerIndex() + i) != PREAMBLE[i]) {
                    in.skipBytes(in.readableBytes());
                    throw new DecoderException("wrong preamble or protocol version");
                }
            }
            if (available == PREAMBLE.length) {
                in.skipBytes(PREAMBLE.length);
                context.pipeline().remove(this);
            }
        }
    }

    /**
     * Passes envelopes to the receiver and closes the connection on any protocol or I/O error. Confined to
     * the event loop.
     */
    private static final class EnvelopeHandler extends SimpleChannelInboundHandler<Envelope> {

        private final PeerCounters counters;
        private final Consumer<Envelope> receiver;
        private boolean rejected;

        EnvelopeHandler(PeerCounters counters, Consumer<Envelope> receiver) {
            this.counters = counters;
            this.receiver = receiver;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
            if (rejected) {
                return;
            }
            counters.framesReceived.increment();
            try {
                receiver.accept(envelope);
            } catch (RuntimeException e) {
                // An exception of the handler for one envelope must not fail the other requests on the
                // connection.
                Logger.error(e, "handler of a peer envelope failed, body {}", envelope.getBodyCase());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof DecoderException && !rejected) {
                rejected = true;
                counters.framesRejected.increment();
                Logger.warn(
                        "closing the connection to peer {} after invalid data: {}",
                        context.channel().remoteAddress(),
                        cause.getMessage());
            }
            context.close();
        }
    }
}
