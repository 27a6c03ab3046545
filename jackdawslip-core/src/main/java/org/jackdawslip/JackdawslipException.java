package org.jackdawslip;

/** The base class of all exceptions of the product. Has an {@link ErrorCode}. Immutable and thread-safe. */
public class JackdawslipException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    /** Creates an exception with a message that contains the invalid value. */
    public JackdawslipException(ErrorCode code, String message) {
        super(message);
        this.code = code;
    }

    /** Creates an exception that wraps one from a lower layer. */
    public JackdawslipException(ErrorCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /** Returns the code of the error. */
    public ErrorCode code() {
        return code;
    }
}
