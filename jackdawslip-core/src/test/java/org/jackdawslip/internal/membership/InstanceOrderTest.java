package org.jackdawslip.internal.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.jackdawslip.InstanceId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * The load: 63 instances, of which six have 20 times the bandwidth of the others, and one that grants the keys of more
 * than a hundred servers while a configuration of half a megabyte arrives.
 */
class InstanceOrderTest {

    private static final long SEED = 20_261_206;

    private static InstanceOrder.Candidate candidate(int number) {
        return new InstanceOrder.Candidate(new InstanceId("front-" + number), number % 10 == 0 ? 140 : 7);
    }

    /** Guards against a role at an instance on a slow link while there are faster ones. */
    @Test
    void instancesWithTheLargestBandwidthComeFirst() {
        List<InstanceOrder.Candidate> all =
                IntStream.range(0, 63).mapToObj(InstanceOrderTest::candidate).toList();
        for (InstanceOrder.Candidate candidate : all) {
            int rank = InstanceOrder.rank(candidate, all);
            assertEquals(candidate.linkMegabitsPerSecond() > 7, rank < 7, candidate + " has rank " + rank);
        }
    }

    /** Guards against two instances that both believe to be the first. */
    @Test
    void orderDoesNotDependOnTheOrderOfTheListings() {
        List<InstanceOrder.Candidate> all =
                IntStream.range(0, 63).mapToObj(InstanceOrderTest::candidate).toList();
        List<InstanceOrder.Candidate> shuffled = new ArrayList<>(all);
        Collections.shuffle(shuffled, new Random(SEED));
        long first = shuffled.stream()
                .filter(candidate -> InstanceOrder.rank(candidate, shuffled) == 0)
                .count();
        assertEquals(1, first);
        assertEquals(
                all.stream().sorted(InstanceOrder.COMPARATOR).toList(),
                shuffled.stream().sorted(InstanceOrder.COMPARATOR).toList());
    }

    /** Guards against one failure domain whose instances get all roles because of their names. */
    @Test
    void instancesOfTheSameBandwidthAreOrderedByAHash() {
        List<Integer> order = IntStream.range(0, 20)
                .mapToObj(number -> new InstanceOrder.Candidate(new InstanceId("front-" + number), 100))
                .sorted(InstanceOrder.COMPARATOR)
                .map(candidate -> Integer.parseInt(candidate.id().value().substring("front-".length())))
                .toList();
        assertTrue(!order.equals(order.stream().sorted().toList()), "ordered by name");
    }
}
