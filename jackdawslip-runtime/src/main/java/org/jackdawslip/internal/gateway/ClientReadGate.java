package org.jackdawslip.internal.gateway;

import java.util.function.IntConsumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;

/**
 * The first handler of a connection of a client. It reports received bytes, and stops the decoder, which reads on
 * until it has a whole message, from reading while the connection is paused. Confined to the event loop.
 */
final class ClientReadGate extends ChannelDuplexHandler {

    private final IntConsumer onBytes;

    /**
     * Creates a handler.
     *
     * @param onBytes receives the number of bytes of each read
     */
    ClientReadGate(IntConsumer onBytes) {
        this.onBytes = onBytes;
    }

    @Override
    public void read(ChannelHandlerContext context) {
        if (context.channel().config().isAutoRead()) {
            context.read();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes && bytes.isReadable()) {
            onBytes.accept(bytes.readableBytes());
        }
        context.fireChannelRead(message);
    }
}
