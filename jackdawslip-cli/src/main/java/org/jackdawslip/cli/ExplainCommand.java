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
 * Implements the command {@code explain}, which merges the log lines about one request from several instances
 * in order of time and derives the cause of its result.
 *
 * <p>Lines without a JSON object are skipped, as is any text before the object on its line. Not thread-safe.
 */
final class ExplainCommand {

    /** Fields of every log line, which are not printed among the event's own fields. */
    private static final Set<String> COMMON_FIELDS =
            Set.of("time", "level", "event", "instance", "request", "suppressed");

    private final PrintWriter out;
    private final InputStream standardInput;

    ExplainCommand(PrintWriter out, InputStream standardInput) {
        this.out = out;
        this.standardInput = standardInput;
    }

    ExitCode run(Namespace arguments) {
        String id = arguments.getString("id");
        List<String> files = arguments.getList("file");
        List<JsonNode> logLines = new ArrayList<>();
        if (files.isEmpty()) {
            readLog(standardInput, id, logLines);
        }
        files.forEach(file -> readLog(new ByteArrayInputStream(Files.read(file)), id, logLines));
        if (logLines.isEmpty()) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_ARGUMENT,
                    "no log line has request \"" + id + "\"; requests without a failure, retry or delay have none");
        }
        logLines.sort(Comparator.comparing(line -> line.path("time").asText()));
        if (Output.wantsJson(arguments)) {
            Map<String, Object> result = new LinkedHashMap<>();
            result.put("request", id);
            result.put("cause", cause(logLines));
            result.put("lines", logLines);
            Output.printJson(out, result);
        } else {
            printLines(logLines);
        }
        return ExitCode.OK;
    }

    private static void readLog(InputStream input, String id, List<JsonNode> logLines) {
        try (BufferedReader reader = new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                int start = line.indexOf('{');
                if (start >= 0 && line.contains(id)) {
                    addIfOfRequest(line.substring(start), id, logLines);
                }
            }
        } catch (IOException e) {
            throw new JackdawslipException(ErrorCode.INVALID_ARGUMENT, "the log cannot be read: " + e.getMessage(), e);
        }
    }

    private static void addIfOfRequest(String text, String id, List<JsonNode> logLines) {
        try {
            JsonNode line = Output.JSON.readTree(text);
            if (line.path("request").asText().equals(id)) {
                logLines.add(line);
            }
        } catch (JsonProcessingException e) {
            // The input may also contain lines of other programs.
            return;
        }
    }

    private void printLines(List<JsonNode> logLines) {
        for (JsonNode line : logLines) {
            StringBuilder fields = new StringBuilder();
            line.properties().forEach(field -> {
                if (!COMMON_FIELDS.contains(field.getKey()) && !field.getValue().isNull()) {
                    fields.append(' ')
                            .append(field.getKey())
                            .append('=')
                            .append(field.getValue().asText());
                }
            });
            out.println(line.path("time").asText() + " " + line.path("instance").asText() + " "
                    + line.path("event").asText() + fields);
        }
        out.println("cause: " + cause(logLines));
    }

    /**
     * Returns the reason in the last line that reports an end or a retry of the request, or an empty text.
     */
    private static String cause(List<JsonNode> logLines) {
        String cause = "";
        for (JsonNode line : logLines) {
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
                        case "response-cut" -> "the response ended early: "
                                + line.path("cause").asText();
                        case "request-caller-left" -> "the caller left";
                        default -> "";
                    };
            cause = text.isEmpty() ? cause : text;
        }
        return cause;
    }
}
