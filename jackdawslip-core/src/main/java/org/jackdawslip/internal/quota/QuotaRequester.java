package org.jackdawslip.internal.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.jackdawslip.AccountName;
import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.account.ClientAccount;
import org.jackdawslip.internal.account.Quota;
import org.jackdawslip.internal.time.MonotonicClock;
import org.jackdawslip.internal.time.WallClock;

/**
 * The side of an instance that receives requests of accounts: obtains tokens from the quota owners.
 *
 * <p>Invariants: each admitted request uses one token, which was granted no longer ago than the validity of tokens. The
 * age of a token counts from the time at which it was requested, by the monotonic clock and by the time of day, because
 * the monotonic clock does not count a suspension. Each reply is used at most once. A request waits at most
 * {@link #MAX_WAIT_MILLIS} for its decision, apart from a late call of {@link #checkTimeouts}. Not thread-safe.
 */
public final class QuotaRequester {

    /** The longest time for which a request waits for a token, in milliseconds. */
    public static final long MAX_WAIT_MILLIS = 250;
    /** Time without a reply after which the tokens are requested again, in milliseconds. */
    static final long REPEAT_MILLIS = 50;
    /** Number of times that tokens are requested before the owner counts as unreachable. */
    private static final int MAX_ATTEMPTS = 3;
    /** Time for which requests are refused at once after the owner did not reply, in milliseconds. */
    private static final long UNREACHABLE_MILLIS = 200;
    /**
     * Time after a refusal for which requests are refused without asking the owner again, in milliseconds. It limits
     * the refused requests for tokens of one account to 10 a second from each instance. Tokens that accrue in this time
     * are granted later.
     */
    static final long BLOCKED_MILLIS = 100;
    /** Retry delay if the owner did not reply or is not known. */
    private static final long UNREACHABLE_RETRY_MILLIS = 300;
    /** Part of a second for whose requests tokens are requested in advance. */
    private static final double ADVANCE_SECONDS = 0.15;
    /** Time over which the rate of requests is averaged, in milliseconds. */
    private static final double DEMAND_AVERAGE_MILLIS = 1_000;
    /** Limit of requests that wait at the same time. At 100 a second and the longest wait there are 25. */
    private static final int MAX_WAITING = 2_000;
    /** Number of accounts above which those that are not in use are dropped. */
    private static final int MAX_IDLE_ACCOUNTS = 1_000;

    /** Sends the requests of one turn of the event loop to one instance. */
    public interface Sender {
        /** Sends the requests, which may get lost. */
        void send(InstanceId owner, List<QuotaRequest> requests);

        /** The instance did not reply in time, so requests of callers were refused. */
        default void recordNoReply(InstanceId owner, int refused) {}
    }

    private final MonotonicClock clock;
    private final WallClock wallClock;
    private final InstanceId self;
    private final QuotaMembers members;
    private final QuotaOwner localOwner;
    private final Sender sender;
    private final long validityMillis;
    private final Map<AccountName, AccountState> accounts = new HashMap<>();
    private final Map<Long, Ask> asks = new HashMap<>();
    private final Map<InstanceId, Long> unreachableUntil = new HashMap<>();
    private final Set<AccountState> toAsk = new LinkedHashSet<>();
    private long nextNumber;
    private int waiting;
    private long expiredTokens;

    /**
     * Creates the requester's side.
     *
     * @param validityMillis time from the request for a token until the token expires, in milliseconds
     * @param firstNumber number of the first request for tokens, random, so that replies to an earlier incarnation of
     *     this instance are ignored
     */
    public QuotaRequester(
            MonotonicClock clock,
            WallClock wallClock,
            InstanceId self,
            QuotaMembers members,
            QuotaOwner localOwner,
            Sender sender,
            long validityMillis,
            long firstNumber) {
        this.clock = clock;
        this.wallClock = wallClock;
        this.self = self;
        this.members = members;
        this.localOwner = localOwner;
        this.sender = sender;
        this.validityMillis = validityMillis;
        this.nextNumber = firstNumber;
    }

    /** A point in time by both clocks. Immutable and thread-safe. */
    private record Instant(long monotonic, long wall) {}

    /** A request of a caller that waits for a token. */
    private record Waiter(long arrivedAt, Consumer<QuotaDecision> whenDecided) {}

    /** Tokens of one grant. Not thread-safe. */
    private static final class Tokens {
        private final Instant askedAt;
        private int count;

        Tokens(Instant askedAt, int count) {
            this.askedAt = askedAt;
            this.count = count;
        }
    }

