package org.jackdawslip.internal.bundle;

import java.io.IOException;
import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;

/**
 * The serialized form of a bundle with its Ed25519 signature.
 *
 * <p>Immutable and thread-safe. No value is authenticated before {@link #verify} returns.
 *
 * <pre>{@code
 * byte[] envelope = SignedBundle.sign(document, "ops-1", privateKey).toJson();
 * Bundle bundle = SignedBundle.parse(envelope).verify(trustedKeys);
 * }</pre>
 */
public final class SignedBundle {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final long version;
    private final String keyId;
    private final byte[] signature;
    private final byte[] document;

    private SignedBundle(long version, String keyId, byte[] signature, byte[] document) {
        this.version = version;
        this.keyId = keyId;
        this.signature = signature;
        this.document = document;
    }

    /**
     * Validates and signs a bundle.
     *
     * @throws org.jackdawslip.internal.json.InvalidDocumentException if the bundle is not valid
     */
    public static SignedBundle sign(byte[] document, String keyId, PrivateKey key) {
        long version = BundleReader.read(document).version();
        try {
            Signature signer = Signature.getInstance(SigningKeys.ALGORITHM);
            signer.initSign(key);
            signer.update(document);
            return new SignedBundle(version, keyId, signer.sign(), document.clone());
        } catch (GeneralSecurityException e) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_ARGUMENT, "key \"" + keyId + "\" cannot sign: " + e.getMessage(), e);
        }
    }

    /**
     * Parses an envelope without verifying the signature.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_BUNDLE} if the bytes are not an envelope
     */
    public static SignedBundle parse(byte[] envelope) {
        try {
            JsonNode root = JSON.readTree(envelope);
            if (!root.path("version").canConvertToLong()
                    || !root.path("keyId").isTextual()
                    || !root.path("signature").isTextual()
                    || !root.path("bundle").isTextual()) {
                throw invalid("it lacks version, keyId, signature or bundle; sign it first", null);
            }
            return new SignedBundle(
                    root.get("version").asLong(),
                    root.get("keyId").asText(),
                    Base64.getDecoder().decode(root.get("signature").asText()),
                    Base64.getDecoder().decode(root.get("bundle").asText()));
        } catch (IOException | IllegalArgumentException e) {
            throw invalid("it is not JSON with base64 values", e);
        }
    }

    /**
     * Verifies the signature and reads the bundle.
     *
     * @param trustedKeys public keys by key id
     * @throws JackdawslipException with {@link ErrorCode#INVALID_BUNDLE} if the key is not trusted, the
     *     signature does not match, or the bundle is not valid
     */
    public Bundle verify(Map<String, PublicKey> trustedKeys) {
        PublicKey key = trustedKeys.get(keyId);
        if (key == null) {
            throw invalid("key id \"" + keyId + "\" is not trusted; trusted are " + trustedKeys.keySet(), null);
        }
        try {
            Signature verifier = Signature.getInstance(SigningKeys.ALGORITHM);
            verifier.initVerify(key);
            verifier.update(document);
            if (!verifier.verify(signature)) {
                throw invalid("the signature does not match key id \"" + keyId + "\"", null);
            }
        } catch (GeneralSecurityException e) {
            throw invalid("the signature cannot be verified: " + e.getMessage(), e);
        }
        Bundle bundle = BundleReader.read(document);
        if (bundle.version() != version) {
            // The signature covers only the version inside the document.
            throw invalid("the envelope has version " + version + " and the bundle " + bundle.version(), null);
        }
        return bundle;
    }

    /** Returns the envelope as JSON. */
    public byte[] toJson() {
        Map<String, Object> root = new LinkedHashMap<>();
        root.put("version", version);
        root.put("keyId", keyId);
        root.put("signature", Base64.getEncoder().encodeToString(signature));
        root.put("bundle", Base64.getEncoder().encodeToString(document));
        try {
            return JSON.writeValueAsBytes(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("bundle envelope cannot be serialized as JSON", e);
        }
    }

    /** Returns the version in the envelope, which {@link #verify} compares with the signed one. */
    public long version() {
        return version;
    }

    /** Returns the id of the signing key. */
    public String keyId() {
        return keyId;
    }

    /** Returns the bytes that the signature covers. */
    public byte[] document() {
        return document.clone();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof SignedBundle that
                && version == that.version
                && keyId.equals(that.keyId)
                && Arrays.equals(signature, that.signature)
                && Arrays.equals(document, that.document);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(signature);
    }

    private static JackdawslipException invalid(String reason, Throwable cause) {
        return new JackdawslipException(ErrorCode.INVALID_BUNDLE, "signed bundle is refused: " + reason, cause);
    }
}
