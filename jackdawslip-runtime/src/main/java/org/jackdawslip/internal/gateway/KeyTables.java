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
import org.jackdawslip.internal.keyspace.KeySegment;
import org.jackdawslip.internal.keyspace.KeyTable;

/** The durable form of owner tables. Stateless and thread-safe. */
final class KeyTables {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final JsonFactory FACTORY = MAPPER.getFactory();

    private KeyTables() {}

    static byte[] encode(KeyTable table) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = FACTORY.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("nextToken", table.nextToken().value());
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
            throw new JackdawslipException(ErrorCode.INTERNAL, "encoding in memory failed", e);
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Decodes a table.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_ARGUMENT} if the bytes are not a table
     */
    static KeyTable decode(byte[] bytes) {
        try {
            JsonNode root = MAPPER.readTree(bytes);
            List<KeySegment> segments = new ArrayList<>();
            for (JsonNode entry : root.required("segments")) {
                segments.add(new KeySegment(
                        Math.toIntExact(whole(entry.required(0))),
                        Math.toIntExact(whole(entry.required(1))),
                        new BackendServerId(entry.required(2).asText()),
                        whole(entry.required(3)),
                        new FencingToken(whole(entry.required(4)))));
            }
            return new KeyTable(segments, new FencingToken(whole(root.required("nextToken"))));
        } catch (IOException | IllegalArgumentException | ArithmeticException e) {
            throw new JackdawslipException(ErrorCode.INVALID_ARGUMENT, "not an owner table: " + e.getMessage(), e);
        }
    }

    private static long whole(JsonNode figure) {
        if (!figure.isIntegralNumber() || !figure.canConvertToLong()) {
            throw new IllegalArgumentException("a figure is not a whole number in range");
        }
        return figure.longValue();
    }
}