    /** A request for tokens without a reply. Immutable and thread-safe. */
    private record Ask(long number, AccountState account, InstanceId owner, Instant askedAt) {}

    /** The state of one account at this instance. Not thread-safe. */
    private static final class AccountState {
        private final AccountName name;
        private final Deque<Waiter> waiters = new ArrayDeque<>();
        private final Deque<Tokens> tokens = new ArrayDeque<>();
        private Quota quota;
        private long version;
        private Ask newestAsk;
        private int attempts;
        private long blockedUntil = Long.MIN_VALUE;
        private QuotaDecision.Outcome blockedOutcome;
        private long retryAt;
        private double demand;
        private long demandAt;

        AccountState(AccountName name) {
            this.name = name;
        }

        void recordDemand(long now) {
            demand = 1 + demand * Math.exp((demandAt - now) / DEMAND_AVERAGE_MILLIS);
            demandAt = now;
        }

        int advance(long now) {
            return (int) (demand * Math.exp((demandAt - now) / DEMAND_AVERAGE_MILLIS) * ADVANCE_SECONDS);
        }

        void block(QuotaDecision.Outcome outcome, long retryMillis, long now) {
            blockedOutcome = outcome;
            blockedUntil = now + BLOCKED_MILLIS;
            retryAt = Math.max(now + retryMillis, blockedUntil);
        }
    }

    /**
     * Decides on one request of an account with a limit. The caller calls {@link #sendRequests} afterwards, once for
     * all requests of a turn of the event loop.
     *
     * @param configVersion the version of the configuration that contains the account
     * @param whenDecided receives the decision exactly once, possibly before this method returns
     */
    public void admit(ClientAccount account, long configVersion, Consumer<QuotaDecision> whenDecided) {
        long now = clock.millis();
        AccountState state = accounts.computeIfAbsent(account.name(), AccountState::new);
        state.quota = account.quota();
        state.version = configVersion;
        state.recordDemand(now);
        InstanceId owner = members.owner(state.name, now);
        if (tryUseToken(state)) {
            whenDecided.accept(QuotaDecision.ADMITTED);
        } else if (self.equals(owner)) {
            whenDecided.accept(decideLocally(state));
        } else if (now < state.blockedUntil) {
            whenDecided.accept(new QuotaDecision(state.blockedOutcome, state.retryAt - now));
        } else if (owner == null || now < unreachableUntil.getOrDefault(owner, now) || waiting >= MAX_WAITING) {
            whenDecided.accept(unknown());
        } else {
            state.waiters.add(new Waiter(now, whenDecided));
            waiting++;
            if (state.newestAsk == null) {
                toAsk.add(state);
            }
        }
    }

    private QuotaDecision decideLocally(AccountState state) {
        QuotaReply reply = localOwner.reply(new QuotaRequest(0, state.name, state.version, state.quota, 1, 0));
        if (!reply.owner()) {
            return unknown();
        }
        return reply.granted() > 0
                ? QuotaDecision.ADMITTED
                : new QuotaDecision(QuotaDecision.Outcome.QUOTA_EXCEEDED, reply.retryMillis());
    }

    private static QuotaDecision unknown() {
        return new QuotaDecision(QuotaDecision.Outcome.UNKNOWN, UNREACHABLE_RETRY_MILLIS);
    }

    private boolean tryUseToken(AccountState state) {
        while (!state.tokens.isEmpty()) {
            Tokens first = state.tokens.peekFirst();
            if (first.count > 0 && valid(first.askedAt)) {
                first.count--;
                return true;
            }
            expiredTokens += first.count;
            state.tokens.removeFirst();
        }
        return false;
    }

    /** Returns whether tokens that were requested at the given time are valid. */
    private boolean valid(Instant askedAt) {
        long wallAge = wallClock.millis() - askedAt.wall;
        return clock.millis() - askedAt.monotonic < validityMillis && wallAge < validityMillis;
    }

    /** Sends the requests for tokens of the requests that have come to wait since the last call. */
    public void sendRequests() {
        if (toAsk.isEmpty()) {
            return;
        }
        long now = clock.millis();
        Instant askedAt = new Instant(now, wallClock.millis());
        Map<InstanceId, List<QuotaRequest>> requests = new HashMap<>();
        List<AccountState> states = List.copyOf(toAsk);
        toAsk.clear();
        for (AccountState state : states) {
            InstanceId owner = members.owner(state.name, now);
            if (owner == null) {
                decideAll(state, unknown());
            } else if (self.equals(owner)) {
                while (!state.waiters.isEmpty()) {
                    pollWaiter(state).whenDecided.accept(decideLocally(state));
                }
            } else if (!state.waiters.isEmpty()) {
                Ask ask = new Ask(nextNumber++, state, owner, askedAt);
                asks.put(ask.number, ask);
                state.newestAsk = ask;
                state.attempts++;
                requests.computeIfAbsent(owner, instance -> new ArrayList<>())
                        .add(new QuotaRequest(
                                ask.number,
                                state.name,
                                state.version,
                                state.quota,
                                state.waiters.size(),
                                state.advance(now)));
            }
        }
        requests.forEach(sender::send);
    }

