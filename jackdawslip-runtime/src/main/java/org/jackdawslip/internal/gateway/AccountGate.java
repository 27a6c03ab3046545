package org.jackdawslip.internal.gateway;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.internal.account.AccountDirectory;
import org.jackdawslip.internal.account.ClientAccount;
import org.jackdawslip.internal.account.ConfigurationFreshness;
import org.jackdawslip.internal.account.Credential;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.traffic.HostRoute;
import org.jackdawslip.internal.traffic.RoutingConfig;

/**
 * Authenticates requests by the client accounts of the configuration in force.
 *
 * <p>Invariants: a request with a key passes only while the configuration in force is certainly recent, if the terms
 * require that, and only under the account that has the key in this configuration. Nothing is kept of a key or of a
 * refused request. Confined to the event loop.
 */
final class AccountGate {

    /** Keys in one line of the log. */
    private static final int KEYS_PER_LINE = 40;
    /**
     * No delay is requested, so that the caller is sent the shortest one: its next connection probably leads to another
     * instance, which may have a recent configuration.
     */
    private static final long NO_DELAY = 0;

    private final RoutingState routing;
    private final ConfigurationFreshness freshness;
    private final boolean requireRecent;
    private final QuotaGate quotaGate;
    private final HeaderNames names;
    private final AccountMetrics metrics;
    private final EventLog log;
    /** The accounts in the last stored configuration that could be decoded. */
    private AccountDirectory loggedAccounts = AccountDirectory.NONE;

    /**
     * The reason why a request is refused. Immutable and thread-safe.
     *
     * @param code the error
     * @param reason the reason in words, without the key
     * @param retryDelayMillis delay after which the caller may retry, in milliseconds; 0 for the usual one
     */
    record Refusal(ErrorCode code, String reason, long retryDelayMillis) {}

    /**
     * The result of the authentication of a request. Immutable and thread-safe.
     *
     * @param account the account of the request, or null if it needs none or is refused
     * @param refusal the reason why the request is refused, or null if it is not
     */
    record Verdict(ClientAccount account, Refusal refusal) {

        private static final Verdict NO_ACCOUNT_NEEDED = new Verdict(null, null);

        private static Verdict refuse(ErrorCode code, String reason, long retryDelayMillis) {
            return new Verdict(null, new Refusal(code, reason, retryDelayMillis));
        }
    }

    /**
     * Creates a gate.
     *
     * @param requireRecent whether requests with a key are refused while the configuration may be outdated
     */
    AccountGate(
            RoutingState routing,
            ConfigurationFreshness freshness,
            boolean requireRecent,
            QuotaGate quotaGate,
            HeaderNames names,
            AccountMetrics metrics,
            EventLog log) {
        this.routing = routing;
        this.freshness = freshness;
        this.requireRecent = requireRecent;
        this.quotaGate = quotaGate;
        this.names = names;
        this.metrics = metrics;
        this.log = log;
    }

    /** Creates the authentication of one request, which {@link RequestAccount#authenticate} starts. */
    RequestAccount forRequest(CallerRequest request, Consumer<Refusal> onRefusal) {
        return new RequestAccount(this, request, onRefusal);
    }

    RoutingConfig config() {
        return routing.config();
    }

    HeaderNames names() {
        return names;
    }

    QuotaGate quotaGate() {
        return quotaGate;
    }

    AccountMetrics metrics() {
        return metrics;
    }

    /**
     * Decides whether a request may pass now under a configuration.
     *
     * @param parse returns the credential of the request; called only if it is needed
     */
    Verdict decide(RoutingConfig config, HostRoute route, Supplier<Credential> parse) {
        if (config.accounts().isEmpty() || route.publicAccess()) {
            return Verdict.NO_ACCOUNT_NEEDED;
        }
        if (!isConfigurationRecent()) {
            return Verdict.refuse(
                    ErrorCode.CONFIGURATION_OUTDATED,
                    "the configuration may be outdated, so that the key cannot be checked",
                    NO_DELAY);
        }
        Credential credential = parse.get();
        if (credential.status() != Credential.Status.PRESENT) {
            return Verdict.refuse(codeOf(credential.status()), reasonOf(credential.status()), NO_DELAY);
        }
        ClientAccount account = config.accounts().find(credential.key());
        return account == null
                ? Verdict.refuse(ErrorCode.UNAUTHORIZED, "no account has the key " + credential.key(), NO_DELAY)
                : new Verdict(account, null);
    }

    private static ErrorCode codeOf(Credential.Status status) {
        return switch (status) {
            case REPEATED, MALFORMED, TOO_LONG -> ErrorCode.INVALID_REQUEST;
            default -> ErrorCode.UNAUTHORIZED;
        };
    }

    private String reasonOf(Credential.Status status) {
        return switch (status) {
            case REPEATED -> "more than one " + HttpHeaderNames.AUTHORIZATION + " header";
            case MALFORMED -> "the key is empty or has characters that no key has";
            case TOO_LONG -> "the " + HttpHeaderNames.AUTHORIZATION + " header is too long";
            default -> "the route needs " + HttpHeaderNames.AUTHORIZATION + ": " + names.credentialScheme() + " KEY";
        };
    }

    /** Returns whether requests with a key may be served as far as the age of the configuration is concerned. */
    boolean isConfigurationRecent() {
        return !requireRecent || freshness.isRecent();
    }

    /**
     * Records a configuration that the store holds, after it was put in force if its version is higher. If it has
     * other accounts than the one in force, which has the same version or a higher one, the accounts in force do not
     * count as recent.
     */
    void recordStoredConfiguration(RoutingConfig stored) {
        RoutingConfig inForce = routing.config();
        boolean same = stored == inForce || stored.accounts().equals(inForce.accounts());
        freshness.recordStoredConfiguration(same);
        if (!same) {
            log.warn("accounts-not-in-force", "version", stored.version(), "inForce", inForce.version());
        } else if (!stored.accounts().equals(loggedAccounts)) {
            logChanges(stored);
            loggedAccounts = stored.accounts();
        }
    }

    /** Records that the configuration that the store holds cannot be used, so that the one in force grows old. */
    void recordUnusableConfiguration() {
        freshness.recordStoredConfiguration(false);
    }

    /** Records that all changes were applied that the store had confirmed at the given monotonic time. */
    void recordView(long currentAt) {
        freshness.recordView(currentAt);
    }

    private void logChanges(RoutingConfig stored) {
        logKeys("account-keys-revoked", stored, loggedAccounts.keysMissingIn(stored.accounts()));
        logKeys("account-keys-added", stored, stored.accounts().keysMissingIn(loggedAccounts));
    }

    /** Logs keys as the name of their account and their short digest. */
    private void logKeys(String event, RoutingConfig stored, List<String> keys) {
        for (int from = 0; from < keys.size(); from += KEYS_PER_LINE) {
            List<String> some = keys.subList(from, Math.min(keys.size(), from + KEYS_PER_LINE));
            log.info(event, "version", stored.version(), "count", keys.size(), "keys", String.join(" ", some));
        }
    }
}
