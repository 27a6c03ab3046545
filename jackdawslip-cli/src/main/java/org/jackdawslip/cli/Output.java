package org.jackdawslip.cli;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import net.sourceforge.argparse4j.inf.Namespace;

/** Formats command results as JSON or as tables. Stateless and thread-safe. */
final class Output {

    static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private Output() {}

    static boolean wantsJson(Namespace arguments) {
        return "json".equals(arguments.getString("output"));
    }

    static byte[] json(Object value) {
        try {
            return (JSON.writeValueAsString(value) + "\n").getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("result cannot be written as JSON", e);
        }
    }

    static void printJson(PrintWriter out, Object value) {
        out.print(new String(json(value), StandardCharsets.UTF_8));
    }

    /**
     * Prints rows of equal length, with each column as wide as its longest cell. The first row is the header.
     */
    static void printTable(PrintWriter out, List<List<String>> rows) {
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < row.size(); column++) {
                int columnIndex = column;
                int width = rows.stream()
                        .mapToInt(cells -> cells.get(columnIndex).length())
                        .max()
                        .orElse(0);
                line.append(String.format("%-" + (width + 2) + "s", row.get(column)));
            }
            out.println(line.toString().stripTrailing());
        }
    }
}
