package org.jackdawslip.internal.hedging;

import java.util.List;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.ServiceName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against limits that are silently ignored or applied to the wrong service. */
class HedgeSettingsTest {

    @Test
    void parsesTheDefaultAndSingleServices() {
        HedgeSettings settings = HedgeSettings.parse(List.of("hub=0.1", "0.02", "off=0"));
        assertEquals(0.02, settings.share(new ServiceName("other")));
        assertEquals(0.1, settings.share(new ServiceName("hub")));
        assertEquals(0, settings.share(new ServiceName("off")));
        assertEquals(HedgeSettings.DEFAULT, HedgeSettings.parse(List.of()));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "five", "-0.1", "1.01", "NaN", "hub=", "hub=x", "=0.1", "a b=0.1", "hub=0.1=0.2"})
    void rejectsWhatIsNoLimit(String limit) {
        JackdawslipException failure =
                assertThrows(JackdawslipException.class, () -> HedgeSettings.parse(List.of(limit)));
        assertEquals(ErrorCode.INVALID_SETTINGS, failure.code());
        assertTrue(failure.getMessage().startsWith("hedge limit: "), failure.getMessage());
    }

    @Test
    void rejectsALimitThatIsGivenTwice() {
        assertThrows(JackdawslipException.class, () -> HedgeSettings.parse(List.of("0.1", "0.2")));
        assertThrows(JackdawslipException.class, () -> HedgeSettings.parse(List.of("hub=0.1", "hub=0.1")));
    }
}
