package org.jackdawslip.internal.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;
import org.jackdawslip.InstanceId;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.internal.bundle.Bundle;
import org.jackdawslip.internal.bundle.CurrentBundle;
import org.jackdawslip.internal.bundle.SignedBundle;
import org.jackdawslip.internal.store.ReadResult;
import org.jackdawslip.internal.store.WriteResult;
import org.jackdawslip.protocol.BundleAnswer;
import org.jackdawslip.protocol.BundleRequest;
import org.jackdawslip.protocol.Envelope;
import org.tinylog.Logger;

/**
 * Holds the bundle in force and fetches newer bundles from peers and from the store. If the store comes back from
 * an earlier copy, the bundle in force is written back.
 *
 * <p>Not thread-safe; confined to the decision thread. Signatures are verified on another thread, because the
 * verification of a large bundle takes milliseconds.
 */
final class BundleUpdater {

    private static final Duration FETCH_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration WRITE_RETRY_DELAY = Duration.ofMillis(500);

    /** Stands for the index of a bundle that was not read from the store. */
    private static final long NO_INDEX = -1;

    private final InstanceContext context;
    private final CurrentBundle currentBundle;
    private final Consumer<Bundle> inForceListener;
    private boolean fetchInProgress;

    BundleUpdater(InstanceContext context, Consumer<Bundle> inForceListener) {
        this.context = context;
        this.currentBundle = new CurrentBundle(context.settings().trustedKeys());
        this.inForceListener = inForceListener;
    }

    long version() {
        return currentBundle.version();
    }

    Optional<Bundle> bundle() {
        return currentBundle.bundle();
    }

    /** Reads the bundle record of the store once. */
    void readStore() {
        context.store()
                .read(StoreRecords.BUNDLE_KEY)
                .thenAccept(result -> context.runOnDecisionThread(() -> handleStoreRead(result)));
    }

    /** Handles the result of a read or watch of the bundle record. */
    void handleStoreRead(ReadResult result) {
        if (result instanceof ReadResult.Found found) {
            verifyAndAccept(found.value(), "the store", found.index());
        } else if (result instanceof ReadResult.Absent) {
            writeBack(0);
        }
    }

    /** Fetches the bundle of a peer if the version that the peer reports is newer. */
    void fetchIfNewer(InstanceId peer, long version) {
        if (version > currentBundle.version()) {
            context.peerDirectory().address(peer).ifPresent(this::fetch);
        }
    }

    /**
     * Requests the bundle of a peer, which replies with its bundle if that one is newer. Does nothing while
     * another fetch is open.
     */
    void fetch(InetSocketAddress peer) {
        if (fetchInProgress) {
            return;
        }
        fetchInProgress = true;
        BundleRequest request = BundleRequest.newBuilder()
                .setAboveVersion(currentBundle.version())
                .build();
        context.transport()
                .request(peer, Envelope.newBuilder().setBundleRequest(request).build(), FETCH_TIMEOUT)
                .whenComplete((reply, failure) -> context.runOnDecisionThread(() -> {
                    fetchInProgress = false;
                    if (failure == null
                            && !reply.getBundleAnswer().getSignedBundle().isEmpty()) {
                        verifyAndAccept(
                                reply.getBundleAnswer().getSignedBundle().toByteArray(), "peer " + peer, NO_INDEX);
                    }
                }));
    }

    BundleAnswer toReply(BundleRequest request) {
        Optional<SignedBundle> signed =
                currentBundle.signed().filter(newer -> newer.version() > request.getAboveVersion());
        return BundleAnswer.newBuilder()
                .setVersion(currentBundle.version())
                .setSignedBundle(
                        signed.map(newer -> ByteString.copyFrom(newer.toJson())).orElse(ByteString.EMPTY))
                .build();
    }

    private void verifyAndAccept(byte[] envelope, String source, long storeIndex) {
        CompletableFuture.runAsync(() -> {
            try {
                SignedBundle candidate = SignedBundle.parse(envelope);
                if (candidate.version() > currentBundle.version() && currentBundle.accept(candidate)) {
                    context.runOnDecisionThread(() -> reportInForce(source));
                } else if (storeIndex != NO_INDEX) {
                    checkStored(candidate, storeIndex);
                }
            } catch (JackdawslipException e) {
                Logger.warn("bundle from {} rejected: {}", source, e.getMessage());
            }
        });
    }

    /**
     * Handles a stored bundle that is not newer than the one in force. An invalid bundle stays in the store for
     * the operator to examine.
     */
    private void checkStored(SignedBundle stored, long storeIndex) {
        Optional<SignedBundle> inForce = currentBundle.signed();
        if (inForce.isEmpty() || inForce.get().equals(stored)) {
            return;
        }
        Bundle bundle = stored.verify(context.settings().trustedKeys());
        if (bundle.version() < currentBundle.version()) {
            context.runOnDecisionThread(() -> writeBack(storeIndex));
        } else if (bundle.version() == currentBundle.version()) {
            Logger.error(
                    "the store has another bundle of version {} than the one in force; roll out version {}",
                    bundle.version(),
                    bundle.version() + 1);
        }
    }

    private void writeBack(long storeIndex) {
        currentBundle.signed().ifPresent(signed -> context.store()
                .compareAndSwap(StoreRecords.BUNDLE_KEY, storeIndex, signed.toJson())
                .thenAccept(result -> context.runOnDecisionThread(() -> handleWriteBack(signed, result))));
    }

    private void handleWriteBack(SignedBundle signed, WriteResult result) {
        if (result.kind() == WriteResult.Kind.APPLIED) {
            Logger.warn("the store had lost bundle version {}, which is in force; written again", signed.version());
        } else if (result.kind() != WriteResult.Kind.CONFLICT) {
            context.timers().after(WRITE_RETRY_DELAY, () -> context.runOnDecisionThread(this::readStore));
        }
    }

    private void reportInForce(String source) {
        Bundle bundle = currentBundle.bundle().orElseThrow();
        context.metrics().setBundleVersion(bundle.version());
        Logger.info("bundle version {} from {} is now in force", bundle.version(), source);
        inForceListener.accept(bundle);
    }
}
