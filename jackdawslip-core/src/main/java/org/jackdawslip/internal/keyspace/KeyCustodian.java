package org.jackdawslip.internal.keyspace;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FencingToken;
import org.jackdawslip.internal.balance.Backend;

/**
 * Decides which backend server owns which key slots of one service. Runs at the instance that holds the lease on this
 * role, and only while that lease is valid.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>A segment gets a new owner only after its previous owner confirmed the release, after its longest possible hold
 *       has passed, or after another life of the owner is known. A grant without an answer may take effect after the
 *       release, so then the release is not enough unless the owner has accepted a higher token since.
 *   <li>The table with the new owner and its higher token is durable before the grant is sent.
 *   <li>At most one call about a segment is under way.
 * </ul>
 *
 * <p>A custodian that takes over renews all segments of the durable table with unchanged tokens, so owners go on
 * serving. It counts every hold as if it were renewed at that moment, and then grants with higher tokens, which make
 * the owners refuse what its predecessor may have left unanswered. Not thread-safe.
 */
public final class KeyCustodian {

    /** Segments when keys are first dealt, interleaved because busy keys are neighbours. Each costs its renewals. */
    private static final int FIRST_SEGMENTS = 208;
    /** Segments of each owner when keys are first dealt, at least and at most. */
    private static final int MIN_FIRST_SEGMENTS_PER_OWNER = 4;

    private static final int MAX_FIRST_SEGMENTS_PER_OWNER = 16;
    /**
     * The first deal waits until no server has joined for this long, unless requests wait. At the start of a
     * deployment discovery lists the servers one after another, within about three seconds.
     */
    private static final long SETTLE_MILLIS = 2_000;
    /**
     * Time over which a successor spreads its first renewals. All instances may have restarted, and hundreds of calls
     * at once delay the requests of a process that has just begun.
     */
    private static final long TAKEOVER_MILLIS = 700;
    /** Part of the interval over which renewals are spread. */
    private static final double RENEW_SPREAD = 0.25;
    /** Shortest time between two tables that are written only to give segments higher tokens. */
    private static final long TOKEN_ROUND_MILLIS = 400;
    /** Added to the next token when a server has seen a higher one than the table knows. */
    private static final long TOKEN_STEP = 1_000;

    private enum Phase {
        /** An owner is named in the durable table. */
        OWNED,
        /** The owner is asked to give the segment up. */
        RELEASING,
        /** Nobody owns the segment. */
        FREE,
        /** A new owner is being made durable. */
        SAVING
    }

    /** One segment and the calls about it. */
    private static final class Part {
        final int first;
        final int last;
        KeySegment segment;
        Phase phase;
        long heldUntil;
        /** Until then a grant that got no answer may still take effect, even after a release. */
        long lateUntil;

        long nextCallAt;
        boolean calling;
        /** The owner needs a grant with a higher token, so that it refuses those that are still on the way. */
        boolean needsToken;
        /** The token is higher than that of any grant without an answer. */
        boolean bars;
        /** The newest grant was answered. */
        boolean answered;

        boolean confirmed;
        boolean released;
        String handover;
        BackendServerId target;

        Part(int first, int last, Phase phase) {
            this.first = first;
            this.last = last;
            this.phase = phase;
        }
    }

    private final KeyTiming timing;
    private final KeyOrders orders;
    private final TreeMap<Integer, Part> parts = new TreeMap<>();
    private final Map<BackendServerId, Backend> lastListed = new HashMap<>();
    private FencingToken nextToken;
    private boolean saving;
    private long nextTokenRoundAt;
    private int eligible;
    private long joinedAt;

    /** Takes over the durable table, or deals the keys anew if it is empty. */
    public KeyCustodian(KeyTiming timing, KeyOrders orders, KeyTable table, long now) {
        this.timing = timing;
        this.orders = orders;
        this.nextToken = table.nextToken();
        this.joinedAt = now;
        int next = 0;
        for (KeySegment segment : table.segments()) {
            addFree(next, segment.first() - 1);
            Part part = new Part(segment.first(), segment.last(), Phase.OWNED);
            part.segment = segment;
            part.heldUntil = now + timing.longestHoldMillis();
            // The previous custodian may have sent grants that got no answer.
            part.lateUntil = part.heldUntil;
            part.nextCallAt =
                    now + TAKEOVER_MILLIS * parts.size() / table.segments().size();
            parts.put(part.first, part);
            next = segment.last() + 1;
        }
        addFree(next, KeySegment.SLOTS - 1);
    }

