package org.jackdawslip.internal.json;

import java.util.List;
import java.util.stream.Collectors;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;

/** Thrown for an invalid JSON document. Contains every fault of the document. Immutable and thread-safe. */
public final class InvalidDocumentException extends JackdawslipException {

    private static final long serialVersionUID = 1L;

    private final transient List<Fault> faults;

    /** Creates an exception whose message has one line for each fault. */
    public InvalidDocumentException(ErrorCode code, String document, List<Fault> faults) {
        super(
                code,
                faults.size() + (faults.size() == 1 ? " fault in the " : " faults in the ") + document + ":"
                        + faults.stream().map(fault -> "\n  " + fault).collect(Collectors.joining()));
        this.faults = List.copyOf(faults);
    }

    /** Returns the faults in the order in which they were found. */
    public List<Fault> faults() {
        return faults;
    }
}
