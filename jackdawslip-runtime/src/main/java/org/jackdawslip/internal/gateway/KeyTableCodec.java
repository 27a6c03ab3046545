package org.jackdawslip.internal.gateway;

import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jackdawslip.BackendServerId;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.FencingToken;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.internal.durable.StoreEra;
import org.jackdawslip.internal.keyspace.KeySegment;
import org.jackdawslip.internal.keyspace.KeyTable;

/**
 * Encodes owner tables as JSON for the store, and decodes them. Earlier versions ignore the era and write none.
 * Stateless and thread-safe.
 */
final class KeyTableCodec {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final JsonFactory FACTORY = MAPPER.getFactory();

    private KeyTableCodec() {}

    static byte[] encode(KeyTable table) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = FACTORY.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("nextToken", table.nextToken().value());
            if (!table.era().equals(StoreEra.NONE)) {
                json.writeNumberField("era", table.era().number());
            }
            json.writeArrayFieldStart("segments");
            for (KeySegment segment : table.segments()) {
                json.writeStartArray();
                json.writeNumber(segment.first());
                json.writeNumber(segment.last());
                json.writeString(segment.owner().value());
                json.writeNumber(segment.ownerStartedAtMillis());
                json.writeNumber(segment.token().value());
                json.writeEndArray();
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new JackdawslipException(ErrorCode.INTERNAL, "cannot encode the owner table", e);
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Decodes an owner table.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_ARGUMENT} if the bytes are not a valid owner
     *     table
     */
    static KeyTable decode(byte[] bytes) {
        try {
            JsonNode root = MAPPER.readTree(bytes);
            List<KeySegment> segments = new ArrayList<>();
            for (JsonNode entry : root.required("segments")) {
                segments.add(new KeySegment(
                        Math.toIntExact(toLong(entry.required(0))),
                        Math.toIntExact(toLong(entry.required(1))),
                        new BackendServerId(entry.required(2).asText()),
                        toLong(entry.required(3)),
                        new FencingToken(toLong(entry.required(4)))));
            }
            StoreEra era = root.has("era") ? new StoreEra(toLong(root.get("era"))) : StoreEra.NONE;
            return new KeyTable(segments, new FencingToken(toLong(root.required("nextToken"))), era);
        } catch (IOException | IllegalArgumentException | ArithmeticException e) {
            throw new JackdawslipException(ErrorCode.INVALID_ARGUMENT, "invalid owner table: " + e.getMessage(), e);
        }
    }

    private static long toLong(JsonNode number) {
        if (!number.isIntegralNumber() || !number.canConvertToLong()) {
            throw new IllegalArgumentException("expected an integer of at most 64 bits");
        }
        return number.longValue();
    }
}
