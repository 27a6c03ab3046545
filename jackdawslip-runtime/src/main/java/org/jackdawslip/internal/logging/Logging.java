package org.jackdawslip.internal.logging;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.tinylog.configuration.Configuration;

/**
 * Configures tinylog to write to standard error, because instances have no disk. Standard output is reserved
 * for the output of commands.
 *
 * <p>{@link #configure} must be called once, before the first log entry of the process. Thread-safe.
 */
public final class Logging {

    private static final Set<String> LEVELS = Set.of("trace", "debug", "info", "warn", "error", "off");

    private Logging() {}

    /**
     * Sets the format and the minimum level of the entries that are written.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_SETTINGS} if there is no such level, or with
     *     {@link ErrorCode#INTERNAL} if an entry was written before
     */
    public static void configure(LogFormat format, String level) {
        if (level == null || !LEVELS.contains(level.toLowerCase(Locale.ROOT))) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_SETTINGS,
                    "log level \"" + level + "\" is not one of trace, debug, info, warn, error, off");
        }
        Map<String, String> properties = new HashMap<>();
        properties.put("level", level.toLowerCase(Locale.ROOT));
        // The JSON schema validator logs every validation step at debug level.
        properties.put("level@com.networknt", "warn");
        properties.put("writer", format.writerName());
        properties.put("writer.stream", "err");
        properties.put(
                "writer.format", "{date: yyyy-MM-dd'T'HH:mm:ss.SSSXXX} {level} [{thread}] {class-name}: {message}");
        // Entries are rare, so a writer thread would save no time, and it could lose the last entries before
        // an exit.
        properties.put("writingthread", "false");
        try {
            Configuration.replace(properties);
        } catch (UnsupportedOperationException e) {
            throw new JackdawslipException(
                    ErrorCode.INTERNAL, "a log entry was written before logging was configured", e);
        }
    }
}
