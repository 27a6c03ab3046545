package org.jackdawslip.internal.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.account.ClientAccount;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.membership.MembershipStatus;
import org.jackdawslip.internal.quota.QuotaClaim;
import org.jackdawslip.internal.quota.QuotaClaims;
import org.jackdawslip.internal.quota.QuotaDecision;
import org.jackdawslip.internal.quota.QuotaMembers;
import org.jackdawslip.internal.quota.QuotaOwner;
import org.jackdawslip.internal.quota.QuotaReply;
import org.jackdawslip.internal.quota.QuotaRequest;
import org.jackdawslip.internal.quota.QuotaRequester;
import org.jackdawslip.internal.time.MonotonicClock;
import org.jackdawslip.internal.time.WallClock;

/**
 * Decides on requests of accounts with a limit, by tokens that the quota owner of the account grants in datagrams.
 *
 * <p>Sends nothing and runs no timer for accounts without a limit. Confined to the event loop.
 */
final class QuotaExchange implements QuotaGate {

    /**
     * Part of the tolerated excess of a window that is used for the validity of tokens. A token that is used after its
     * window adds to the next one; the rest covers the different rates of clocks.
     */
    private static final double VALIDITY_SHARE_OF_EXCESS = 0.75;
    /** Part of the tolerated number of excess requests that a bucket holds beyond the burst of its account. */
    private static final double CAPACITY_SHARE_OF_EXCESS = 0.5;
    /** Shortest validity of tokens. With less, replies of other instances would arrive too late to be used. */
    private static final long MIN_VALIDITY_MILLIS = 50;
    /** Longest validity of tokens. */
    private static final long MAX_VALIDITY_MILLIS = 400;
    /** Interval of the checks for missing replies while requests wait. */
    private static final long TIMEOUT_CHECK_MILLIS = 20;
    /**
     * Age above which the message that an instance stops is ignored, because it may concern an earlier incarnation.
     * Restarts take longer.
     */
    private static final long MAX_RELEASE_AGE_MILLIS = 2_000;
    /** Interval at which buckets that this instance no longer owns are dropped. */
    private static final long OWNER_CHECK_MILLIS = 250;

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final LongSupplier configVersion;
    private final Messages messages;
    private final WallClock wallClock;
    private final QuotaMembers members;
    private final QuotaOwner owner;
    private final QuotaRequester requester;
    private final QuotaClaims claims;
    /** Whether quotas are in use. A deployment without accounts sends no message. */
    private boolean active;

    private boolean sendScheduled;
    private boolean checkScheduled;
    private int ownedAccounts;

    /** Sends the messages of this exchange. */
    interface Messages extends QuotaRequester.Sender, QuotaClaims.Sender {
        /** Sends replies to requests for tokens. */
        void reply(InetSocketAddress recipient, List<QuotaReply> replies);

        /** Answers the claim of a joining instance. */
        void answerClaim(InetSocketAddress recipient, QuotaClaim claim);

        /** Sends to all instances that this one owns no quota any more. */
        void announceRelease(long sentAtMillis);
    }

    /**
     * Creates the exchange of an instance that knows no other.
     *
     * @param configVersion returns the version of the configuration in force
     */
    QuotaExchange(
            GatewayContext context,
            WallClock wallClock,
            MembershipStatus status,
            GatewayMetrics metrics,
            LongSupplier configVersion,
            Messages messages,
            Random random) {
        this.loop = context.loop();
        this.clock = context.clock();
        this.wallClock = wallClock;
        this.log = context.log();
        this.metrics = metrics;
        this.configVersion = configVersion;
        this.messages = messages;
        GatewaySettings.AccountTerms terms = context.settings().accountTerms();
        InstanceId self = context.settings().instance();
        members = new QuotaMembers(self, status);
        owner = new QuotaOwner(clock, status, members, CAPACITY_SHARE_OF_EXCESS * terms.quotaExcessRequests());
        requester = new QuotaRequester(
                clock, wallClock, self, members, owner, messages, validityMillis(terms), random.nextLong() >>> 2);
        claims = new QuotaClaims(clock, status, members, messages, random.nextLong() >>> 2);
    }

