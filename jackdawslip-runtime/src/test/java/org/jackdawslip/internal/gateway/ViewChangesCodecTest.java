package org.jackdawslip.internal.gateway;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

import org.jackdawslip.internal.durable.StoreEra;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ViewChangesCodecTest {

    private final ValueCompressor compressor = new ValueCompressor();

    private static byte[] configuration(int routes) {
        StringBuilder text = new StringBuilder("[");
        for (int i = 0; i < routes; i++) {
            text.append("{\"name\":\"r-")
                    .append(i * 7919L)
                    .append("\",\"host\":\"host.example\",\"prefix\":\"/p")
                    .append(i)
                    .append("/\",\"kind\":\"idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":400},");
        }
        return text.append(']').toString().getBytes(StandardCharsets.UTF_8);
    }

    private static DurableStore.Result result(DurableStore.StoreRecord... records) {
        return new DurableStore.Result(DurableStore.Status.DONE, List.of(records), 12, 0, 0, 34, StoreEra.NONE);
    }

    /** Guards against a change that is altered or lost between two instances. */
    @Test
    void changesAreDecodedAsTheyWereEncoded() throws IOException {
        byte[] large = configuration(2_000);
        byte[] small = {1, 2, 3};
        DurableStore.Result decoded = ViewChangesCodec.decode(ViewChangesCodec.encode(
                result(
                        new DurableStore.StoreRecord("large", large, 10),
                        new DurableStore.StoreRecord("small", small, 11),
                        new DurableStore.StoreRecord("removed", null, 12)),
                compressor));
        assertEquals(12, decoded.revision());
        assertEquals(34, decoded.ageMillis());
        assertArrayEquals(large, decoded.records().get(0).value());
        assertArrayEquals(small, decoded.records().get(1).value());
        assertNull(decoded.records().get(2).value());
        assertEquals(12, decoded.records().get(2).revision());
    }

    /**
     * The load: 2,000 routes sent by one instance to 20 others over a link of 10 Mbit/s. Guards against a configuration
     * that occupies the link for seconds.
     */
    @Test
    void configurationOfThousandsOfRoutesShrinks() {
        byte[] value = configuration(2_000);
        DurableStore.Result result = result(new DurableStore.StoreRecord("config", value, 12));
        int encodedBytes = ViewChangesCodec.encode(result, compressor).length;
        assertTrue(encodedBytes < value.length / 5, encodedBytes + " of " + value.length + " bytes");
    }

    /** Guards against processor time for the same record at each of the instances that receive it. */
    @Test
    void recordIsCompressedOnce() {
        byte[] value = configuration(100);
        assertSame(compressor.compress(value), compressor.compress(value));
    }

    /** Guards against a damaged message that is taken for a record or exhausts the memory. */
    @Test
    void damagedValuesAreRefused() {
        byte[] compressed = compressor.compress(configuration(100));
        byte[] truncated = Arrays.copyOf(compressed, compressed.length / 2);
        assertThrows(IOException.class, () -> ValueCompressor.decompress(truncated));
        assertThrows(IOException.class, () -> ValueCompressor.decompress(new byte[] {1, 2, 3}));
        byte[] tooLarge = compressor.compress(new byte[1024 * 1024 + 1]);
        assertThrows(IOException.class, () -> ValueCompressor.decompress(tooLarge));
    }

    /** Guards against a message that is taken for one of another era. An earlier version states none. */
    @Test
    void eraIsDecodedAsItWasEncoded() throws IOException {
        StoreEra era = new StoreEra(1L << 40);
        assertEquals(
                era,
                ViewChangesCodec.decode(ViewChangesCodec.encode(result().withEra(era), compressor))
                        .era());
        byte[] withoutEra = ViewChangesCodec.encode(result(), compressor);
        assertArrayEquals(new byte[] {8, 12, 16, 34}, withoutEra);
        assertEquals(StoreEra.NONE, ViewChangesCodec.decode(withoutEra).era());
    }
}
