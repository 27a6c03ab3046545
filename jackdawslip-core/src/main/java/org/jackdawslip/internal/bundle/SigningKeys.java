package org.jackdawslip.internal.bundle;

import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.spec.PKCS8EncodedKeySpec;
import java.security.spec.X509EncodedKeySpec;
import java.util.Base64;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;

/** Generates, encodes and parses the Ed25519 keys that sign bundles. Stateless and thread-safe. */
public final class SigningKeys {

    static final String ALGORITHM = "Ed25519";

    private SigningKeys() {}

    /** Generates a key pair. */
    public static KeyPair generate() {
        try {
            return KeyPairGenerator.getInstance(ALGORITHM).generateKeyPair();
        } catch (GeneralSecurityException e) {
            throw new JackdawslipException(ErrorCode.INTERNAL, "the Java runtime has no " + ALGORITHM, e);
        }
    }

    /** Returns the base64 form of a key, which is encoded as X.509 if public and as PKCS #8 if private. */
    public static String encode(java.security.Key key) {
        return Base64.getEncoder().encodeToString(key.getEncoded());
    }

    /**
     * Parses the base64 form of a public key.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_ARGUMENT} if the text is not an Ed25519 key
     */
    public static PublicKey publicKey(String text) {
        try {
            return KeyFactory.getInstance(ALGORITHM)
                    .generatePublic(new X509EncodedKeySpec(Base64.getDecoder().decode(text)));
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_ARGUMENT, "public key \"" + text + "\" is not base64 of an Ed25519 key", e);
        }
    }

    /**
     * Parses the base64 form of a private key.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_ARGUMENT} if the text is not an Ed25519 key;
     *     the message does not contain the text, which is secret
     */
    public static PrivateKey privateKey(String text) {
        try {
            return KeyFactory.getInstance(ALGORITHM)
                    .generatePrivate(new PKCS8EncodedKeySpec(Base64.getDecoder().decode(text)));
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_ARGUMENT, "the private key is not base64 of an Ed25519 key", e);
        }
    }
}
