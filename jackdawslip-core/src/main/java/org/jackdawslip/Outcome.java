package org.jackdawslip;

/** Whether a request without a response from a backend server may have run. */
public enum Outcome {
    /** The request did not run and will not run. */
    NOT_RUN("not-run"),
    /** The request may have run. */
    UNKNOWN("unknown");

    private final String text;

    Outcome(String text) {
        this.text = text;
    }

    /** Returns the text form that responses to callers contain. */
    public String text() {
        return text;
    }
}
