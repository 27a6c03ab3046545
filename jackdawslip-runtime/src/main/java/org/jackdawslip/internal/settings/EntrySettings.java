package org.jackdawslip.internal.settings;

import java.security.PublicKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.admission.SenderQueue;
import org.jackdawslip.internal.bundle.SigningKeys;
import org.jackdawslip.internal.hedging.HedgeSettings;
import org.jackdawslip.internal.json.Addresses;
import org.jackdawslip.internal.json.DocumentSchema;
import org.jackdawslip.internal.json.Fault;

/**
 * The settings of one entry instance. Immutable and thread-safe.
 *
 * <pre>{@code
 * EntrySettings settings = EntrySettings.read(Files.readAllBytes(path));
 * }</pre>
 *
 * @param instance the name of this instance, which no other instance ever had or will have
 * @param failureDomain the failure domain in which this instance runs
 * @param callerAddress the address on which this instance accepts callers
 * @param peerAddress the address on which this instance accepts other instances
 * @param adminAddress the address on which this instance accepts operators
 * @param storeAddress the address of the store
 * @param peers the other instances that are known at start
 * @param trustedKeys the public keys that verify the signatures of bundles, by key id
 * @param logFormat {@code text} or {@code json}
 * @param logLevel the lowest level that is logged
 * @param bodyLimitBytes the largest request body that is accepted
 * @param keyLimitBytes the largest key that is accepted
 * @param hedging the limits on hedged attempts
 */
public record EntrySettings(
        InstanceId instance,
        FailureDomainId failureDomain,
        HostPort callerAddress,
        HostPort peerAddress,
        HostPort adminAddress,
        HostPort storeAddress,
        List<PeerSettings> peers,
        Map<String, PublicKey> trustedKeys,
        String logFormat,
        String logLevel,
        int bodyLimitBytes,
        int keyLimitBytes,
        HedgeSettings hedging) {

    /**
     * Default of the largest request body. The maximum in the schema is 256 KiB below the peer frame limit of
     * 2 MiB, which leaves room for headers.
     */
    static final int DEFAULT_BODY_LIMIT_BYTES = 1 << 20;

    static final int DEFAULT_KEY_LIMIT_BYTES = 1024;

    private static final List<String> LISTENER_NAMES = List.of("callerAddress", "peerAddress", "adminAddress");
    private static final DocumentSchema SCHEMA =
            new DocumentSchema(EntrySettings.class, "settings.schema.json", "settings", ErrorCode.INVALID_SETTINGS);

    /** Copies the collections. */
    public EntrySettings {
        peers = List.copyOf(peers);
        trustedKeys = Map.copyOf(trustedKeys);
    }

    /**
     * Parses and validates settings.
     *
     * @throws org.jackdawslip.internal.json.InvalidDocumentException with {@link ErrorCode#INVALID_SETTINGS}
     *     and all faults of the document
     */
    public static EntrySettings read(byte[] document) {
        JsonNode root = SCHEMA.parse(document);
        List<Fault> faults = SCHEMA.faults(root);
        checkAddresses(root, faults);
        checkPeers(root, faults);
        Map<String, PublicKey> keys = readTrustedKeys(root, faults);
        if (!faults.isEmpty()) {
            throw SCHEMA.failure(faults);
        }
        return new EntrySettings(
                new InstanceId(root.get("instance").asText()),
                new FailureDomainId(root.get("failureDomain").asText()),
                address(root, "callerAddress"),
                address(root, "peerAddress"),
                address(root, "adminAddress"),
                address(root, "storeAddress"),
                peers(root),
                keys,
                root.path("logFormat").asText("text"),
                root.path("logLevel").asText("info"),
                root.path("bodyLimitBytes").asInt(DEFAULT_BODY_LIMIT_BYTES),
                root.path("keyLimitBytes").asInt(DEFAULT_KEY_LIMIT_BYTES),
                hedging(root.path("hedgeLimit")));
    }

    private static HedgeSettings hedging(JsonNode limit) {
        Map<ServiceName, Double> shares = new HashMap<>();
        limit.path("services")
                .fields()
                .forEachRemaining(entry -> shares.put(
                        new ServiceName(entry.getKey()), entry.getValue().asDouble()));
        return new HedgeSettings(limit.path("default").asDouble(SenderQueue.DEFAULT_HEDGE_SHARE), shares);
    }

    private static HostPort address(JsonNode root, String name) {
        return HostPort.parse(root.get(name).asText()).orElseThrow();
    }

    private static List<PeerSettings> peers(JsonNode root) {
        List<PeerSettings> result = new ArrayList<>();
        for (JsonNode peer : root.path("peers")) {
            result.add(new PeerSettings(
                    new InstanceId(peer.get("instance").asText()),
                    new FailureDomainId(peer.get("failureDomain").asText()),
                    new HostPort(peer.get("host").asText(), peer.get("port").asInt())));
        }
        return result;
    }

    private static void checkAddresses(JsonNode root, List<Fault> faults) {
        Map<HostPort, String> used = new HashMap<>();
        for (String name : List.of("callerAddress", "peerAddress", "adminAddress", "storeAddress")) {
            JsonNode value = root.path(name);
            if (!value.isTextual()) {
                continue;
            }
            HostPort parsed = HostPort.parse(value.asText()).orElse(null);
            boolean listens = LISTENER_NAMES.contains(name);
            if (parsed == null || (!listens && parsed.port() == 0)) {
                faults.add(
                        Fault.of("$." + name, value, "an IP address and a port, such as 127.0.0.1:8080 or [::1]:8080"));
            } else if (listens && parsed.port() != 0) {
                String first = used.putIfAbsent(parsed, name);
                if (first != null) {
                    faults.add(Fault.of("$." + name, value, "an address other than that of $." + first));
                }
            }
        }
    }

    private static void checkPeers(JsonNode root, List<Fault> faults) {
        Set<String> names = new HashSet<>();
        names.add(root.path("instance").asText());
        for (int i = 0; i < root.path("peers").size(); i++) {
            JsonNode peer = root.get("peers").path(i);
            JsonNode name = peer.path("instance");
            if (name.isTextual() && !names.add(name.asText())) {
                faults.add(Fault.of(
                        "$.peers[" + i + "].instance", name, "a name other than this instance's and earlier peers'"));
            }
            JsonNode host = peer.path("host");
            if (host.isTextual() && !Addresses.isIpAddress(host.asText())) {
                faults.add(Fault.of("$.peers[" + i + "].host", host, "an IP address"));
            }
        }
    }

    private static Map<String, PublicKey> readTrustedKeys(JsonNode root, List<Fault> faults) {
        Map<String, PublicKey> keys = new LinkedHashMap<>();
        for (int i = 0; i < root.path("trustedKeys").size(); i++) {
            JsonNode entry = root.get("trustedKeys").path(i);
            String path = "$.trustedKeys[" + i + "]";
            if (!entry.path("keyId").isTextual() || !entry.path("publicKey").isTextual()) {
                continue;
            }
            try {
                PublicKey key = SigningKeys.publicKey(entry.get("publicKey").asText());
                if (keys.put(entry.get("keyId").asText(), key) != null) {
                    faults.add(Fault.of(path + ".keyId", entry.get("keyId"), "a key id that no other key has"));
                }
            } catch (JackdawslipException e) {
                faults.add(Fault.of(
                        path + ".publicKey", entry.get("publicKey"), "base64 of an Ed25519 public key (see keygen)"));
            }
        }
        return keys;
    }
}
