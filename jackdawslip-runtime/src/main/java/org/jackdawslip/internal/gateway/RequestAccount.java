package org.jackdawslip.internal.gateway;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.internal.account.ClientAccount;
import org.jackdawslip.internal.account.Credential;
import org.jackdawslip.internal.quota.QuotaDecision;
import org.jackdawslip.internal.traffic.HostRoute;
import org.jackdawslip.internal.traffic.RoutingConfig;

/**
 * The client account of one request, from its arrival to the last attempt.
 *
 * <p>Invariant: {@link #prepareSend} returns true only if the request passes at that moment under the configuration in
 * force, with the account under which it was admitted. Confined to the event loop.
 */
final class RequestAccount {

    /** Delay of a caller whose key changed its account; the configuration in force decides on its next request. */
    private static final long CHANGED_RETRY_MILLIS = 0;

    /** Priorities of routes that are told apart within one priority of accounts. */
    private static final int ROUTE_PRIORITIES = 100;

    private final AccountGate gate;
    private final CallerRequest request;
    private final Consumer<AccountGate.Refusal> onRefusal;
    private Credential credential;
    private HostRoute route;
    /** The configuration under which the route was found. */
    private RoutingConfig config;

    private ClientAccount account;

    /**
     * Creates the state of a request that is not authenticated.
     *
     * @param onRefusal answers the request
     */
    RequestAccount(AccountGate gate, CallerRequest request, Consumer<AccountGate.Refusal> onRefusal) {
        this.gate = gate;
        this.request = request;
        this.onRefusal = onRefusal;
    }

    private Credential credential() {
        if (credential == null) {
            credential = Credential.parse(
                    request.headers().getAll(HttpHeaderNames.AUTHORIZATION),
                    gate.names().credentialScheme());
        }
        return credential;
    }

    /** Returns the account, or null if the request needs none or was not authenticated. */
    ClientAccount account() {
        return account;
    }

    /** Returns the priority of the request: that of its account first, then that of its route. */
    int priority() {
        return account == null
                ? route.priority()
                : account.priority() * ROUTE_PRIORITIES + Math.min(route.priority(), ROUTE_PRIORITIES - 1);
    }

    /** Authenticates the request on a route of a configuration, or refuses it; returns whether it may continue. */
    boolean authenticate(RoutingConfig newConfig, HostRoute newRoute) {
        config = newConfig;
        route = newRoute;
        AccountGate.Verdict verdict = gate.decide(config, route, this::credential);
        account = verdict.account();
        return continueUnless(verdict.refusal());
    }

    /** Authenticates the request again after a wait, or refuses it; returns whether it may continue. */
    boolean recheck() {
        return continueUnless(currentRefusal());
    }

    private boolean continueUnless(AccountGate.Refusal refusal) {
        if (refusal != null) {
            gate.metrics().countRefusal(account, refusal.code());
            onRefusal.accept(refusal);
        }
        return refusal == null;
    }

    /**
     * Asks whether the request is within the quota of its account, and refuses it if it is not.
     *
     * @param isOver returns whether the request was answered or its caller disconnected, so that a decision is ignored
     * @param onAdmission continues with the request, possibly before this method returns
     */
    void requestQuota(BooleanSupplier isOver, Runnable onAdmission) {
        if (account == null) {
            onAdmission.run();
            return;
        }
        gate.quotaGate().admit(account, decision -> {
            if (isOver.getAsBoolean()) {
                return;
            }
            if (continueUnless(refusalOf(decision))) {
                gate.metrics().countAdmitted(account);
                onAdmission.run();
            }
        });
    }

    private AccountGate.Refusal refusalOf(QuotaDecision decision) {
        return switch (decision.outcome()) {
            case ADMITTED -> null;
            case QUOTA_EXCEEDED -> new AccountGate.Refusal(
                    ErrorCode.QUOTA_EXCEEDED,
                    "account " + account.name() + " has used its quota",
                    decision.retryDelayMillis());
            case UNKNOWN -> new AccountGate.Refusal(
                    ErrorCode.QUOTA_UNKNOWN,
                    "the quota of account " + account.name() + " is not known here",
                    decision.retryDelayMillis());
        };
    }

    private AccountGate.Refusal currentRefusal() {
        RoutingConfig current = gate.config();
        if (current != config) {
            // A request whose route was removed goes on with the route under which it was accepted.
            route = current.route(request.headers().get(HttpHeaderNames.HOST), request.path())
                    .orElse(route);
            config = current;
        }
        AccountGate.Verdict verdict = gate.decide(config, route, this::credential);
        return verdict.refusal() != null || hasSameName(verdict.account())
                ? verdict.refusal()
                : new AccountGate.Refusal(
                        ErrorCode.CONFIGURATION_OUTDATED, "the key changed its account", CHANGED_RETRY_MILLIS);
    }

    private boolean hasSameName(ClientAccount other) {
        return account == null || other == null
                ? account == other
                : account.name().equals(other.name());
    }

    /**
     * Authenticates the request again immediately before it is sent, and replaces the credential by the account in its
     * headers; returns whether it may be sent.
     */
    boolean prepareSend(HttpHeaders headers) {
        if (currentRefusal() != null) {
            return false;
        }
        if (!config.accounts().isEmpty()) {
            headers.remove(HttpHeaderNames.AUTHORIZATION);
            headers.remove(gate.names().account());
            if (account != null) {
                headers.set(gate.names().account(), account.name().value());
            }
        }
        return true;
    }
}
