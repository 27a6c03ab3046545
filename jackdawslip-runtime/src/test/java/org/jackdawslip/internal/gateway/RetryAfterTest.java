package org.jackdawslip.internal.gateway;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against a faulty Retry-After header that excludes a server for good or fails a request. */
class RetryAfterTest {

    @ParameterizedTest
    @CsvSource({
        "2, 2000",
        "0.25, 250",
        "' 1.5 ', 1500",
        "0.0001, 1",
        "0, 0",
        "-3, 0",
        "'', 0",
        "soon, 0",
        "NaN, 0",
        "Infinity, 3600000",
        "1e300, 3600000",
        "99999999999999999999, 3600000",
        "'Sat, 05 Dec 2026 14:00:00 GMT', 0"
    })
    void valueIsLimited(String value, long millis) {
        assertEquals(millis, RetryAfter.parseMillis(List.of(value)));
    }

    @Test
    void longestOfSeveralValuesCounts() {
        assertEquals(4_000, RetryAfter.parseMillis(List.of("1", "4", "soon")));
        assertEquals(0, RetryAfter.parseMillis(List.of()));
    }
}
