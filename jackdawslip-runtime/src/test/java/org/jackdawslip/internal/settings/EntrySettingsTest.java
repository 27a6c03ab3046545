package org.jackdawslip.internal.settings;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.bundle.SigningKeys;
import org.jackdawslip.internal.hedging.HedgeSettings;
import org.jackdawslip.internal.json.InvalidDocumentException;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class EntrySettingsTest {

    private static final String KEY = SigningKeys.encode(SigningKeys.generate().getPublic());
    private static final String VALID =
            """
            {"instance": "entry-1", "failureDomain": "mitte-1", "callerAddress": "127.0.0.1:0",
             "peerAddress": "127.0.0.1:7001", "adminAddress": "[::1]:7002", "storeAddress": "127.0.0.1:8500",
             "peers": [{"instance": "entry-2", "failureDomain": "mitte-1", "host": "127.0.0.1", "port": 7011}],
             "trustedKeys": [{"keyId": "ops", "publicKey": "KEY"}], "logLevel": "warn"}
            """
                    .replace("KEY", KEY);

    /** Guards against changed default values and wrongly parsed addresses. */
    @Test
    void readsSettingsWithDefaults() {
        EntrySettings settings = EntrySettings.read(VALID.getBytes(StandardCharsets.UTF_8));
        assertEquals(new HostPort("::1", 7002), settings.adminAddress());
        assertEquals(1 << 20, settings.bodyLimitBytes());
        assertEquals(1024, settings.keyLimitBytes());
        assertEquals("text", settings.logFormat());
        assertEquals(0.05, settings.hedging().share(new ServiceName("hub")));
    }

    /** Guards against a limit on hedges that applies to the wrong services, and one that is not a share. */
    @Test
    void readsHedgeLimits() {
        String limits = VALID.replace(
                "\"logLevel\"", "\"hedgeLimit\": {\"default\": 0, \"services\": {\"hub\": 0.02}}, \"logLevel\"");
        HedgeSettings hedging =
                EntrySettings.read(limits.getBytes(StandardCharsets.UTF_8)).hedging();
        assertEquals(0, hedging.share(new ServiceName("other")));
        assertEquals(0.02, hedging.share(new ServiceName("hub")));
        InvalidDocumentException failure = assertThrows(
                InvalidDocumentException.class,
                () -> EntrySettings.read(limits.replace("0.02", "2").getBytes(StandardCharsets.UTF_8)));
        assertTrue(failure.getMessage().contains("$.hedgeLimit.services.hub: value 2"), failure.getMessage());
    }

    /**
     * Guards against a misspelled setting that is silently ignored, and against faults that hide each other.
     */
    @Test
    void namesEveryFault() {
        String document = VALID.replace("logLevel\": \"warn", "logLevell\": \"warn")
                .replace("127.0.0.1:8500", "store:8500")
                .replace("entry-2", "entry-1")
                .replace("[::1]:7002", "127.0.0.1:7001")
                .replace(KEY, "AAAA");
        InvalidDocumentException failure = assertThrows(
                InvalidDocumentException.class, () -> EntrySettings.read(document.getBytes(StandardCharsets.UTF_8)));
        assertEquals(ErrorCode.INVALID_SETTINGS, failure.code());
        assertEquals(
                List.of(
                        "$.logLevell: unknown name, did you mean \"logLevel\"?; allowed: one of instance,"
                                + " failureDomain, callerAddress, peerAddress, adminAddress, storeAddress, peers,"
                                + " trustedKeys, logFormat, logLevel, bodyLimitBytes, keyLimitBytes, hedgeLimit",
                        "$.adminAddress: value \"127.0.0.1:7001\"; allowed: an address other than that of"
                                + " $.peerAddress",
                        "$.storeAddress: value \"store:8500\"; allowed: an IP address and a port, such as"
                                + " 127.0.0.1:8080 or [::1]:8080",
                        "$.peers[0].instance: value \"entry-1\"; allowed: a name other than this instance's and"
                                + " earlier peers'",
                        "$.trustedKeys[0].publicKey: value \"AAAA\"; allowed: base64 of an Ed25519 public key (see"
                                + " keygen)"),
                failure.faults().stream().map(Object::toString).toList());
    }
}