    private void addFree(int first, int last) {
        if (first <= last) {
            parts.put(first, new Part(first, last, Phase.FREE));
        }
    }

    /**
     * Makes the calls that are due.
     *
     * @param listed all backend servers of the service that discovery lists
     * @param capacities the servers that may own keys, with their relative speed
     */
    public void tick(
            Map<BackendServerId, Backend> listed, Map<BackendServerId, Double> capacities, KeyLoads loads, long now) {
        lastListed.putAll(listed);
        if (capacities.size() > eligible) {
            joinedAt = now;
        }
        eligible = capacities.size();
        for (Part part : List.copyOf(parts.values())) {
            if (part.phase == Phase.OWNED) {
                keep(part, listed, capacities, now);
            }
            if (part.phase == Phase.RELEASING) {
                release(part, listed, now);
            }
        }
        if (!saving) {
            assign(capacities, loads, now);
        }
    }

    private void keep(
            Part part, Map<BackendServerId, Backend> listed, Map<BackendServerId, Double> capacities, long now) {
        Backend owner = listed.get(part.segment.owner());
        boolean sameLife = owner != null && owner.startedAtMillis() == part.segment.ownerStartedAtMillis();
        if (sameLife && capacities.containsKey(owner.id())) {
            if (!part.calling && !part.needsToken && now >= part.nextCallAt) {
                part.calling = true;
                part.heldUntil = Math.max(part.heldUntil, now + timing.longestHoldMillis());
                orders.grant(owner, part.segment, part.handover);
            }
        } else if (!capacities.isEmpty()) {
            part.phase = Phase.RELEASING;
            part.nextCallAt = now;
        }
    }

    private void release(Part part, Map<BackendServerId, Backend> listed, long now) {
        Backend owner = lastListed.get(part.segment.owner());
        boolean released = part.released && now >= part.lateUntil;
        if (released || now >= part.heldUntil || ended(part.segment, owner, listed)) {
            free(part, part.released ? part.handover : null);
        } else if (part.released) {
            return;
        } else if (!part.calling && now >= part.nextCallAt && owner != null) {
            part.calling = true;
            orders.announce(part.segment, false);
            orders.release(owner, part.segment);
        }
    }

    /** Returns whether the life of the owner is over: its id has another life or its address another server. */
    private static boolean ended(KeySegment segment, Backend lastListed, Map<BackendServerId, Backend> listed) {
        Backend now = listed.get(segment.owner());
        if (now != null) {
            return now.startedAtMillis() != segment.ownerStartedAtMillis();
        }
        return lastListed != null
                && listed.values().stream().anyMatch(other -> other.address().equals(lastListed.address()));
    }

    private void free(Part part, String handover) {
        part.phase = Phase.FREE;
        part.handover = handover;
        part.calling = false;
        part.released = false;
        part.needsToken = false;
        part.bars = false;
        part.lateUntil = 0;
        part.heldUntil = 0;
    }

