package org.jackdawslip.cli;

import java.io.IOException;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.internal.store.ReadResult;
import org.jackdawslip.internal.store.Store;
import org.jackdawslip.internal.store.WriteResult;

/**
 * Updates a JSON record of the store by compare-and-swap. Each new value has a random {@code mark}, by which
 * a later read determines whether a write without a response took effect. Stateless and thread-safe.
 */
final class JsonRecordUpdater {

    private static final int MAX_WRITE_ATTEMPTS = 3;

    private JsonRecordUpdater() {}

    /**
     * Applies a change to a record and writes the record.
     *
     * @param change modifies the record in place; runs again if a write is repeated
     * @return the changed record, or empty if the record does not exist
     * @throws JackdawslipException with {@link ErrorCode#BUNDLE_CONFLICT} if another client changed the
     *     record first, with {@link ErrorCode#STORE_UNAVAILABLE} if nothing was written, or with {@link
     *     ErrorCode#OUTCOME_UNKNOWN} if the change may have been written
     */
    static Optional<ObjectNode> update(Store store, String key, Consumer<ObjectNode> change) {
        String mark = UUID.randomUUID().toString();
        long expectedIndex = -1;
        for (int attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
            ReadResult result = store.read(key).join();
            if (result instanceof ReadResult.Unavailable unavailable) {
                throw expectedIndex < 0
                        ? new JackdawslipException(ErrorCode.STORE_UNAVAILABLE, unavailable.reason())
                        : outcomeUnknown(key, unavailable.reason());
            }
            if (!(result instanceof ReadResult.Found found)) {
                return Optional.empty();
            }
            ObjectNode record = parse(found.value(), key);
            if (record.path("mark").asText().equals(mark)) {
                return Optional.of(record);
            }
            if (expectedIndex >= 0 && found.index() != expectedIndex) {
                throw new JackdawslipException(
                        ErrorCode.BUNDLE_CONFLICT, "record " + key + " was changed by another client");
            }
            change.accept(record);
            record.put("mark", mark);
            expectedIndex = found.index();
            WriteResult write = store.compareAndSwap(key, expectedIndex, Output.json(record))
                    .join();
            if (write.kind() == WriteResult.Kind.APPLIED) {
                return Optional.of(record);
            }
            if (write.kind() == WriteResult.Kind.UNAVAILABLE && attempt == 0) {
                throw new JackdawslipException(ErrorCode.STORE_UNAVAILABLE, write.reason());
            }
        }
        throw outcomeUnknown(key, "lost the responses to " + MAX_WRITE_ATTEMPTS + " writes to the store");
    }

    private static JackdawslipException outcomeUnknown(String key, String reason) {
        return new JackdawslipException(
                ErrorCode.OUTCOME_UNKNOWN,
                "record " + key + " may have been changed: " + reason + "; repeat the command");
    }

    private static ObjectNode parse(byte[] value, String key) {
        try {
            JsonNode node = Output.JSON.readTree(value);
            if (node instanceof ObjectNode object) {
                return object;
            }
        } catch (IOException e) {
            throw new JackdawslipException(ErrorCode.INTERNAL, "record " + key + " is not JSON", e);
        }
        throw new JackdawslipException(ErrorCode.INTERNAL, "record " + key + " is not a JSON object");
    }
}
