package org.jackdawslip.internal.gateway;

import java.nio.charset.StandardCharsets;

import org.jackdawslip.internal.gateway.RestoredStoreHold.Decision;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a copy of the store that relaxes what is in force, and against changes that are held for no reason. */
class RestoredStoreHoldTest {

    private static final String SERVER = "server/s-1";
    private static final String OWN_LISTING = "members/self";
    private static final long LISTING_TERM_MILLIS = 3_000;
    private static final long READ_AT = 50_000;
    /** Revision of the first read after the return. */
    private static final long READ_REVISION = 100;

    private final PlatformAdapter adapter = new SimulatedAdapter();
    private final RestoredStoreHold hold = new RestoredStoreHold(adapter, OWN_LISTING, LISTING_TERM_MILLIS);

    private static DurableStore.StoreRecord storeRecord(String key, String value, long revision) {
        return new DurableStore.StoreRecord(
                key, value == null ? null : value.getBytes(StandardCharsets.UTF_8), revision);
    }

    /** Applies a record of before the return; null stands for a removal. */
    private void apply(String key, String value) {
        DurableStore.StoreRecord applied = storeRecord(key, value, 400);
        hold.recordApplied(applied, adapter.decode(applied));
    }

    private void comeBack() {
        hold.begin();
        hold.recordRead(READ_REVISION, READ_AT);
    }

    private Decision decide(String key, String value, long revision, boolean written, long viewAt) {
        DurableStore.StoreRecord shown = storeRecord(key, value, revision);
        return hold.decide(shown, adapter.decode(shown), written, viewAt);
    }

    /** Decides about a record of the copy. */
    private Decision decide(String key, String value) {
        return decide(key, value, READ_REVISION, false, READ_AT);
    }

    /** The value "none" stands for a missing record. */
    @ParameterizedTest
    @CsvSource({
        "config,      5,          none,       HOLD",
        "config,      5,          4,          HOLD",
        "config,      5,          unreadable, HOLD",
        "config,      5,          5,          UNCHANGED",
        "config,      5,          6,          APPLY",
        "config,      unreadable, 5,          HOLD",
        "out/b,       out,        none,       HOLD",
        "out/b,       out,        out,        APPLY",
        "out/b,       none,       out,        APPLY",
        "server/s-1,  ready,      none,       HOLD",
        "server/s-1,  ready,      unreadable, HOLD",
        "server/s-1,  ready,      ready,      UNCHANGED",
        "server/s-1,  ready,      draining,   APPLY",
        "server/s-1,  draining,   ready,      HOLD",
        "server/s-1,  draining,   none,       HOLD",
        "server/s-1,  draining 2, ready 1,    HOLD",
        "server/s-1,  ready 2,    draining 1, HOLD",
        "server/s-1,  draining 2, ready 3,    APPLY",
        "server/s-1,  none,       ready,      APPLY",
        "members/m-1, 10.0.0.1:1, none,       HOLD",
        "members/m-1, 10.0.0.1:1, 10.0.0.1:1, UNCHANGED",
        "members/m-1, 10.0.0.1:1, 10.0.0.2:1, APPLY",
        "members/m-1, none,       10.0.0.2:1, APPLY",
        "members/self,10.0.0.1:1, none,       APPLY",
        "table,       1,          none,       APPLY",
        "table,       1,          1,          APPLY",
    })
    void recordOfTheCopyTakesEffectUnlessItRelaxes(String key, String inForce, String copy, Decision expected) {
        apply(key, inForce.equals("none") ? null : inForce);
        comeBack();
        assertEquals(expected, decide(key, copy.equals("none") ? null : copy));
    }

    /** Guards against requests to a server that has ended, of which the copy does not know. */
    @Test
    void serverThatHasLeftIsNotListedAgain() {
        apply(SERVER, "ready 7");
        apply(SERVER, null);
        comeBack();
        assertEquals(Decision.HOLD, decide(SERVER, "ready 7"));
        assertEquals(Decision.HOLD, decide(SERVER, "ready 6"));
        assertEquals(Decision.APPLY, decide(SERVER, "ready 8"));
    }

    /** Guards against a listing of a server that has ended and that nobody removes before its term. */
    @Test
    void serverThatHasLeftIsHeldUntilItsListingExpires() {
        apply(SERVER, "ready 7");
        apply(SERVER, null);
        comeBack();
        long end = READ_AT + LISTING_TERM_MILLIS + RestoredStoreHold.RECORD_HOLD_MILLIS;
        assertEquals(Decision.HOLD, decide(SERVER, "ready 7", READ_REVISION, false, end - 1));
        assertEquals(Decision.APPLY, decide(SERVER, "ready 7", READ_REVISION, false, end));
        assertEquals(Decision.APPLY, decide(SERVER, "ready 7", READ_REVISION + 1, true, READ_AT));
    }

