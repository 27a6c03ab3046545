package org.jackdawslip.internal.membership;

import java.util.Comparator;

import org.jackdawslip.InstanceId;

/**
 * An order of instances that all of them agree on without communication. It decides which instance takes a role first.
 * Stateless and thread-safe.
 */
public final class InstanceOrder {

    /** Multiplier of Fibonacci hashing. */
    private static final int HASH_MULTIPLIER = 0x9E3779B1;

    /** Orders by a hash of the id, so that the order does not depend on how the instances are named. */
    public static final Comparator<InstanceId> COMPARATOR =
            Comparator.comparingInt(InstanceOrder::hash).thenComparing(Comparator.naturalOrder());

    private InstanceOrder() {}

    private static int hash(InstanceId instance) {
        int hash = instance.value().hashCode() * HASH_MULTIPLIER;
        return hash ^ hash >>> 15;
    }

    /** Returns how many of the instances precede the given one. */
    public static int rank(InstanceId instance, Iterable<InstanceId> instances) {
        int rank = 0;
        for (InstanceId other : instances) {
            if (COMPARATOR.compare(other, instance) < 0) {
                rank++;
            }
        }
        return rank;
    }
}
