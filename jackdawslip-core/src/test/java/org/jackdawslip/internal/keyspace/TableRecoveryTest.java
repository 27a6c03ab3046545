package org.jackdawslip.internal.keyspace;

import java.util.List;
import java.util.Map;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FencingToken;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.durable.StoreEra;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against two owners of a key, and reused tokens, after the store came back from an earlier copy. */
class TableRecoveryTest {

    private static final ServiceName SERVICE = new ServiceName("sheets");
    private static final long RETRY_MILLIS = 300;
    private static final long GRANTS_END_AT = 10_000;

    private static KeyTable table(String owner, long token, long era) {
        KeySegment segment =
                new KeySegment(0, KeySegment.SLOTS - 1, new BackendServerId(owner), 1, new FencingToken(token));
        return new KeyTable(List.of(segment), new FencingToken(token + 1), new StoreEra(era));
    }

    private static TableRecovery.Plan plan(
            long era, KeyTable stored, KeyTable retained, KeyTable known, boolean returnSeen, long now) {
        return TableRecovery.plan(
                new TableRecovery.Knowledge(new StoreEra(era), stored, retained, known, returnSeen, GRANTS_END_AT),
                now,
                RETRY_MILLIS);
    }

    private static String owner(KeyTable table) {
        return table.find(0).owner().value();
    }

    @Test
    void tableOfTheCurrentEraIsUsed() {
        KeyTable stored = table("s1", 5, 2);
        TableRecovery.Plan plan = plan(2, stored, table("s2", 9, 1), KeyTable.empty(), true, 0);
        assertEquals(TableRecovery.Step.USE, plan.step());
        assertSame(stored, plan.table());
    }

    /** Guards against keys without an owner for seconds at the first start of a deployment. */
    @Test
    void missingTableWithoutAReturnIsAFreshStart() {
        for (long era : new long[] {0, 1}) {
            TableRecovery.Plan plan = plan(era, null, null, KeyTable.empty(), false, 0);
            assertEquals(TableRecovery.Step.USE, plan.step());
            assertEquals(List.of(), plan.table().segments());
            assertEquals(new StoreEra(era), plan.table().era());
        }
    }

    /** Guards against a process that starts after the return of the store and takes the lost table for none. */
    @Test
    void missingTableInALaterEraWaitsAlsoInANewProcess() {
        TableRecovery.Plan plan = plan(2, null, null, KeyTable.empty(), false, 0);
        assertEquals(TableRecovery.Step.READ_LATER, plan.step());
        assertEquals(TableRecovery.Reason.TABLE_LOST, plan.reason());
        KeyTable restored =
                plan(2, null, null, KeyTable.empty(), false, GRANTS_END_AT).table();
        assertTrue(restored.nextToken().value() > TableRecovery.TOKEN_MARGIN);
    }

    @Test
    void exactTableIsWrittenAtOnceWithItsTokens() {
        TableRecovery.Plan plan = plan(2, table("s1", 5, 1), table("s2", 9, 1), table("s2", 9, 1), true, 0);
        assertEquals(TableRecovery.Step.WRITE, plan.step());
        assertEquals("s2", owner(plan.table()));
        assertEquals(9, plan.table().find(0).token().value());
        assertEquals(11, plan.table().nextToken().value());
        assertEquals(new StoreEra(2), plan.table().era());
    }

    @Test
    void exactTableReplacesAMissingOne() {
        TableRecovery.Plan plan = plan(2, null, table("s2", 9, 1), KeyTable.empty(), true, 0);
        assertEquals(TableRecovery.Step.WRITE, plan.step());
        assertEquals("s2", owner(plan.table()));
    }

    @Test
    void tableOfAnEarlierEraWaitsForTheEndOfEarlierGrants() {
        KeyTable stored = table("s1", 5, 1);
        TableRecovery.Plan early = plan(2, stored, null, KeyTable.empty(), false, GRANTS_END_AT - 1);
        assertEquals(TableRecovery.Step.READ_LATER, early.step());
        assertEquals(GRANTS_END_AT, early.readAt());
        TableRecovery.Plan due = plan(2, stored, null, KeyTable.empty(), false, GRANTS_END_AT);
        assertEquals(TableRecovery.Step.WRITE, due.step());
        assertEquals("s1", owner(due.table()));
        assertEquals(new StoreEra(2), due.table().era());
    }

    /** Guards against keys that are granted as at a first start although the lost table named owners. */
    @Test
    void tableThatWasLostWaitsForTheEndOfEarlierGrants() {
        TableRecovery.Plan plan = plan(2, null, null, table("s2", 9, 1), true, 0);
        assertEquals(TableRecovery.Step.READ_LATER, plan.step());
        assertEquals(TableRecovery.Reason.TABLE_LOST, plan.reason());
        KeyTable restored =
                plan(2, null, null, table("s2", 9, 1), true, GRANTS_END_AT).table();
        assertEquals("s2", owner(restored));
        assertTrue(restored.find(0).token().value() >= 10 + TableRecovery.TOKEN_MARGIN);
    }

    /** Guards against a table of an earlier version, which states no era, that is taken for the current one. */
    @Test
    void tableWithoutEraIsEarlierOnceTheStoreStatesOne() {
        assertEquals(
                TableRecovery.Reason.EARLIER_ERA,
                plan(1, table("s1", 5, 0), null, KeyTable.empty(), false, 0).reason());
        assertEquals(
                TableRecovery.Reason.CURRENT_ERA,
                plan(0, table("s1", 5, 0), null, KeyTable.empty(), false, 0).reason());
    }