    private static long validityMillis(GatewaySettings.AccountTerms terms) {
        double excessMillis = terms.quotaExcessRatio() * terms.quotaWindowMillis();
        return Math.max(
                MIN_VALIDITY_MILLIS, Math.min(MAX_VALIDITY_MILLIS, (long) (VALIDITY_SHARE_OF_EXCESS * excessMillis)));
    }

    /** Starts the periodic check of the owned accounts and registers the metrics. */
    void start(GatewayContext context) {
        context.every(OWNER_CHECK_MILLIS, "quota-owner", this::check);
        metrics.registerGauge("quota.accounts.owned", owner::accounts);
        metrics.registerGauge("quota.tokens.granted", owner::granted);
        metrics.registerGauge("quota.tokens.refused", owner::refused);
        metrics.registerGauge("quota.tokens.expired", requester::expiredTokens);
        metrics.registerGauge("quota.requests.waiting", requester::waiting);
    }

    /** Sets the live instances. */
    void setLiveInstances(Set<InstanceId> live) {
        members.setLive(live, clock.millis());
        refreshOwner();
    }

    /** Drops the buckets that this instance no longer owns, and claims accounts if it is new. */
    void check() {
        refreshOwner();
        if (active) {
            claims.check();
        }
    }

    /** Drops the buckets that this instance no longer owns. */
    private void refreshOwner() {
        owner.refresh();
        if (owner.accounts() == 0 && ownedAccounts > 0) {
            log.info("quota-buckets-dropped", "accounts", ownedAccounts);
        }
        ownedAccounts = owner.accounts();
    }

    @Override
    public void admit(ClientAccount account, Consumer<QuotaDecision> whenDecided) {
        if (!account.quota().limited()) {
            whenDecided.accept(QuotaDecision.ADMITTED);
            return;
        }
        active = true;
        requester.admit(account, configVersion.getAsLong(), decision -> {
            metrics.countDecision("quota", decision.outcome().name());
            whenDecided.accept(decision);
        });
        scheduleSend();
    }

    /** Sends at the end of this turn of the event loop, so that its requests to one owner share a datagram. */
    private void scheduleSend() {
        if (requester.waiting() == 0) {
            return;
        }
        if (!sendScheduled) {
            sendScheduled = true;
            loop.execute(() -> {
                sendScheduled = false;
                requester.sendRequests();
            });
        }
        if (!checkScheduled) {
            checkScheduled = true;
            loop.schedule(this::checkTimeouts, TIMEOUT_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void checkTimeouts() {
        checkScheduled = false;
        try {
            requester.checkTimeouts();
        } finally {
            scheduleSend();
        }
    }

    /** Replies to the requests of another instance. */
    void handleRequests(InetSocketAddress sender, List<QuotaRequest> requests) {
        active = true;
        messages.reply(sender, requests.stream().map(this::reply).toList());
        ownedAccounts = owner.accounts();
    }

    /** Handles the claim of a joining instance. */
    void handleClaim(InstanceId claimant, InetSocketAddress address, QuotaClaim claim) {
        active = true;
        boolean answered = claims.handleClaim(claimant, claim);
        refreshOwner();
        if (answered) {
            messages.answerClaim(address, claim);
        }
    }

    /** Handles the answer of another instance to a claim of this one. */
    void handleClaimAnswer(InstanceId other, QuotaClaim claim) {
        claims.handleAnswer(other, claim);
    }

    /** Returns the reply of this instance to one request. */
    QuotaReply reply(QuotaRequest request) {
        return owner.reply(request);
    }

    /** Uses the replies of another instance. */
    void handleReplies(InstanceId sender, List<QuotaReply> received) {
        received.forEach(reply -> requester.handleReply(sender, reply));
        scheduleSend();
    }

    /** Ends the ownership of all accounts for good, because this instance stops. */
    void release() {
        owner.release();
        if (active) {
            messages.announceRelease(wallClock.millis());
        }
    }

    /**
     * Records that another instance stops and owns no quota any more.
     *
     * @param sentAtMillis time of day at which it sent the message, in milliseconds since the epoch
     */
    void handleRelease(InstanceId instance, long sentAtMillis) {
        if (Math.abs(wallClock.millis() - sentAtMillis) <= MAX_RELEASE_AGE_MILLIS) {
            members.recordRelease(instance, clock.millis());
            refreshOwner();
        }
    }
}
