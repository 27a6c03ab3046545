package org.jackdawslip.internal.logging;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/**
 * Writes one JSON line for each decision: time, level, event, instance, then the named fields.
 *
 * <p>Each event has a budget of lines a second. What exceeds it is counted, and the count is written with the next line
 * of that event. tinylog is not used here because its console writers block on a full pipe. Not thread-safe.
 */
public final class EventLog {

    /** Lines a second for each event. A node that refuses every request would otherwise fill the pipe. */
    private static final int LINES_PER_SECOND = 20;

    private final BoundedLines lines;
    private final String instance;
    private final LongSupplier clock;
    private final Map<String, Budget> budgets = new HashMap<>();

    /** Makes a log for one instance; the clock gives milliseconds of the time of day. */
    public EventLog(BoundedLines lines, String instance, LongSupplier clock) {
        this.lines = lines;
        this.instance = instance;
        this.clock = clock;
    }

    /** Writes an event of normal operation. Fields are names and values in turn. */
    public void info(String event, Object... fields) {
        write("info", event, fields);
    }

    /** Writes an event that an operator may have to act on. Fields are names and values in turn. */
    public void warn(String event, Object... fields) {
        write("warn", event, fields);
    }

    /** Writes that a task failed. The JVM leaves out the stack trace of an exception that is thrown often. */
    public void fault(String task, Throwable problem) {
        StackTraceElement[] trace = problem.getStackTrace();
        warn("internal-fault", "task", task, "problem", problem, "at", trace.length == 0 ? null : trace[0]);
    }

    private void write(String level, String event, Object... fields) {
        long now = clock.getAsLong();
        Budget budget = budgets.computeIfAbsent(event, name -> new Budget());
        if (!budget.take(now / 1_000)) {
            return;
        }
        StringBuilder line = new StringBuilder(200);
        line.append("{\"time\":\"").append(Instant.ofEpochMilli(now)).append('"');
        field(line, "level", level);
        field(line, "event", event);
        field(line, "instance", instance);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            field(line, (String) fields[i], fields[i + 1]);
        }
        if (budget.suppressed > 0) {
            field(line, "suppressed", budget.suppressed);
            budget.suppressed = 0;
        }
        lines.add(line.append('}').toString());
    }

    private static void field(StringBuilder line, String name, Object value) {
        line.append(",\"").append(name).append("\":");
        if (value instanceof Number || value instanceof Boolean) {
            line.append(value);
        } else if (value == null) {
            line.append("null");
        } else {
            line.append('"');
            JsonStringEncoder.getInstance().quoteAsString(value.toString(), line);
            line.append('"');
        }
    }

    /** The lines of one event in the current second. */
    private static final class Budget {
        private long second;
        private int used;
        private long suppressed;

        boolean take(long currentSecond) {
            if (currentSecond != second) {
                second = currentSecond;
                used = 0;
            }
            used++;
            if (used > LINES_PER_SECOND) {
                suppressed++;
                return false;
            }
            return true;
        }
    }
}
