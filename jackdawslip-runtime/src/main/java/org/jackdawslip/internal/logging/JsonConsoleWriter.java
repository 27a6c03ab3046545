package org.jackdawslip.internal.logging;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Collection;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * tinylog writer that writes each log entry to standard error as one JSON object on one line.
 *
 * <p>The JSON writer of tinylog itself writes only to files, and instances have no disk. tinylog loads this
 * class as a service under the name {@code json console}. Thread-safe.
 */
public final class JsonConsoleWriter implements Writer {

    private final ObjectMapper mapper = new ObjectMapper();
    private final PrintStream out = System.err;

    /** Called by tinylog; properties are ignored. */
    public JsonConsoleWriter(Map<String, String> properties) {}

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(
                LogEntryValue.DATE,
                LogEntryValue.LEVEL,
                LogEntryValue.THREAD,
                LogEntryValue.CLASS,
                LogEntryValue.MESSAGE,
                LogEntryValue.EXCEPTION);
    }

    @Override
    public void write(LogEntry entry) throws JsonProcessingException {
        out.println(toJsonLine(entry));
    }

    String toJsonLine(LogEntry entry) throws JsonProcessingException {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("time", entry.getTimestamp().toInstant().toString());
        fields.put("level", entry.getLevel().name().toLowerCase(Locale.ROOT));
        fields.put("thread", entry.getThread() == null ? "" : entry.getThread().getName());
        fields.put("class", entry.getClassName());
        fields.put("message", entry.getMessage());
        if (entry.getException() != null) {
            StringWriter trace = new StringWriter();
            entry.getException().printStackTrace(new PrintWriter(trace));
            fields.put("exception", trace.toString());
        }
        return mapper.writeValueAsString(fields);
    }

    @Override
    public void flush() {
        out.flush();
    }

    @Override
    public void close() {
        out.flush();
    }
}