    private void assign(Map<BackendServerId, Double> capacities, KeyLoads loads, long now) {
        List<Part> free =
                parts.values().stream().filter(part -> part.phase == Phase.FREE).toList();
        List<Part> barred = now < nextTokenRoundAt ? List.of() : partsToBar(capacities, now);
        if (free.isEmpty() && barred.isEmpty() || capacities.isEmpty()) {
            return;
        }
        if (free.size() == 1 && free.get(0).first == 0 && free.get(0).last == KeySegment.SLOTS - 1) {
            if (loads.total() == 0 && now - joinedAt < SETTLE_MILLIS) {
                return;
            }
            int perOwner = Math.min(MAX_FIRST_SEGMENTS_PER_OWNER, FIRST_SEGMENTS / capacities.size());
            free = deal(Math.max(MIN_FIRST_SEGMENTS_PER_OWNER, perOwner) * capacities.size());
        }
        Map<BackendServerId, Double> owned = owned(capacities, loads);
        FencingToken token = nextToken;
        for (Part part : barred) {
            nextTokenRoundAt = now + TOKEN_ROUND_MILLIS;
            part.phase = Phase.SAVING;
            part.needsToken = false;
            part.bars = true;
            part.segment = new KeySegment(
                    part.first, part.last, part.segment.owner(), part.segment.ownerStartedAtMillis(), token);
        }
        for (Part part : free) {
            boolean targetUsable = part.target != null && capacities.containsKey(part.target);
            BackendServerId owner = targetUsable ? part.target : leastLoaded(owned, capacities);
            owned.merge(owner, weight(part, loads), Double::sum);
            part.phase = Phase.SAVING;
            part.confirmed = false;
            part.target = null;
            part.segment = new KeySegment(
                    part.first, part.last, owner, lastListed.get(owner).startedAtMillis(), token);
        }
        nextToken = token.next();
        saving = true;
        orders.save(table());
    }

    /** Returns the segments whose owners have to refuse grants that are still on the way, once one of them is due. */
    private List<Part> partsToBar(Map<BackendServerId, Double> capacities, long now) {
        List<Part> waiting = parts.values().stream()
                .filter(part -> part.phase == Phase.OWNED && part.needsToken)
                .filter(part -> capacities.containsKey(part.segment.owner()))
                .toList();
        return waiting.stream().noneMatch(part -> now >= part.nextCallAt)
                ? List.of()
                : waiting.stream()
                        .filter(part -> part.answered || now >= part.nextCallAt)
                        .toList();
    }

    private List<Part> deal(int count) {
        parts.clear();
        int size = KeySegment.SLOTS / count / KeyLoads.BLOCK * KeyLoads.BLOCK;
        for (int i = 0; i < count; i++) {
            addFree(i * size, i == count - 1 ? KeySegment.SLOTS - 1 : (i + 1) * size - 1);
        }
        return List.copyOf(parts.values());
    }

    private Map<BackendServerId, Double> owned(Map<BackendServerId, Double> capacities, KeyLoads loads) {
        Map<BackendServerId, Double> owned = new TreeMap<>();
        capacities.keySet().forEach(owner -> owned.put(owner, 0.0));
        for (Part part : parts.values()) {
            if (part.phase == Phase.OWNED) {
                owned.computeIfPresent(part.segment.owner(), (owner, load) -> load + weight(part, loads));
            }
        }
        return owned;
    }

    /** Weighs a part by its load; the size decides as long as no load is known. */
    private static double weight(Part part, KeyLoads loads) {
        double perSlot = (loads.total() + 1) / KeySegment.SLOTS;
        return loads.load(part.first, part.last) + 0.2 * perSlot * (part.last - part.first + 1);
    }

    private static BackendServerId leastLoaded(
            Map<BackendServerId, Double> owned, Map<BackendServerId, Double> capacities) {
        return owned.entrySet().stream()
                .min(Comparator.comparingDouble(entry -> entry.getValue() / capacities.get(entry.getKey())))
                .orElseThrow()
                .getKey();
    }

    /** Returns the current owners, the ones being made durable included. */
    private KeyTable table() {
        List<KeySegment> segments = new ArrayList<>();
        for (Part part : parts.values()) {
            if (part.phase != Phase.FREE) {
                segments.add(part.segment);
            }
        }
        return new KeyTable(segments, nextToken);
    }

    /** Takes the answer to {@link KeyOrders#save}: the table is durable. */
    public void saved(long now) {
        saving = false;
        for (Part part : parts.values()) {
            if (part.phase == Phase.SAVING) {
                part.phase = Phase.OWNED;
                part.calling = false;
                part.heldUntil = Math.max(part.heldUntil, now);
                if (!part.bars) {
                    part.nextCallAt = now;
                }
            }
        }
    }

    /**
     * Decides whether a grant is still to be sent. It may have waited since {@link KeyOrders#grant}, and its term
     * counts from its arrival at the server.
     */
    public boolean sends(KeySegment segment, long now) {
        Part part = parts.get(segment.first());
        if (part == null || !segment.equals(part.segment) || part.phase != Phase.OWNED) {
            return false;
        }
        part.heldUntil = Math.max(part.heldUntil, now + timing.longestHoldMillis());
        return true;
    }

