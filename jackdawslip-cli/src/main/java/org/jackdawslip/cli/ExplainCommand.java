package org.jackdawslip.cli;

import java.io.BufferedReader;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import net.sourceforge.argparse4j.inf.Namespace;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;

/**
 * Tells the story of one request from the logs of several instances, in order of time.
 *
 * <p>Lines that are not JSON objects are passed over, and so is what stands before an object on its line. Not
 * thread-safe.
 */
final class ExplainCommand {

    private static final Set<String> HEADER = Set.of("time", "level", "event", "instance", "request", "suppressed");

    private final PrintWriter out;
    private final InputStream standardInput;

    ExplainCommand(PrintWriter out, InputStream standardInput) {
        this.out = out;
        this.standardInput = standardInput;
    }

    ExitCode run(Namespace arguments) {
        String id = arguments.getString("id");
        List<String> files = arguments.getList("file");
        List<JsonNode> story = new ArrayList<>();
        if (files.isEmpty()) {
            read(standardInput, id, story);
        }
        files.forEach(file -> read(new ByteArrayInputStream(Files.read(file)), id, story));
        if (story.isEmpty()) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_ARGUMENT,
                    "no line of the logs names request \"" + id + "\"; requests that were served as usual have none");
        }
        story.sort(Comparator.comparing(line -> line.path("time").asText()));
        if (Output.wantsJson(arguments)) {
            Map<String, Object> result = new LinkedHashMap<>();
            result.put("request", id);
            result.put("cause", cause(story));
            result.put("lines", story);
            Output.printJson(out, result);
        } else {
            print(story);
        }
        return ExitCode.OK;
    }

    private static void read(InputStream input, String id, List<JsonNode> story) {
        try (BufferedReader reader = new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                int start = line.indexOf('{');
                if (start >= 0 && line.contains(id)) {
                    add(line.substring(start), id, story);
                }
            }
        } catch (IOException e) {
            throw new JackdawslipException(ErrorCode.INVALID_ARGUMENT, "the log cannot be read: " + e.getMessage(), e);
        }
    }

    private static void add(String text, String id, List<JsonNode> story) {
        try {
            JsonNode line = Output.JSON.readTree(text);
            if (line.path("request").asText().equals(id)) {
                story.add(line);
            }
        } catch (JsonProcessingException e) {
            // Lines of other programs may stand between those of the instances.
            return;
        }
    }

    private void print(List<JsonNode> story) {
        for (JsonNode line : story) {
            StringBuilder fields = new StringBuilder();
            line.properties().forEach(field -> {
                if (!HEADER.contains(field.getKey()) && !field.getValue().isNull()) {
                    fields.append(' ')
                            .append(field.getKey())
                            .append('=')
                            .append(field.getValue().asText());
                }
            });
            out.println(line.path("time").asText() + " " + line.path("instance").asText() + " "
                    + line.path("event").asText() + fields);
        }
        out.println("cause: " + cause(story));
    }

    /** Returns what the last line that ended the request, or sent it again, gives as its reason. */
    private static String cause(List<JsonNode> story) {
        String cause = "";
        for (JsonNode line : story) {
            String text =
                    switch (line.path("event").asText()) {
                        case "request-failed" -> line.path("code").asText() + " ("
                                + line.path("outcome").asText() + "): "
                                + line.path("reason").asText();
                        case "request-late" -> "late by "
                                + line.path("lateMillis").asText() + " ms at backend server "
                                + line.path("backend").asText();
                        case "request-sent-again" -> "sent again: "
                                + line.path("cause").asText();
                        case "request-caller-left" -> "the caller left";
                        default -> "";
                    };
            cause = text.isEmpty() ? cause : text;
        }
        return cause;
    }
}
