package org.jackdawslip.internal.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Compresses the values of large records for other instances. A configuration with thousands of routes repeats the same
 * field names and shrinks to about a tenth.
 *
 * <p>The newest result is kept, because the same record is sent to each instance of the failure domain. Confined to the
 * event loop.
 */
final class ValueCompressor {

    /** Values below this size are not compressed; they fit into a few packets. */
    static final int MIN_BYTES = 4 * 1024;
    /** Largest size of a decompressed value, the limit of the store. */
    private static final int MAX_BYTES = 1024 * 1024;

    private static final int BUFFER_BYTES = 16 * 1024;

    private byte[] newestValue;
    private byte[] newestCompressed;

    /** Returns the compressed form of a value that is not changed afterwards. */
    byte[] compress(byte[] value) {
        if (value != newestValue) {
            newestCompressed = deflate(value);
            newestValue = value;
        }
        return newestCompressed;
    }

    private static byte[] deflate(byte[] value) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(value);
            deflater.finish();
            ByteArrayOutputStream output = new ByteArrayOutputStream(BUFFER_BYTES);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                output.write(buffer, 0, deflater.deflate(buffer));
            }
            return output.toByteArray();
        } finally {
            deflater.end();
        }
    }

    /**
     * Decompresses a value.
     *
     * @throws IOException if the bytes are not a compressed value, or if the value exceeds the limit of the store
     */
    static byte[] decompress(byte[] compressed) throws IOException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed);
            ByteArrayOutputStream output = new ByteArrayOutputStream(BUFFER_BYTES);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                if (count == 0 && !inflater.finished()) {
                    throw new IOException("the compressed value is truncated");
                }
                output.write(buffer, 0, count);
                if (output.size() > MAX_BYTES) {
                    throw new IOException("the value exceeds " + MAX_BYTES + " bytes");
                }
            }
            return output.toByteArray();
        } catch (DataFormatException e) {
            throw new IOException("not a compressed value", e);
        } finally {
            inflater.end();
        }
    }
}