    private Waiter pollWaiter(AccountState state) {
        waiting--;
        return state.waiters.removeFirst();
    }

    private void decideAll(AccountState state, QuotaDecision decision) {
        // A decision may lead to a new request of the same account, which waits for the next reply.
        for (int remaining = state.waiters.size(); remaining > 0; remaining--) {
            pollWaiter(state).whenDecided.accept(decision);
        }
    }

    /** Uses the reply of an instance. Replies that are not expected, or expected no more, are ignored. */
    public void handleReply(InstanceId replier, QuotaReply reply) {
        Ask ask = asks.get(reply.number());
        if (ask == null || !ask.owner.equals(replier)) {
            return;
        }
        asks.remove(reply.number());
        unreachableUntil.remove(replier);
        AccountState state = ask.account;
        // A reply to an earlier request than the newest one decides as well, so no further reply is awaited.
        state.newestAsk = null;
        state.attempts = 0;
        if (reply.granted() > 0) {
            state.tokens.add(new Tokens(ask.askedAt, reply.granted()));
        }
        while (!state.waiters.isEmpty() && tryUseToken(state)) {
            pollWaiter(state).whenDecided.accept(QuotaDecision.ADMITTED);
        }
        long now = clock.millis();
        if (!reply.owner()) {
            refuse(state, QuotaDecision.Outcome.UNKNOWN, reply.retryMillis(), now);
        } else if (reply.retryMillis() > 0) {
            refuse(state, QuotaDecision.Outcome.QUOTA_EXCEEDED, reply.retryMillis(), now);
        } else if (!state.waiters.isEmpty() && state.newestAsk == null) {
            toAsk.add(state);
        }
    }

    private void refuse(AccountState state, QuotaDecision.Outcome outcome, long retryMillis, long now) {
        state.block(outcome, retryMillis, now);
        decideAll(state, new QuotaDecision(outcome, state.retryAt - now));
    }

    /**
     * Requests tokens again where a reply is missing, and refuses requests that have waited too long. Called at short
     * intervals while {@link #waiting} is above 0.
     */
    public void checkTimeouts() {
        long now = clock.millis();
        asks.values().removeIf(ask -> now - ask.askedAt.monotonic >= validityMillis);
        unreachableUntil.values().removeIf(until -> now >= until);
        for (AccountState state : List.copyOf(accounts.values())) {
            Ask ask = state.newestAsk;
            int expired = 0;
            while (!state.waiters.isEmpty() && now - state.waiters.peekFirst().arrivedAt >= MAX_WAIT_MILLIS) {
                pollWaiter(state).whenDecided.accept(unknown());
                expired++;
            }
            if (ask == null) {
                continue;
            }
            if (expired > 0) {
                unreachableUntil.put(ask.owner, now + UNREACHABLE_MILLIS);
                sender.recordNoReply(ask.owner, expired + state.waiters.size());
                state.newestAsk = null;
                state.attempts = 0;
                decideAll(state, unknown());
            } else if (now - ask.askedAt.monotonic >= REPEAT_MILLIS * state.attempts && state.attempts < MAX_ATTEMPTS) {
                toAsk.add(state);
            }
        }
        if (accounts.size() > MAX_IDLE_ACCOUNTS) {
            dropIdleAccounts();
        }
    }

    private void dropIdleAccounts() {
        for (Iterator<AccountState> iterator = accounts.values().iterator(); iterator.hasNext(); ) {
            AccountState state = iterator.next();
            boolean holdsTokens = state.tokens.stream().anyMatch(tokens -> valid(tokens.askedAt));
            if (state.waiters.isEmpty() && state.newestAsk == null && !holdsTokens) {
                iterator.remove();
            }
        }
    }

    /** Returns the number of requests that wait for a decision. */
    public int waiting() {
        return waiting;
    }

    /** Returns the number of granted tokens that expired before they were used. */
    public long expiredTokens() {
        return expiredTokens;
    }
}
