package org.jackdawslip.internal.bundle;

import java.security.PublicKey;
import java.util.Map;
import java.util.Optional;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;

/**
 * Holds the bundle in force.
 *
 * <p>Invariants: the version never decreases, and every bundle has a verified signature. Thread-safe; reads
 * do not block.
 */
public final class CurrentBundle {

    private final Map<String, PublicKey> trustedKeys;
    private volatile Accepted inForce;

    /**
     * Starts without a bundle.
     *
     * @param trustedKeys public keys by key id
     */
    public CurrentBundle(Map<String, PublicKey> trustedKeys) {
        this.trustedKeys = Map.copyOf(trustedKeys);
    }

    /**
     * Verifies a bundle and puts it in force. Returns false if exactly this bundle already is in force.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_BUNDLE} if verification fails, or with
     *     {@link ErrorCode#BUNDLE_CONFLICT} if the version is not higher than the one in force
     */
    public synchronized boolean accept(SignedBundle candidate) {
        Accepted current = inForce;
        if (current != null && current.signed.equals(candidate)) {
            return false;
        }
        Bundle bundle = candidate.verify(trustedKeys);
        if (current != null && bundle.version() <= current.bundle.version()) {
            throw new JackdawslipException(
                    ErrorCode.BUNDLE_CONFLICT,
                    "bundle version " + bundle.version() + " is refused: version " + current.bundle.version()
                            + " is in force");
        }
        inForce = new Accepted(candidate, bundle);
        return true;
    }

    /** Returns the bundle in force. */
    public Optional<Bundle> bundle() {
        return Optional.ofNullable(inForce).map(Accepted::bundle);
    }

    /** Returns the bundle in force in its signed form, for distribution to other instances. */
    public Optional<SignedBundle> signed() {
        return Optional.ofNullable(inForce).map(Accepted::signed);
    }

    /** Returns the version in force, or 0 if there is none. */
    public long version() {
        Accepted current = inForce;
        return current == null ? 0 : current.bundle.version();
    }

    private record Accepted(SignedBundle signed, Bundle bundle) {}
}
