package org.jackdawslip.cli;

import org.jackdawslip.ErrorCode;

/** The exit codes of all commands. Scripts depend on the numbers. */
enum ExitCode {
    OK(0, "success"),
    FAILURE(1, "failure, such as an address in use or no bundle"),
    BAD_INPUT(2, "bad usage or input"),
    CONFLICT(3, "conflict: another operator was first, or the version is not the next one"),
    UNREACHABLE(4, "the store or an instance did not respond, or the response to a write was lost");

    private final int number;
    private final String meaning;

    ExitCode(int number, String meaning) {
        this.number = number;
        this.meaning = meaning;
    }

    int number() {
        return number;
    }

    /** Returns the exit code for an error. */
    static ExitCode of(ErrorCode code) {
        return switch (code) {
            case INVALID_ARGUMENT,
                    INVALID_SETTINGS,
                    INVALID_BUNDLE,
                    INVALID_REQUEST_ID,
                    INVALID_REQUEST,
                    UNKNOWN_SERVICE,
                    KEY_TOO_LARGE -> BAD_INPUT;
            case BUNDLE_CONFLICT -> CONFLICT;
            case STORE_UNAVAILABLE, PEER_UNAVAILABLE, OUTCOME_UNKNOWN -> UNREACHABLE;
            default -> FAILURE;
        };
    }

    /** Returns the epilog of each help page. */
    static String help() {
        StringBuilder text = new StringBuilder("Exit codes:");
        for (ExitCode code : values()) {
            text.append(code == OK ? " " : "; ").append(code.number).append(' ').append(code.meaning);
        }
        return text.append('.').toString();
    }
}