    /** Takes the answer to {@link KeyOrders#grant}. */
    public void granted(KeySegment segment, GrantResult result, long now) {
        Part part = parts.get(segment.first());
        if (part == null || !segment.equals(part.segment) || !part.calling) {
            return;
        }
        part.calling = false;
        switch (result) {
            case ACCEPTED -> {
                if (!part.confirmed) {
                    part.confirmed = true;
                    orders.announce(segment, true);
                }
                part.handover = null;
                part.answered = true;
                part.nextCallAt = now + spread(part.first);
                if (part.bars) {
                    part.bars = false;
                    part.lateUntil = 0;
                } else if (now < part.lateUntil) {
                    // The grant with a higher token takes the place of the next renewal.
                    part.needsToken = true;
                }
            }
            case STALE_TOKEN -> {
                nextToken = new FencingToken(nextToken.value() + TOKEN_STEP);
                part.phase = Phase.RELEASING;
                part.nextCallAt = now;
            }
            case UNKNOWN -> {
                part.lateUntil = Math.max(part.lateUntil, part.heldUntil);
                part.needsToken = true;
                part.bars = false;
                part.answered = false;
                part.nextCallAt = now + timing.regrantMillis();
            }
            case NOT_SENT -> part.nextCallAt = now;
            default -> throw new IllegalStateException("grant result " + result);
        }
    }

    /** Returns the time until the next renewal of a segment; segments that were dealt together renew apart. */
    private long spread(int first) {
        int hash = (first * 0x9E3779B1) >>> 24;
        return Math.round(timing.renewMillis() * (1 - RENEW_SPREAD * hash / 256));
    }

    /**
     * Takes the answer to {@link KeyOrders#release}.
     *
     * @param confirmed whether the server confirmed it
     * @param handover the state for the next owner, or null
     */
    public void released(KeySegment segment, boolean confirmed, String handover, long now) {
        Part part = parts.get(segment.first());
        if (part == null || !segment.equals(part.segment) || part.phase != Phase.RELEASING) {
            return;
        }
        part.calling = false;
        if (confirmed) {
            part.released = true;
            part.handover = handover;
        } else {
            part.nextCallAt = now + timing.rereleaseMillis();
        }
    }

    /**
     * Starts to move slots to other owners. Parts that are not at rest are left out.
     *
     * @return how many moves were started
     */
    public int move(List<KeyMove> moves, long now) {
        int started = 0;
        for (KeyMove move : moves) {
            Map.Entry<Integer, Part> entry = parts.floorEntry(move.first());
            Part part = entry == null ? null : entry.getValue();
            boolean atRest = part != null && part.phase == Phase.OWNED && !part.calling && now >= part.lateUntil;
            if (atRest && move.last() <= part.last) {
                Part moved = split(part, move);
                moved.target = move.target();
                moved.phase = Phase.RELEASING;
                moved.nextCallAt = now;
                started++;
            }
        }
        return started;
    }

    private Part split(Part part, KeyMove move) {
        parts.remove(part.first);
        addOwned(part, part.first, move.first() - 1);
        addOwned(part, move.last() + 1, part.last);
        return addOwned(part, move.first(), move.last());
    }

    private Part addOwned(Part whole, int first, int last) {
        if (first > last) {
            return null;
        }
        Part part = new Part(first, last, Phase.OWNED);
        part.segment = whole.segment.part(first, last);
        part.heldUntil = whole.heldUntil;
        part.lateUntil = whole.lateUntil;
        part.nextCallAt = whole.nextCallAt;
        part.needsToken = whole.needsToken;
        part.bars = whole.bars;
        part.answered = whole.answered;
        part.handover = whole.handover;
        part.confirmed = whole.confirmed;
        parts.put(first, part);
        return part;
    }

    /** Returns the segments that have an owner and are not about to move. */
    public List<KeySegment> ownedSegments() {
        return parts.values().stream()
                .filter(part -> part.phase == Phase.OWNED)
                .map(part -> part.segment)
                .toList();
    }
}
