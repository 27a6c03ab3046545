package org.jackdawslip.internal.account;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The SHA-256 digest of the key of a client account. The key cannot be derived from it.
 *
 * <p>Two digests are compared in a time that does not depend on their content. Immutable and thread-safe.
 */
public final class KeyDigest {

    /** Bytes of the digest in log lines; 32 bits identify one of some hundred keys. */
    private static final int SHORT_BYTES = 4;

    private final byte[] digest;

    private KeyDigest(byte[] digest) {
        this.digest = digest;
    }

    /** Returns the digest of a key. */
    public static KeyDigest of(String key) {
        try {
            return new KeyDigest(MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof KeyDigest that && MessageDigest.isEqual(digest, that.digest);
    }

    @Override
    public int hashCode() {
        return digest[0] << 24 | (digest[1] & 0xff) << 16 | (digest[2] & 0xff) << 8 | digest[3] & 0xff;
    }

    /** Returns the first bytes of the digest in hexadecimal, for log lines. */
    @Override
    public String toString() {
        return HexFormat.of().formatHex(digest, 0, SHORT_BYTES);
    }
}
