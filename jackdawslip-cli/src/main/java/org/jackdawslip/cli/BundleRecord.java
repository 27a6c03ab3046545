package org.jackdawslip.cli;

import java.util.Optional;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.internal.bundle.SignedBundle;
import org.jackdawslip.internal.settings.HostPort;
import org.jackdawslip.internal.store.ConsulStore;
import org.jackdawslip.internal.store.ReadResult;
import org.jackdawslip.internal.store.Store;
import org.jackdawslip.internal.store.WriteResult;

/**
 * The record of the accepted bundle in the store.
 *
 * <p>Invariant: each accepted bundle increases the bundle version in the record by exactly one. Not
 * thread-safe.
 */
final class BundleRecord {

    static final String KEY = "jackdawslip/bundle";

    private static final int MAX_WRITE_ATTEMPTS = 3;
    private static final int MAX_VALUE_BYTES = 1 << 20;

    private final Store store;

    BundleRecord(Store store) {
        this.store = store;
    }

    /**
     * Creates a client for the store at {@code HOST:PORT}. The caller must close the client.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_ARGUMENT} if the address is not valid
     */
    static Store connect(String address) {
        HostPort parsed = HostPort.parse(address)
                .orElseThrow(() -> new JackdawslipException(
                        ErrorCode.INVALID_ARGUMENT,
                        "store address \"" + address + "\" is not an IP address and a port, such as 127.0.0.1:8500"));
        return new ConsulStore(parsed.host(), parsed.port());
    }

    /**
     * Reads the record, without verifying the signature.
     *
     * @return the stored bundle, or empty if the store has none
     * @throws JackdawslipException with {@link ErrorCode#STORE_UNAVAILABLE} if the store cannot be read
     */
    Optional<StoredBundle> read() {
        ReadResult result = store.read(KEY).join();
        if (result instanceof ReadResult.Found found) {
            return Optional.of(new StoredBundle(SignedBundle.parse(found.value()), found.index()));
        }
        if (result instanceof ReadResult.Unavailable unavailable) {
            throw new JackdawslipException(ErrorCode.STORE_UNAVAILABLE, unavailable.reason());
        }
        return Optional.empty();
    }

    /**
     * Writes the candidate by compare-and-swap if its version follows the stored one. The caller must have
     * verified the candidate's signature. Succeeds without a write if the store already has the candidate.
     *
     * @throws JackdawslipException with {@link ErrorCode#BUNDLE_CONFLICT} if another bundle was accepted or
     *     the version is not the next one, with {@link ErrorCode#STORE_UNAVAILABLE} if nothing was written,
     *     with {@link ErrorCode#OUTCOME_UNKNOWN} if the candidate may have been written, or with
     *     {@link ErrorCode#INVALID_BUNDLE} if the candidate is too large for the store
     */
    void rollOut(SignedBundle candidate) {
        byte[] value = candidate.toJson();
        if (value.length > MAX_VALUE_BYTES) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_BUNDLE,
                    "signed bundle has " + value.length + " bytes; the store accepts at most " + MAX_VALUE_BYTES);
        }
        Optional<StoredBundle> recordBefore = read();
        if (recordBefore.isPresent() && recordBefore.get().signed.equals(candidate)) {
            return;
        }
        long storedVersion = recordBefore.map(record -> record.signed.version()).orElse(0L);
        if (candidate.version() != storedVersion + 1) {
            throw versionConflict(candidate, storedVersion);
        }
        long index = recordBefore.map(StoredBundle::index).orElse(0L);
        boolean mayBeWritten = false;
        for (int attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
            WriteResult result = store.compareAndSwap(KEY, index, value).join();
            if (result.kind() == WriteResult.Kind.APPLIED) {
                return;
            }
            if (result.kind() == WriteResult.Kind.UNAVAILABLE && !mayBeWritten) {
                throw new JackdawslipException(
                        ErrorCode.STORE_UNAVAILABLE, result.reason() + "; the bundle was not written");
            }
            mayBeWritten |= result.kind() == WriteResult.Kind.OUTCOME_UNKNOWN;
            if (isStored(candidate, index, mayBeWritten)) {
                return;
            }
        }
        throw outcomeUnknown(candidate, "lost the responses to " + MAX_WRITE_ATTEMPTS + " writes to the store");
    }

    /**
     * Reads the record again after a write that was not confirmed.
     *
     * @return true if the record has the candidate, false if the record is unchanged and the write can be
     *     repeated
     */
    private boolean isStored(SignedBundle candidate, long index, boolean mayBeWritten) {
        Optional<StoredBundle> recordAfter;
        try {
            recordAfter = read();
        } catch (JackdawslipException e) {
            if (mayBeWritten) {
                throw outcomeUnknown(candidate, e.getMessage());
            }
            throw e;
        }
        if (recordAfter.isPresent() && recordAfter.get().signed.equals(candidate)) {
            return true;
        }
        if (recordAfter.map(StoredBundle::index).orElse(0L) == index) {
            return false;
        }
        long version = recordAfter.map(record -> record.signed.version()).orElse(0L);
        if (mayBeWritten && version > candidate.version()) {
            // The candidate may have been accepted and then replaced by a later bundle.
            throw outcomeUnknown(candidate, "version " + version + " is in the store now");
        }
        throw versionConflict(candidate, version);
    }

    private static JackdawslipException versionConflict(SignedBundle candidate, long storedVersion) {
        return new JackdawslipException(
                ErrorCode.BUNDLE_CONFLICT,
                "bundle version " + candidate.version() + " is rejected: the store has "
                        + (storedVersion == 0 ? "no bundle" : "version " + storedVersion) + ", so the next version is "
                        + (storedVersion + 1));
    }

    private static JackdawslipException outcomeUnknown(SignedBundle candidate, String reason) {
        return new JackdawslipException(
                ErrorCode.OUTCOME_UNKNOWN,
                "bundle version " + candidate.version() + " may have been accepted: " + reason
                        + "; check with jackdawslip bundle show");
    }

    /**
     * A bundle read from the store, whose signature has not been verified.
     *
     * @param signed the bundle with its signature
     * @param index modification index of the record, which the next compare-and-swap expects
     */
    record StoredBundle(SignedBundle signed, long index) {}
}
