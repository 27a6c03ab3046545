package org.jackdawslip.internal.json;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import org.jackdawslip.ErrorCode;

/**
 * Parses JSON documents of one type and validates them against a JSON schema.
 *
 * <p>Immutable and thread-safe. Faults take the text for allowed values from the {@code description} that the
 * schema has beside a keyword.
 */
public final class DocumentSchema {

    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private final String name;
    private final ErrorCode code;
    private final JsonNode source;
    private final JsonSchema schema;

    /**
     * Loads a schema.
     *
     * @param owner the class whose package contains the schema resource
     * @param resource the file name of the schema
     * @param name the name of the document type in messages
     * @param code the error code of exceptions
     */
    public DocumentSchema(Class<?> owner, String resource, String name, ErrorCode code) {
        this.name = name;
        this.code = code;
        try (InputStream stream = owner.getResourceAsStream(resource)) {
            source = JSON.readTree(stream);
        } catch (IOException e) {
            throw new UncheckedIOException("schema " + resource + " cannot be read", e);
        }
        schema = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                .getSchema(
                        source,
                        SchemaValidatorsConfig.builder()
                                .pathType(PathType.JSON_PATH)
                                .build());
    }

    /**
     * Parses a document without validating it against the schema.
     *
     * @throws InvalidDocumentException if the document is not JSON or an object repeats a name
     */
    public JsonNode parse(byte[] document) {
        try {
            return JSON.readTree(document);
        } catch (JsonProcessingException e) {
            String where = e.getLocation() == null
                    ? "$"
                    : "line " + e.getLocation().getLineNr() + ", column "
                            + e.getLocation().getColumnNr();
            throw failure(List.of(new Fault(where, e.getOriginalMessage(), "one JSON object without repeated names")));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the violations of the schema, sorted by path. */
    public List<Fault> faults(JsonNode document) {
        List<Fault> faults = new ArrayList<>();
        schema.validate(document).stream().map(this::translate).forEach(faults::add);
        faults.sort(Comparator.comparing(Fault::path));
        return faults;
    }

    /** Returns the exception for a document with faults. */
    public InvalidDocumentException failure(List<Fault> faults) {
        return new InvalidDocumentException(code, name, faults);
    }

    private Fault translate(ValidationMessage message) {
        String path = message.getInstanceLocation().toString();
        JsonNode rule = source.at(pointer(message)).path(message.getType());
        return switch (message.getType()) {
            case "additionalProperties" -> unknownName(path, message);
            case "required" -> new Fault(
                    path + "." + message.getProperty(), "is missing", "a value for " + message.getProperty());
            case "enum" -> Fault.of(path, message.getInstanceNode(), oneOf(rule));
            case "type" -> Fault.of(path, message.getInstanceNode(), allowed(message, "a JSON " + rule.asText()));
            case "minItems" -> Fault.of(path, message.getInstanceNode(), "at least " + rule + " items");
            case "minProperties" -> Fault.of(path, message.getInstanceNode(), "at least " + rule + " entries");
            case "propertyNames" -> new Fault(
                    path,
                    "name \"" + message.getProperty() + "\"",
                    rule.path("description").asText(message.getMessage()));
            default -> Fault.of(path, message.getInstanceNode(), allowed(message, message.getMessage()));
        };
    }

    private Fault unknownName(String path, ValidationMessage message) {
        List<String> allowedNames = new ArrayList<>();
        source.at(pointer(message)).path("properties").fieldNames().forEachRemaining(allowedNames::add);
        Optional<String> suggestion = NameSuggestion.find(message.getProperty(), allowedNames);
        return new Fault(
                path + "." + message.getProperty(),
                "unknown name"
                        + suggestion
                                .map(text -> ", did you mean \"" + text + "\"?")
                                .orElse(""),
                "one of " + String.join(", ", allowedNames));
    }

    private String allowed(ValidationMessage message, String defaultText) {
        return source.at(pointer(message)).path("description").asText(defaultText);
    }

    /** Returns the pointer to the schema object that contains the violated keyword. */
    private static JsonPointer pointer(ValidationMessage message) {
        String fragment = message.getSchemaLocation().getFragment().toString();
        return JsonPointer.compile(fragment.startsWith("/") ? fragment : "/" + fragment)
                .head();
    }

    private static String oneOf(JsonNode values) {
        List<String> texts = new ArrayList<>();
        values.forEach(value -> texts.add(value.toString()));
        return "one of " + String.join(", ", texts);
    }
}
