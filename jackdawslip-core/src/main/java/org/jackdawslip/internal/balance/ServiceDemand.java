package org.jackdawslip.internal.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The recent requests to one service at this instance by class: how many were admitted and how many refused.
 *
 * <p>The counts decay, so that they describe the last seconds. Invariant: classes without recent requests are dropped
 * when a new class appears, so the number of classes is limited by the configuration. Not thread-safe.
 */
final class ServiceDemand {

    /** Half-life of the counts. Bursts last for some seconds; a shorter time leaves few requests to count. */
    private static final double HALF_LIFE_MILLIS = 3_000;
    /** Decayed count from which a class has recent demand. A single request stays above it for one half-life. */
    private static final double MIN_RECENT_REQUESTS = 0.5;
    /** Decayed count below which a class is dropped; a single request reaches it after 20 s. */
    private static final double FORGOTTEN_REQUESTS = 0.01;

    private final Map<RequestClass, Counts> classes = new HashMap<>();
    private long countedAt;

    /** Decayed counts of one class. */
    private static final class Counts {
        private double admitted;
        private double refused;
        /** Usual response time of the newest request at an idle server, in milliseconds. */
        private double usualMillis;

        private double requests() {
            return admitted + refused;
        }
    }

    /** Counts a decision. */
    void record(RequestClass requestClass, boolean admitted, double usualMillis, long now) {
        decay(now);
        Counts counts = classes.get(requestClass);
        if (counts == null) {
            classes.values().removeIf(other -> other.requests() < FORGOTTEN_REQUESTS);
            counts = new Counts();
            classes.put(requestClass, counts);
        }
        counts.usualMillis = usualMillis;
        if (admitted) {
            counts.admitted++;
        } else {
            counts.refused++;
        }
    }

    private void decay(long now) {
        if (now > countedAt) {
            double weight = Math.pow(0.5, (now - countedAt) / HALF_LIFE_MILLIS);
            for (Counts counts : classes.values()) {
                counts.admitted *= weight;
                counts.refused *= weight;
            }
        }
        countedAt = Math.max(countedAt, now);
    }

    /** Returns whether requests with a priority other than that of the class were recently received. */
    boolean competes(RequestClass requestClass, long now) {
        decay(now);
        for (Map.Entry<RequestClass, Counts> entry : classes.entrySet()) {
            if (entry.getKey().priority() != requestClass.priority()
                    && entry.getValue().requests() >= MIN_RECENT_REQUESTS) {
                return true;
            }
        }
        return false;
    }

    /** Returns the more urgent classes with recent requests. */
    List<RequestClass> moreUrgentClasses(RequestClass requestClass, long now) {
        decay(now);
        List<RequestClass> urgent = new ArrayList<>();
        classes.forEach((other, counts) -> {
            if (other.moreUrgentThan(requestClass) && counts.requests() >= MIN_RECENT_REQUESTS) {
                urgent.add(other);
            }
        });
        return urgent;
    }

    /** Returns the usual response time of a class with recent requests, in milliseconds. */
    double usualMillis(RequestClass requestClass) {
        return classes.get(requestClass).usualMillis;
    }

    /** Returns the part of the recent requests that belongs to the class, from 0 to 1. */
    double share(RequestClass requestClass, long now) {
        decay(now);
        Counts own = classes.get(requestClass);
        double all = classes.values().stream().mapToDouble(Counts::requests).sum();
        return own == null || all == 0 ? 0 : own.requests() / all;
    }

    /**
     * Returns whether one more refusal would leave the class with less than its guaranteed minimum.
     *
     * @param minimum the guaranteed admitted share of the class, relative to that of all requests
     */
    boolean isBelowMinimum(RequestClass requestClass, double minimum, long now) {
        decay(now);
        Counts own = classes.get(requestClass);
        double admitted = own == null ? 0 : own.admitted;
        double requests = own == null ? 0 : own.requests();
        double allAdmitted =
                classes.values().stream().mapToDouble(counts -> counts.admitted).sum();
        double allRequests =
                classes.values().stream().mapToDouble(Counts::requests).sum();
        return admitted + 1 <= minimum * allAdmitted / Math.max(1, allRequests) * (requests + 1);
    }
}
