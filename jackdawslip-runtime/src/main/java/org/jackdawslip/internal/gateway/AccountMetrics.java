package org.jackdawslip.internal.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.jackdawslip.AccountName;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.internal.account.ClientAccount;

/**
 * Counts requests by client account and outcome.
 *
 * <p>Invariant: labels are names of accounts of the configuration and fixed words; beyond {@link #MAX_ACCOUNTS} names
 * since the start of the process, accounts are counted together. Confined to the event loop.
 */
final class AccountMetrics {

    /** Number of accounts with counters of their own. */
    static final int MAX_ACCOUNTS = 200;

    private static final String NO_ACCOUNT = "none";
    private static final String FURTHER_ACCOUNTS = "other";
    private static final String ADMITTED = "admitted";

    private final MeterRegistry registry;
    private final Set<AccountName> labelled = new HashSet<>();
    private final Map<String, Counter> counters = new HashMap<>();

    AccountMetrics(MeterRegistry registry) {
        this.registry = registry;
    }

    /** Counts a request that its account may send. */
    void countAdmitted(ClientAccount account) {
        count(account, ADMITTED);
    }

    /**
     * Counts a request that is refused.
     *
     * @param account the account, or null if it is not known
     */
    void countRefusal(ClientAccount account, ErrorCode code) {
        count(account, code.name().toLowerCase(Locale.ROOT));
    }

    private void count(ClientAccount account, String outcome) {
        String label = label(account);
        counters.computeIfAbsent(label + ' ' + outcome, key -> Counter.builder("jackdawslip.account.requests")
                        .tag("account", label)
                        .tag("outcome", outcome)
                        .register(registry))
                .increment();
    }

    private String label(ClientAccount account) {
        if (account == null) {
            return NO_ACCOUNT;
        }
        boolean hasLabel =
                labelled.contains(account.name()) || labelled.size() < MAX_ACCOUNTS && labelled.add(account.name());
        return hasLabel ? account.name().value() : FURTHER_ACCOUNTS;
    }
}
