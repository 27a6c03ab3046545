package org.jackdawslip.internal.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.compression.DecompressionException;
import io.netty.handler.codec.compression.Snappy;

/**
 * Compresses the values of large records for other instances. A configuration with thousands of routes repeats the same
 * field names and shrinks to a fraction.
 *
 * <p>A compressed value is a sequence of blocks, each with its length in four bytes. The newest result is kept, because
 * the same record is sent to each instance of the failure domain. Confined to the event loop.
 */
final class ValueCompressor {

    /** Values below this size are not compressed; they fit into a few packets. */
    static final int MIN_BYTES = 4 * 1024;
    /** Largest size of a decompressed value, the limit of the store. */
    private static final int MAX_BYTES = 1024 * 1024;
    /** Size of a block before compression; the encoder refers back by at most 32,767 bytes. */
    private static final int BLOCK_BYTES = 32_000;

    private byte[] newestValue;
    private byte[] newestCompressed;

    /** Returns the compressed form of a value that is not changed afterwards. */
    byte[] compress(byte[] value) {
        if (value != newestValue) {
            newestCompressed = encode(value);
            newestValue = value;
        }
        return newestCompressed;
    }

    private static byte[] encode(byte[] value) {
        ByteBuf output = Unpooled.buffer();
        Snappy encoder = new Snappy();
        for (int from = 0; from < value.length; from += BLOCK_BYTES) {
            int length = Math.min(BLOCK_BYTES, value.length - from);
            int lengthIndex = output.writerIndex();
            output.writeInt(0);
            encoder.encode(Unpooled.wrappedBuffer(value, from, length), output, length);
            output.setInt(lengthIndex, output.writerIndex() - lengthIndex - Integer.BYTES);
            encoder.reset();
        }
        byte[] compressed = new byte[output.readableBytes()];
        output.readBytes(compressed);
        return compressed;
    }

    /**
     * Decompresses a value.
     *
     * @throws IOException if the bytes are not a compressed value, or if the value exceeds the limit of the store
     */
    static byte[] decompress(byte[] compressed) throws IOException {
        ByteBuf input = Unpooled.wrappedBuffer(compressed);
        ByteArrayOutputStream output = new ByteArrayOutputStream(BLOCK_BYTES);
        while (input.isReadable()) {
            output.write(decodeBlock(input));
            if (output.size() > MAX_BYTES) {
                throw new IOException("the value exceeds " + MAX_BYTES + " bytes");
            }
        }
        return output.toByteArray();
    }

    private static byte[] decodeBlock(ByteBuf input) throws IOException {
        int length = input.readableBytes() < Integer.BYTES ? -1 : input.readInt();
        if (length <= 0 || length > input.readableBytes()) {
            throw new IOException("the compressed value is truncated");
        }
        ByteBuf block = input.readSlice(length);
        // A block that claims to be larger exceeds the capacity.
        ByteBuf decoded = Unpooled.buffer(BLOCK_BYTES, BLOCK_BYTES);
        try {
            new Snappy().decode(block, decoded);
        } catch (DecompressionException | IndexOutOfBoundsException e) {
            throw new IOException("not a compressed value", e);
        }
        if (block.isReadable() || !decoded.isReadable()) {
            throw new IOException("not a compressed value");
        }
        byte[] value = new byte[decoded.readableBytes()];
        decoded.readBytes(value);
        return value;
    }
}
