package org.jackdawslip.internal.logging;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.junit.jupiter.api.Assertions.assertEquals;

@Timeout(20)
class AsyncLineWriterTest {

    /** Guards against a log that stays silent after its heap was exhausted once. */
    @Test
    void linesAreWrittenAfterExhaustedHeap() throws InterruptedException {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(written, true, StandardCharsets.UTF_8) {
            @Override
            public void println(String line) {
                if (line.equals("second")) {
                    throw new OutOfMemoryError("simulated");
                }
                super.println(line);
            }
        };
        AsyncLineWriter lines = new AsyncLineWriter(out);
        lines.add("first");
        lines.add("second");
        lines.add("third");
        while (!written.toString(StandardCharsets.UTF_8).contains("third")) {
            Thread.sleep(5);
        }
        lines.close();
        assertEquals("first\nthird\n", written.toString(StandardCharsets.UTF_8).replace("\r\n", "\n"));
        assertEquals(1, lines.dropped());
    }
}
