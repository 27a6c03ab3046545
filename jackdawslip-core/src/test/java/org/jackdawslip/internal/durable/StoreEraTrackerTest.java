package org.jackdawslip.internal.durable;

import java.util.ArrayList;
import java.util.List;

import org.jackdawslip.JackdawslipException;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class StoreEraTrackerTest {

    private final StoreEraTracker tracker = new StoreEraTracker();
    private final List<String> changes = new ArrayList<>();

    /** Guards against a late response of an earlier era that sets the state of an instance back. */
    @Test
    void responseOfEarlierEraIsRejected() {
        assertTrue(tracker.accept(new StoreEra(4)));
        assertTrue(tracker.accept(new StoreEra(5)));
        assertFalse(tracker.accept(new StoreEra(4)));
        assertFalse(tracker.accept(StoreEra.NONE));
        assertEquals(new StoreEra(5), tracker.current());
        assertEquals(2, tracker.rejectedResponses());
    }

    /** Guards against a start that counts as a return from a copy, and against a return that nobody learns of. */
    @Test
    void eachLaterEraIsReportedOnce() {
        tracker.subscribe((earlier, current) -> changes.add(earlier + " to " + current));
        tracker.accept(new StoreEra(4));
        tracker.accept(new StoreEra(4));
        tracker.accept(new StoreEra(5));
        tracker.accept(new StoreEra(5));
        tracker.accept(new StoreEra(7));
        assertEquals(List.of("4 to 5", "5 to 7"), changes);
    }

    /** Guards against a store that states its era only once it came back from a copy. */
    @Test
    void firstStatedEraAfterNoneIsReported() {
        tracker.subscribe((earlier, current) -> changes.add(earlier + " to " + current));
        tracker.accept(StoreEra.NONE);
        tracker.accept(new StoreEra(1));
        assertEquals(List.of("0 to 1"), changes);
    }

    @Test
    void statedEraMustBeANumber() {
        assertEquals(StoreEra.NONE, StoreEra.parse(null));
        assertEquals(new StoreEra(12), StoreEra.parse(" 12 "));
        for (String text : List.of("", "x", "-1", "1.5", "9223372036854775808")) {
            assertThrows(JackdawslipException.class, () -> StoreEra.parse(text), text);
        }
    }
}
