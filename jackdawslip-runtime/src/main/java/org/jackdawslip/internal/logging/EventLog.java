package org.jackdawslip.internal.logging;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/**
 * Log of events as JSON lines with time, level, event, instance and the named fields of the event.
 *
 * <p>The number of lines per second is limited for each event name. Further lines are suppressed and counted,
 * and the count is written in the field {@code suppressed} of the next line of that event. tinylog is not
 * used here because its console writers block on a full pipe. Not thread-safe.
 */
public final class EventLog {

    /** Without this limit, an instance that refuses every request would fill the pipe. */
    private static final int MAX_LINES_PER_SECOND_AND_EVENT = 20;

    private final AsyncLineWriter lines;
    private final String instance;
    private final LongSupplier clock;
    private final Map<String, LineBudget> budgets = new HashMap<>();

    /** Creates the log of one instance. The clock returns wall-clock milliseconds since the epoch. */
    public EventLog(AsyncLineWriter lines, String instance, LongSupplier clock) {
        this.lines = lines;
        this.instance = instance;
        this.clock = clock;
    }

    /** Writes an event of normal operation. The fields are alternating names and values. */
    public void info(String event, Object... fields) {
        write("info", event, fields);
    }

    /** Writes an event that an operator may have to act on. The fields are alternating names and values. */
    public void warn(String event, Object... fields) {
        write("warn", event, fields);
    }

    /**
     * Writes a warning that a task failed, with the innermost stack frame of the exception. The frame is null
     * if the JVM omits the stack trace, as HotSpot does for some exceptions that are thrown often.
     */
    public void warnTaskFailure(String task, Throwable failure) {
        StackTraceElement[] trace = failure.getStackTrace();
        warn("internal-fault", "task", task, "problem", failure, "at", trace.length == 0 ? null : trace[0]);
    }

    private void write(String level, String event, Object... fields) {
        long now = clock.getAsLong();
        LineBudget budget = budgets.computeIfAbsent(event, name -> new LineBudget());
        if (!budget.tryAcquire(now / 1_000)) {
            return;
        }
        StringBuilder line = new StringBuilder(200);
        line.append("{\"time\":\"").append(Instant.ofEpochMilli(now)).append('"');
        appendField(line, "level", level);
        appendField(line, "event", event);
        appendField(line, "instance", instance);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            appendField(line, (String) fields[i], fields[i + 1]);
        }
        if (budget.suppressed > 0) {
            appendField(line, "suppressed", budget.suppressed);
            budget.suppressed = 0;
        }
        lines.add(line.append('}').toString());
    }

    private static void appendField(StringBuilder line, String name, Object value) {
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

    /** Counts the lines of one event in the current second. */
    private static final class LineBudget {
        private long second;
        private int used;
        private long suppressed;

        boolean tryAcquire(long currentSecond) {
            if (currentSecond != second) {
                second = currentSecond;
                used = 0;
            }
            used++;
            if (used > MAX_LINES_PER_SECOND_AND_EVENT) {
                suppressed++;
                return false;
            }
            return true;
        }
    }
}
