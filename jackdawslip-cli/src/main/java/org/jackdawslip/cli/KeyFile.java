package org.jackdawslip.cli;

import java.io.IOException;
import java.security.KeyPair;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.internal.bundle.SigningKeys;

/**
 * A key file of an operator in JSON, with {@code keyId}, {@code publicKey} and, in a private key file,
 * {@code privateKey}.
 *
 * <p>Immutable and thread-safe.
 */
record KeyFile(String fileName, String keyId, PublicKey publicKey, String encodedPrivateKey) {

    /** The pattern of names in the settings, because the settings of each instance contain the key id. */
    private static final Pattern VALID_KEY_ID = Pattern.compile("[A-Za-z0-9._-]{1,64}");

    /**
     * Reads a public or private key file.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_ARGUMENT} if the file cannot be read, is not
     *     JSON, or lacks a required field
     */
    static KeyFile read(String name) {
        JsonNode root;
        try {
            root = Output.JSON.readTree(Files.read(name));
        } catch (IOException e) {
            throw new JackdawslipException(ErrorCode.INVALID_ARGUMENT, "key file \"" + name + "\" is not JSON", e);
        }
        if (!root.path("keyId").isTextual() || !root.path("publicKey").isTextual()) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_ARGUMENT, "key file \"" + name + "\" lacks keyId or publicKey");
        }
        return new KeyFile(
                name,
                root.get("keyId").asText(),
                SigningKeys.publicKey(root.get("publicKey").asText()),
                root.path("privateKey").asText(""));
    }

    /**
     * Generates a key pair and writes the private key to {@code file} and the public key to {@code file.pub}.
     *
     * @return the entry for {@code trustedKeys} in the settings
     * @throws JackdawslipException with {@link ErrorCode#INVALID_ARGUMENT} if the key id is not valid, the
     *     private key file exists, or a file cannot be written
     */
    static Map<String, String> generate(String keyId, String file) {
        if (!VALID_KEY_ID.matcher(keyId).matches()) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_ARGUMENT,
                    "key id \"" + keyId + "\" is not 1 to 64 letters, digits, dots, hyphens or underscores");
        }
        KeyPair keyPair = SigningKeys.generate();
        Map<String, String> publicEntry = new LinkedHashMap<>();
        publicEntry.put("keyId", keyId);
        publicEntry.put("publicKey", SigningKeys.encode(keyPair.getPublic()));
        Map<String, String> privateEntry = new LinkedHashMap<>(publicEntry);
        privateEntry.put("privateKey", SigningKeys.encode(keyPair.getPrivate()));
        Files.writeOwnerOnly(file, Output.json(privateEntry));
        Files.write(file + ".pub", Output.json(publicEntry));
        return publicEntry;
    }

    /** Reads key files and returns their public keys by key id. */
    static Map<String, PublicKey> readTrustedKeys(List<String> files) {
        Map<String, PublicKey> keys = new LinkedHashMap<>();
        for (String file : files) {
            KeyFile key = read(file);
            keys.put(key.keyId, key.publicKey);
        }
        return keys;
    }

    /**
     * Decodes the private key.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_ARGUMENT} if the file contains only the
     *     public key
     */
    PrivateKey privateKey() {
        if (encodedPrivateKey.isEmpty()) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_ARGUMENT, "key file \"" + fileName + "\" has no private key");
        }
        return SigningKeys.privateKey(encodedPrivateKey);
    }

    @Override
    public String toString() {
        return "KeyFile[" + fileName + ", " + keyId + "]";
    }
}
