package org.jackdawslip.internal.keyspace;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

import org.jackdawslip.FencingToken;
import org.jackdawslip.internal.durable.StoreEra;

/**
 * Decides which owner table a new holder of the role of key coordinator starts with. The store may have come back from
 * an earlier copy, whose table names earlier owners and lower tokens.
 *
 * <p>Invariants: a table that does not name all possible owners is not used before their grants have ended; its tokens
 * are replaced by higher ones than any that were granted. Stateless and thread-safe.
 */
public final class TableRecovery {

    /**
     * Added to the next token for each era between a table and the present one; more tokens than key coordinators use
     * between two returns of the store.
     */
    static final long TOKEN_MARGIN = 1_000_000;
    /** Bounds the tokens that are skipped if a table states no era. */
    private static final long MAX_ERA_DISTANCE = 1_000_000;

    private TableRecovery() {}

    /** What the holder of the role does next. */
    public enum Step {
        /** Use the table. */
        USE,
        /** Write the table, and use it once it is durable. */
        WRITE,
        /** Read the table in the store again at a later time. */
        READ_LATER
    }

    /** Why a table is used or not. */
    public enum Reason {
        /** The table in the store was written in the present era. */
        CURRENT_ERA,
        /** The service has no table yet. */
        NO_TABLE,
        /** This instance was the key coordinator until the store came back, so the table in its memory is exact. */
        OWN_MEMORY,
        /** The table in the store was written before the store came back. */
        EARLIER_ERA,
        /** The table may have been lost when the store came back. */
        TABLE_LOST,
        /** The table in the store was written in an era that the store has not stated yet. */
        LATER_ERA
    }

    /**
     * What the holder of the role knows.
     *
     * @param current the present era of the store
     * @param stored the table in the store, or null if there is none
     * @param retained the exact table at the start of the present era, or null if it is not known
     * @param known the newest table that this instance has seen
     * @param returnSeen whether this process saw the store come back from an earlier copy
     * @param earlierGrantsEndAt time at which all grants of earlier key coordinators have ended
     */
    public record Knowledge(
            StoreEra current,
            KeyTable stored,
            KeyTable retained,
            KeyTable known,
            boolean returnSeen,
            long earlierGrantsEndAt) {}

    /**
     * The decision.
     *
     * @param table the table to use or to write; null if the store is to be read later
     * @param readAt when the store is to be read again; 0 if a table can be used or written now
     */
    public record Plan(Step step, Reason reason, KeyTable table, long readAt) {

        /** Returns whether nobody holds a segment of the table, because all earlier grants have ended. */
        public boolean grantsEnded() {
            return step == Step.WRITE && reason != Reason.OWN_MEMORY;
        }

        /** Creates the key coordinator that starts with the table. */
        public KeyCoordinator start(KeyTiming timing, KeyCoordinatorActions actions, long now) {
            return grantsEnded()
                    ? KeyCoordinator.afterAllGrantsEnded(timing, actions, table, now)
                    : new KeyCoordinator(timing, actions, table, now);
        }
    }

    /**
     * Returns when all grants of earlier key coordinators have ended.
     *
     * @param eraLearnedAt when this process learned of the present era, or started
     * @param coordinatedUntil when a key coordinator last sent ownership calls in the present era at the latest; the
     *     time at which this instance took the role unless it sent some itself since
     * @param roleTermMillis the term of the lease of the role, during which a holder may not know of the present era
     */
    public static long earlierGrantsEndAt(
            long eraLearnedAt, long coordinatedUntil, long roleTermMillis, KeyTiming timing) {
        return Math.max(eraLearnedAt + roleTermMillis, coordinatedUntil) + timing.maxHoldMillis();
    }

