package org.jackdawslip.standins;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The current sender and the range grants of a backend server.
 *
 * <p>Records the highest accepted sender token and, for each key hash, the highest accepted range token; both
 * only grow. Grants expire by the monotonic time that the caller passes in. Not thread-safe; the caller
 * serializes calls.
 */
final class GrantTable {

    private final boolean checksTokens;
    private List<Grant> grants = List.of();
    private List<Grant> acceptedGrants = new ArrayList<>();
    private long senderToken;
    private String sender = "";

    GrantTable(boolean checksTokens) {
        this.checksTokens = checksTokens;
    }

    long senderToken() {
        return senderToken;
    }

    String sender() {
        return sender;
    }

    /**
     * Returns whether a call with this sender token is accepted, and records a higher token with its sender.
     * A token equal to the current one is accepted from the current sender only; an empty name matches any
     * sender.
     */
    boolean admitSender(String name, long token) {
        int comparison = Long.compareUnsigned(token, senderToken);
        boolean stale =
                comparison < 0 || (comparison == 0 && !name.isEmpty() && !sender.isEmpty() && !name.equals(sender));
        if (checksTokens && stale) {
            return false;
        }
        if (!stale) {
            senderToken = token;
            sender = name.isEmpty() && comparison == 0 ? sender : name;
        }
        return true;
    }

    /** Replaces all grants by the requested ones whose tokens are not stale. Returns the rejected ones. */
    List<Grant> replace(List<Grant> requested) {
        List<Grant> accepted = new ArrayList<>();
        List<Grant> rejected = new ArrayList<>();
        for (Grant grant : requested) {
            if (checksTokens && Long.compareUnsigned(grant.token, highestAcceptedToken(grant)) < 0) {
                rejected.add(grant);
                continue;
            }
            accepted.add(grant);
            acceptedGrants.removeIf(old -> grant.covers(old) && Long.compareUnsigned(old.token, grant.token) <= 0);
            acceptedGrants.add(grant);
        }
        grants = List.copyOf(accepted);
        return rejected;
    }

    /** Returns whether a grant with exactly this token covers the hash and has not expired. */
    boolean owns(long hash, long token, long nowNanos) {
        return !checksTokens
                || grants.stream()
                        .anyMatch(grant ->
                                grant.contains(hash) && grant.token == token && nowNanos - grant.expiresNanos < 0);
    }

    /** Returns the grants that have not expired. */
    List<Grant> unexpired(long nowNanos) {
        return grants.stream()
                .filter(grant -> nowNanos - grant.expiresNanos < 0)
                .toList();
    }

    private long highestAcceptedToken(Grant grant) {
        long highest = 0;
        for (Grant old : acceptedGrants) {
            if (old.overlaps(grant) && Long.compareUnsigned(old.token, highest) > 0) {
                highest = old.token;
            }
        }
        return highest;
    }

    /** A key range of a service with its fencing token and the end of its term. Immutable and thread-safe. */
    record Grant(String service, long first, long last, long token, long expiresNanos) {

        static Grant parse(JsonNode node, long expiresNanos) {
            return new Grant(
                    node.path("service").asText(),
                    Long.parseUnsignedLong(node.path("first").asText(), 16),
                    Long.parseUnsignedLong(node.path("last").asText(), 16),
                    Long.parseUnsignedLong(node.path("token").asText()),
                    expiresNanos);
        }

        boolean contains(long hash) {
            return Long.compareUnsigned(first, hash) <= 0 && Long.compareUnsigned(hash, last) <= 0;
        }

        boolean overlaps(Grant other) {
            return service.equals(other.service)
                    && Long.compareUnsigned(first, other.last) <= 0
                    && Long.compareUnsigned(other.first, last) <= 0;
        }

        boolean covers(Grant other) {
            return service.equals(other.service)
                    && Long.compareUnsigned(first, other.first) <= 0
                    && Long.compareUnsigned(other.last, last) <= 0;
        }

        Map<String, Object> toJson(long nowNanos) {
            Map<String, Object> json = new LinkedHashMap<>();
            json.put("service", service);
            json.put("first", String.format("%016x", first));
            json.put("last", String.format("%016x", last));
            json.put("token", token);
            json.put("leftMillis", Math.max(0, (expiresNanos - nowNanos) / 1_000_000));
            return json;
        }
    }
}
