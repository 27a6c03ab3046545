package org.jackdawslip.internal.logging;

/** The format of log entries. */
public enum LogFormat {
    /** One line of text for each entry, followed by the stack trace if there is one. */
    TEXT("console"),
    /** One JSON object on one line for each entry. */
    JSON("json console");

    private final String writerName;

    LogFormat(String writerName) {
        this.writerName = writerName;
    }

    /** Returns the name under which tinylog registers the writer of this format. */
    String writerName() {
        return writerName;
    }
}