    /**
     * Decides what to do with the table that was just read from the store.
     *
     * @param retryMillis delay before a table that cannot be explained is read again
     */
    public static Plan plan(Knowledge knowledge, long now, long retryMillis) {
        Reason reason = reason(knowledge);
        return switch (reason) {
            case CURRENT_ERA -> new Plan(Step.USE, reason, knowledge.stored(), 0);
            case NO_TABLE -> {
                KeyTable empty = new KeyTable(List.of(), knowledge.known().nextToken(), knowledge.current());
                yield new Plan(Step.USE, reason, empty, 0);
            }
            case OWN_MEMORY -> {
                KeyTable exact = knowledge.retained();
                // The higher token orders the table after the one that other instances know.
                KeyTable rewritten =
                        new KeyTable(exact.segments(), exact.nextToken().next(), knowledge.current());
                yield new Plan(Step.WRITE, reason, rewritten, 0);
            }
            case EARLIER_ERA, TABLE_LOST -> now < knowledge.earlierGrantsEndAt()
                    ? new Plan(Step.READ_LATER, reason, null, knowledge.earlierGrantsEndAt())
                    : new Plan(Step.WRITE, reason, withNewTokens(knowledge), 0);
            case LATER_ERA -> new Plan(Step.READ_LATER, reason, null, now + retryMillis);
        };
    }

    private static Reason reason(Knowledge knowledge) {
        KeyTable stored = knowledge.stored();
        int order = stored == null ? -1 : stored.era().compareTo(knowledge.current());
        if (order > 0) {
            return Reason.LATER_ERA;
        } else if (order == 0) {
            return Reason.CURRENT_ERA;
        } else if (isNewest(knowledge.retained(), knowledge)) {
            return Reason.OWN_MEMORY;
        } else if (stored != null) {
            return Reason.EARLIER_ERA;
        }
        boolean returned = knowledge.returnSeen() || knowledge.current().followsReturn();
        return returned ? Reason.TABLE_LOST : Reason.NO_TABLE;
    }

    /** A table with higher tokens may be of a key coordinator of a version that states no era. */
    private static boolean isNewest(KeyTable retained, Knowledge knowledge) {
        return retained != null
                && Stream.of(knowledge.stored(), knowledge.known())
                        .filter(Objects::nonNull)
                        .allMatch(table -> table.nextToken().compareTo(retained.nextToken()) <= 0);
    }

    /** Returns the newest table with a token for all segments that is higher than all that were granted. */
    private static KeyTable withNewTokens(Knowledge knowledge) {
        StoreEra current = knowledge.current();
        List<KeyTable> tables = Stream.of(knowledge.stored(), knowledge.known())
                .filter(Objects::nonNull)
                .toList();
        long highest = tables.stream()
                .mapToLong(table -> table.nextToken().value() + skippedTokens(table.era(), current))
                .max()
                .orElseThrow();
        FencingToken token = new FencingToken(Math.max(highest, lowestToken(current)));
        List<KeySegment> segments =
                tables.stream().max(Comparator.comparing(KeyTable::nextToken)).orElseThrow().segments().stream()
                        .map(segment -> new KeySegment(
                                segment.first(),
                                segment.last(),
                                segment.owner(),
                                segment.ownerStartedAtMillis(),
                                token))
                        .toList();
        return new KeyTable(segments, token.next(), current);
    }

    /**
     * Returns how many tokens may have been granted since a table was written and are unknown. A table of the copy may
     * be the base of a new one in each era, so the margin grows with the number of eras.
     */
    private static long skippedTokens(StoreEra written, StoreEra current) {
        long distance = current.number() - written.number();
        return TOKEN_MARGIN * Math.max(1, Math.min(MAX_ERA_DISTANCE, distance));
    }

    /**
     * Returns a token above all that may have been granted before the given era if a lost table was replaced in an
     * earlier one. Twice the margin, because the tokens of each era follow the ones of the era before.
     */
    private static long lowestToken(StoreEra current) {
        return 2 * TOKEN_MARGIN * Math.min(MAX_ERA_DISTANCE, current.number());
    }
}
