package org.jackdawslip.internal.gateway;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.jackdawslip.AccountName;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.internal.account.ClientAccount;
import org.jackdawslip.internal.account.Quota;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against time series without a limit when accounts are renamed again and again. */
class AccountMetricsTest {

    private static final int FURTHER_NAMES = 50;

    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final AccountMetrics metrics = new AccountMetrics(registry);

    private static ClientAccount account(int number) {
        return new ClientAccount(new AccountName("account-" + number), 0, Quota.UNLIMITED);
    }

    private double count(String account, String outcome) {
        return registry.get("jackdawslip.account.requests")
                .tags("account", account, "outcome", outcome)
                .counter()
                .count();
    }

    @Test
    void accountsBeyondTheLimitAreCountedTogether() {
        for (int round = 0; round < 2; round++) {
            for (int i = 0; i < AccountMetrics.MAX_ACCOUNTS + FURTHER_NAMES; i++) {
                metrics.countAdmitted(account(i));
            }
        }
        metrics.countRefusal(null, ErrorCode.UNAUTHORIZED);
        metrics.countRefusal(account(0), ErrorCode.QUOTA_EXCEEDED);
        assertEquals(AccountMetrics.MAX_ACCOUNTS + 3, registry.getMeters().size());
        assertEquals(2, count("account-0", "admitted"));
        assertEquals(2 * FURTHER_NAMES, count("other", "admitted"));
        assertEquals(1, count("none", "unauthorized"));
        assertEquals(1, count("account-0", "quota_exceeded"));
    }
}