    /** Guards against an instance that has ended and counts again for shares of global limits. */
    @Test
    void instanceThatHasEndedIsNotListedAgain() {
        apply("members/m-1", "10.0.0.1:1");
        apply("members/m-1", null);
        comeBack();
        assertEquals(Decision.HOLD, decide("members/m-1", "10.0.0.1:1"));
        assertEquals(Decision.APPLY, decide("members/m-1", "10.0.0.2:1"));
        assertEquals(Decision.APPLY, decide("members/m-1", "10.0.0.1:1", READ_REVISION + 1, true, READ_AT));
    }

    /** Guards against warm servers that become cold again, because a listing that is applied states their warm-up. */
    @Test
    void sameListingThatIsWrittenAgainIsNotAppliedAgain() {
        apply(SERVER, "ready");
        comeBack();
        assertEquals(Decision.UNCHANGED, decide(SERVER, "ready", READ_REVISION + 1, true, READ_AT + 500));
    }

    @Test
    void recordThatWasWrittenAfterTheReturnTakesEffectAtOnce() {
        apply(SERVER, "draining");
        apply("config", "5");
        comeBack();
        assertEquals(Decision.APPLY, decide(SERVER, "ready", READ_REVISION + 1, false, READ_AT));
        assertEquals(Decision.APPLY, decide(SERVER, null, READ_REVISION + 1, true, READ_AT));
        assertEquals(Decision.APPLY, decide("config", "4", READ_REVISION + 1, false, READ_AT));
    }

    @Test
    void recordsTakeEffectAfterTheHold() {
        apply(SERVER, "ready");
        apply("members/m-1", "10.0.0.1:1");
        comeBack();
        long recordsEnd = READ_AT + RestoredStoreHold.RECORD_HOLD_MILLIS;
        assertEquals(Decision.HOLD, decide(SERVER, null, READ_REVISION, false, recordsEnd - 1));
        assertEquals(Decision.APPLY, decide(SERVER, null, READ_REVISION, false, recordsEnd));
        assertEquals(Decision.HOLD, decide("members/m-1", null, READ_REVISION, false, recordsEnd));
        long instancesEnd = READ_AT + RestoredStoreHold.INSTANCE_HOLD_MILLIS;
        assertTrue(hold.isActive(instancesEnd - 1));
        assertFalse(hold.isActive(instancesEnd));
        assertEquals(0, hold.remainingMillis("members/m-1", instancesEnd));
    }

    /** The second copy may lack what was written again after the first return. */
    @Test
    void secondReturnStartsTheHoldAnew() {
        apply(SERVER, "ready");
        comeBack();
        long secondReadAt = READ_AT + RestoredStoreHold.RECORD_HOLD_MILLIS - 1;
        hold.begin();
        hold.recordRead(READ_REVISION - 10, secondReadAt);
        assertEquals(
                Decision.HOLD,
                decide(
                        SERVER,
                        null,
                        READ_REVISION - 10,
                        false,
                        secondReadAt + RestoredStoreHold.RECORD_HOLD_MILLIS - 1));
    }

    @Test
    void withoutAReturnAllRecordsTakeEffectAtOnce() {
        apply(SERVER, "draining");
        hold.recordRead(READ_REVISION, READ_AT);
        assertFalse(hold.isActive(READ_AT));
        assertEquals(Decision.APPLY, decide(SERVER, "ready"));
    }

    /** Guards against keys that are accepted by a configuration that may have been replaced before the return. */
    @Test
    void configurationCountsAsCurrentOnceItWasWrittenAgain() {
        apply("config", "5");
        assertFalse(hold.mayHoldOlderConfiguration(READ_AT));
        comeBack();
        assertTrue(hold.mayHoldOlderConfiguration(READ_AT));
        DurableStore.StoreRecord ofTheCopy = storeRecord("config", "6", READ_REVISION);
        hold.recordApplied(ofTheCopy, adapter.decode(ofTheCopy));
        assertTrue(hold.mayHoldOlderConfiguration(READ_AT));
        DurableStore.StoreRecord writtenAgain = storeRecord("config", "6", READ_REVISION + 1);
        hold.recordApplied(writtenAgain, adapter.decode(writtenAgain));
        assertFalse(hold.mayHoldOlderConfiguration(READ_AT));
        comeBack();
        assertFalse(hold.mayHoldOlderConfiguration(READ_AT + RestoredStoreHold.RECORD_HOLD_MILLIS));
    }
}
