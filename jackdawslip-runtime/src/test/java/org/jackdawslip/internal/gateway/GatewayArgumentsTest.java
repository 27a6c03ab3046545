package org.jackdawslip.internal.gateway;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.hedging.HedgeSettings;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against a setting on the command line that is silently ignored. */
class GatewayArgumentsTest {

    private static JackdawslipException failure(String... arguments) {
        return assertThrows(JackdawslipException.class, () -> GatewayArguments.parse(arguments));
    }

    @Test
    void readsHedgeLimits() {
        assertEquals(HedgeSettings.DEFAULT, GatewayArguments.parse().hedging());
        HedgeSettings hedging = GatewayArguments.parse("--hedge-limit", "0", "--hedge-limit", "hub=0.02")
                .hedging();
        assertEquals(0, hedging.share(new ServiceName("other")));
        assertEquals(0.02, hedging.share(new ServiceName("hub")));
    }

    @Test
    void rejectsUnknownArgumentsAndMissingValues() {
        assertEquals(ErrorCode.INVALID_SETTINGS, failure("--hedge-limit", "2").code());
        assertEquals(
                "command line: unknown argument \"--hedge\"; allowed: --hedge-limit LIMIT",
                failure("--hedge", "0.1").getMessage());
        assertEquals(
                "command line: --hedge-limit needs a value: SHARE or SERVICE=SHARE",
                failure("--hedge-limit").getMessage());
    }
}
