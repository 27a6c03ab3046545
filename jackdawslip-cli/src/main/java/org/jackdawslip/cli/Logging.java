package org.jackdawslip.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.jackdawslip.internal.logging.LogFormat;

/**
 * Sets the level and format of the log. Must run before the first log call, because tinylog ignores later
 * changes. Thread-safe.
 */
final class Logging {

    private static final Set<String> LEVELS = Set.of("trace", "debug", "info", "warn", "error", "off");
    /** Tinylog can be configured only once per process, and tests run several commands in one process. */
    private static final AtomicBoolean CONFIGURED = new AtomicBoolean();

    private Logging() {}

    /**
     * Applies the level and format of a settings file, which is validated later by the command. Without a
     * file, the level is {@code warn}. Calls after the first one have no effect.
     *
     * @param settingsFile name of the settings file, or null if the command has none
     */
    static void configure(String settingsFile) {
        if (!CONFIGURED.compareAndSet(false, true)) {
            return;
        }
        JsonNode settings = settingsFile == null ? MissingNode.getInstance() : readSettings(settingsFile);
        String level = settings.path("logLevel")
                .asText(settingsFile == null ? "warn" : "info")
                .toLowerCase(Locale.ROOT);
        boolean json = settings.path("logFormat").asText().equals("json");
        org.jackdawslip.internal.logging.Logging.configure(
                json ? LogFormat.JSON : LogFormat.TEXT, LEVELS.contains(level) ? level : "info");
    }

    private static JsonNode readSettings(String settingsFile) {
        try {
            return new ObjectMapper().readTree(Path.of(settingsFile).toFile());
        } catch (IOException e) {
            // The command reports the error when it reads the settings.
            return MissingNode.getInstance();
        }
    }
}
