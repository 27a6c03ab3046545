package org.jackdawslip.internal.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FencingToken;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.internal.durable.StoreEra;
import org.jackdawslip.internal.keyspace.KeySegment;
import org.jackdawslip.internal.keyspace.KeyTable;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

/** Guards against an owner table that differs after encoding and decoding. */
class KeyTableCodecTest {

    private static final KeyTable TABLE = new KeyTable(
            List.of(
                    new KeySegment(0, 99, new BackendServerId("k-1"), 17, new FencingToken(3)),
                    new KeySegment(100, 65_535, new BackendServerId("k-2"), 1L << 41, new FencingToken(1L << 40))),
            new FencingToken(1L << 41));

    @Test
    void tableIsReadAsItWasWritten() {
        KeyTable read = KeyTableCodec.decode(KeyTableCodec.encode(TABLE));
        assertEquals(TABLE.segments(), read.segments());
        assertEquals(TABLE.nextToken(), read.nextToken());
        assertEquals(StoreEra.NONE, read.era());
    }

    /** Guards against a table of an earlier era that is taken for one of the present era. */
    @Test
    void eraOfTheTableIsKept() {
        KeyTable written = new KeyTable(TABLE.segments(), TABLE.nextToken(), new StoreEra(7));
        assertEquals(
                new StoreEra(7),
                KeyTableCodec.decode(KeyTableCodec.encode(written)).era());
    }

    /** Guards against a table with an invalid era that is taken for one of a store without eras. */
    @Test
    void invalidEraIsRejected() {
        String text = new String(KeyTableCodec.encode(TABLE), StandardCharsets.UTF_8);
        for (String era : new String[] {"-1", "\"1\"", "0.5", "null", "18446744073709551616"}) {
            assertFalse(isValidTable(text.replaceFirst("\\{", "{\"era\":" + era + ",")), era);
        }
    }

    /**
     * Guards against numbers out of range that wrap around and texts that are read as 0. Such a table would
     * contain owners that were never granted the keys.
     */
    @Test
    void numbersOutOfRangeAreRejected() {
        String text = new String(KeyTableCodec.encode(TABLE), StandardCharsets.UTF_8);
        List<String> accepted = new ArrayList<>();
        for (String number : new String[] {
            "4294967296",
            "18446744073709551616",
            "1e400",
            "0.5",
            "-1",
            "\"0\"",
            "null",
            "9".repeat(2_000),
            "[".repeat(5_000)
        }) {
            for (String field : new String[] {"[[0,", "\"k-1\",17,3", "\"nextToken\":" + (1L << 41)}) {
                String replacement = field.startsWith("[[")
                        ? "[[" + number + ","
                        : field.startsWith("\"k") ? "\"k-1\",17," + number : "\"nextToken\":" + number;
                boolean fitsLong = number.equals("4294967296") && !field.startsWith("[[");
                if (!fitsLong && isValidTable(text.replace(field, replacement))) {
                    accepted.add(replacement);
                }
            }
        }
        assertEquals(List.of(), accepted);
    }

    private static boolean isValidTable(String text) {
        try {
            KeyTableCodec.decode(text.getBytes(StandardCharsets.UTF_8));
            return true;
        } catch (JackdawslipException e) {
            return false;
        }
    }
}
