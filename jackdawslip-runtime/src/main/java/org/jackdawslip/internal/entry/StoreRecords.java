package org.jackdawslip.internal.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.ownership.CoordinatorRecord;
import org.jackdawslip.internal.ownership.HomeAssignment;
import org.jackdawslip.internal.ownership.HomesRecord;
import org.jackdawslip.internal.ownership.KeyRange;

/**
 * The keys of the store records, and the conversion of the records to and from JSON. Stateless and
 * thread-safe.
 */
final class StoreRecords {

    static final String BUNDLE_KEY = "jackdawslip/bundle";

    private static final ObjectMapper JSON = new ObjectMapper();

    private StoreRecords() {}

    static String coordinatorKey(FailureDomainId domain) {
        return "jackdawslip/domains/" + domain;
    }

    static String homesKey(ServiceName service) {
        return "jackdawslip/homes/" + service;
    }

    static byte[] write(CoordinatorRecord record) {
        ObjectNode root = JSON.createObjectNode();
        // A vacant record has an empty coordinator name, as in the record that "jackdawslip domain release"
        // writes.
        root.put("coordinator", record.coordinator().map(InstanceId::value).orElse(""));
        record.successor().ifPresent(successor -> root.put("successor", successor.value()));
        record.witness().ifPresent(witness -> root.put("witness", witness.value()));
        root.put("epoch", record.epoch());
        root.put("mark", record.mark());
        return toBytes(root);
    }

    /**
     * Reads the coordinator record of a failure domain.
     *
     * @throws JackdawslipException with {@link ErrorCode#STORE_UNAVAILABLE} if the value is not a valid
     *     record
     */
    static CoordinatorRecord readCoordinator(byte[] value, long index) {
        return convertErrors(() -> {
            JsonNode root = parse(value);
            Optional<InstanceId> coordinator = instance(text(root, "coordinator"));
            Optional<InstanceId> successor =
                    root.has("successor") ? instance(text(root, "successor")) : Optional.empty();
            Optional<InstanceId> witness = root.has("witness") ? instance(text(root, "witness")) : Optional.empty();
            boolean vacant = coordinator.isEmpty();
            return new CoordinatorRecord(
                    coordinator,
                    vacant ? Optional.empty() : successor,
                    vacant ? Optional.empty() : witness,
                    number(root, "epoch"),
                    text(root, "mark"),
                    index);
        });
    }

    static byte[] write(HomesRecord record) {
        ObjectNode root = JSON.createObjectNode();
        root.put("version", record.version());
        root.put("mark", record.mark());
        ArrayNode homes = root.putArray("ranges");
        for (HomeAssignment home : record.homes()) {
            homes.addObject()
                    .put("first", Long.toHexString(home.range().first()))
                    .put("last", Long.toHexString(home.range().last()))
                    .put("failureDomain", home.failureDomain().value());
        }
        return toBytes(root);
    }

    /**
     * Reads the homes record of a service.
     *
     * @throws JackdawslipException with {@link ErrorCode#STORE_UNAVAILABLE} if the value is not a valid
     *     record
     */
    static HomesRecord readHomes(ServiceName service, byte[] value, long index) {
        return convertErrors(() -> {
            JsonNode root = parse(value);
            if (!root.path("ranges").isArray()) {
                throw invalid("field \"ranges\" is missing or not an array");
            }
            List<HomeAssignment> homes = new ArrayList<>();
            for (JsonNode home : root.get("ranges")) {
                KeyRange range = new KeyRange(hash(home, "first"), hash(home, "last"));
                homes.add(new HomeAssignment(range, new FailureDomainId(text(home, "failureDomain"))));
            }
            return new HomesRecord(service, number(root, "version"), homes, text(root, "mark"), index);
        });
    }

    /** Converts the exceptions for invalid names and ranges to the one for an invalid record. */
    private static <T> T convertErrors(Supplier<T> read) {
        try {
            return read.get();
        } catch (JackdawslipException e) {
            throw e.code() == ErrorCode.STORE_UNAVAILABLE ? e : invalid(e.getMessage());
        }
    }

    private static JackdawslipException invalid(String reason) {
        return new JackdawslipException(ErrorCode.STORE_UNAVAILABLE, reason);
    }

    private static Optional<InstanceId> instance(String name) {
        return name.isEmpty() ? Optional.empty() : Optional.of(new InstanceId(name));
    }

    private static String text(JsonNode node, String field) {
        if (!node.path(field).isTextual()) {
            throw invalid("field \"" + field + "\" is missing or not a string");
        }
        return node.get(field).asText();
    }

    private static long number(JsonNode node, String field) {
        if (!node.path(field).canConvertToExactIntegral() || node.get(field).asLong() < 1) {
            throw invalid("field \"" + field + "\" is missing or not an integer of at least 1");
        }
        return node.get(field).asLong();
    }

    private static long hash(JsonNode node, String field) {
        String text = text(node, field);
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw invalid("field \"" + field + "\" is \"" + text + "\", not a hexadecimal 64-bit hash");
        }
    }

    private static JsonNode parse(byte[] value) {
        try {
            return JSON.readTree(value);
        } catch (IOException e) {
            throw new JackdawslipException(ErrorCode.STORE_UNAVAILABLE, "the value is not JSON", e);
        }
    }

    private static byte[] toBytes(ObjectNode root) {
        try {
            return JSON.writeValueAsBytes(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record cannot be written as JSON", e);
        }
    }
}