    @Test
    void tableOfALaterEraIsReadAgain() {
        TableRecovery.Plan plan = plan(2, table("s1", 5, 3), table("s2", 9, 1), KeyTable.empty(), true, 50_000);
        assertEquals(TableRecovery.Step.READ_LATER, plan.step());
        assertEquals(50_000 + RETRY_MILLIS, plan.readAt());
    }

    /** Guards against a token that was granted in the first of two eras whose stores came from the same copy. */
    @Test
    void tokensOfTwoReturnsFromTheSameCopyDiffer() {
        KeyTable copy = table("s1", 5, 1);
        KeyTable first =
                plan(2, copy, null, KeyTable.empty(), false, GRANTS_END_AT).table();
        KeyTable second =
                plan(3, copy, null, KeyTable.empty(), false, GRANTS_END_AT).table();
        long granted = first.nextToken().value() + TableRecovery.TOKEN_MARGIN / 2;
        assertTrue(second.find(0).token().value() > granted);
    }

    /** Guards against a token that was granted in an era without a table, once a later copy has an earlier table. */
    @Test
    void tokensAfterALostTableAreNotUsedAgain() {
        KeyTable first =
                plan(2, null, null, KeyTable.empty(), true, GRANTS_END_AT).table();
        KeyTable second = plan(3, table("s1", 5, 1), null, KeyTable.empty(), false, GRANTS_END_AT)
                .table();
        long granted = first.nextToken().value() + TableRecovery.TOKEN_MARGIN / 2;
        assertTrue(second.find(0).token().value() > granted);
    }

    /** Guards against owners and tokens of the copy where this instance saw a later table. */
    @Test
    void newestKnownTableIsRestored() {
        KeyTable known = table("s2", 9_000_000, 1);
        KeyTable restored =
                plan(2, table("s1", 5, 1), null, known, true, GRANTS_END_AT).table();
        assertEquals("s2", owner(restored));
        assertTrue(restored.find(0).token().compareTo(known.nextToken()) > 0);
    }

    /** Guards against grants before a holder that does not know of the era has lost its lease and its grants ended. */
    @Test
    void earlierGrantsEndAfterTheTermOfTheRoleAndTheLongestHold() {
        long hold = FakeOwners.TIMING.maxHoldMillis();
        assertEquals(1_000 + 2_500 + hold, TableRecovery.earlierGrantsEndAt(1_000, 2_000, 2_500, FakeOwners.TIMING));
        assertEquals(9_000 + hold, TableRecovery.earlierGrantsEndAt(1_000, 9_000, 2_500, FakeOwners.TIMING));
    }

    private static RetainedTables retained(long heldIn, boolean leaseValid) {
        RetainedTables tables = new RetainedTables();
        tables.retain(Map.of(SERVICE, table("s2", 9, heldIn)), new StoreEra(heldIn), leaseValid);
        return tables;
    }

    @Test
    void memoryIsExactInTheEraThatFollows() {
        RetainedTables tables = retained(1, true);
        assertTrue(tables.containsAny(new StoreEra(2)));
        assertEquals("s2", owner(tables.find(SERVICE, new StoreEra(2))));
        tables.remove(SERVICE);
        assertNull(tables.find(SERVICE, new StoreEra(2)));
    }

    /** Guards against owners that another instance assigned in an era that this instance did not see. */
    @Test
    void memoryIsNotExactAfterAnUnknownEra() {
        RetainedTables tables = retained(1, true);
        assertNull(tables.find(SERVICE, new StoreEra(3)));
        assertFalse(tables.containsAny(new StoreEra(3)));
    }

    /** Guards against owners that a successor assigned after the lease had expired. */
    @Test
    void memoryIsNotExactAfterTheEndOfTheLease() {
        assertNull(retained(1, false).find(SERVICE, new StoreEra(2)));
    }

    /** Guards against the memory of one era that is used in a later one after a second return. */
    @Test
    void memoryIsReplacedAtTheNextReturn() {
        RetainedTables tables = retained(1, true);
        tables.retain(Map.of(), new StoreEra(2), false);
        assertNull(tables.find(SERVICE, new StoreEra(3)));
        assertNull(tables.find(SERVICE, new StoreEra(2)));
    }

    /** Guards against a memory that counts as exact although a key coordinator of an earlier version acted since. */
    @Test
    void memoryIsOutdatedByATableWithHigherTokens() {
        KeyTable withoutEra = table("s2", 50, 0);
        assertEquals(
                TableRecovery.Reason.EARLIER_ERA,
                plan(2, withoutEra, table("s1", 9, 1), KeyTable.empty(), true, 0)
                        .reason());
        assertEquals(
                TableRecovery.Reason.TABLE_LOST,
                plan(2, null, table("s1", 9, 1), withoutEra, true, 0).reason());
    }

    /** Guards against a second wait for the owners of a restored table, which hold nothing any more. */
    @Test
    void restoredTableHasNoHolders() {
        KeyTable stored = table("s1", 5, 1);
        assertTrue(plan(2, stored, null, KeyTable.empty(), true, GRANTS_END_AT).grantsEnded());
        assertFalse(
                plan(2, stored, table("s1", 9, 1), KeyTable.empty(), true, 0).grantsEnded());
        assertFalse(plan(2, table("s1", 5, 2), null, KeyTable.empty(), true, 0).grantsEnded());
    }
}
