package org.jackdawslip.internal.membership;

import java.util.Collection;
import java.util.Comparator;

import org.jackdawslip.InstanceId;

/**
 * An order of instances that all of them agree on without communication. It decides which instance takes a role first:
 * those with the largest bandwidth, because roles for many other instances exchange more messages than the others.
 * Stateless and thread-safe.
 */
public final class InstanceOrder {

    /** Multiplier of Fibonacci hashing. */
    private static final int HASH_MULTIPLIER = 0x9E3779B1;

    /** Orders by bandwidth, the largest first, then by a hash of the id, so that the names do not matter. */
    public static final Comparator<Candidate> COMPARATOR = Comparator.comparingDouble(Candidate::linkMegabitsPerSecond)
            .reversed()
            .thenComparingInt(candidate -> hash(candidate.id()))
            .thenComparing(Candidate::id);

    private InstanceOrder() {}

    /**
     * An instance that may take a role. Immutable and thread-safe.
     *
     * @param id the instance
     * @param linkMegabitsPerSecond the bandwidth of its network link, in megabits per second; 0 if unknown
     */
    public record Candidate(InstanceId id, double linkMegabitsPerSecond) {}

    private static int hash(InstanceId instance) {
        int hash = instance.value().hashCode() * HASH_MULTIPLIER;
        return hash ^ hash >>> 15;
    }

    /** Returns how many of the candidates precede the given one. */
    public static int rank(Candidate candidate, Collection<Candidate> others) {
        return (int) others.stream()
                .filter(other -> COMPARATOR.compare(other, candidate) < 0)
                .count();
    }
}
