package org.jackdawslip.internal.admission;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.ErrorCode;

/**
 * An action of the {@link SenderQueue} that the runtime must carry out. The decisions of one call are carried
 * out in list order.
 *
 * @param <R> the handle of a request
 */
public sealed interface Decision<R> {

    /**
     * Send the request to the backend server and report the end of the attempt exactly once.
     *
     * @param request the request
     * @param attempt the id of the attempt, for the report
     * @param server the backend server
     * @param deadlineMillis the deadline of the request, in monotonic milliseconds
     */
    record Dispatch<R>(R request, long attempt, BackendServerId server, long deadlineMillis) implements Decision<R> {}

    /**
     * Send the caller an error response. {@link ErrorCode#outcome()} states whether the request may have run.
     *
     * @param request the request, which the queue has removed
     * @param code the error
     */
    record Refuse<R>(R request, ErrorCode code) implements Decision<R> {}

    /**
     * Cancel an attempt. The attempt occupies a slot until its end, which must still be reported.
     *
     * @param attempt the id of the attempt
     * @param server the backend server of the attempt
     */
    record Cancel<R>(long attempt, BackendServerId server) implements Decision<R> {}

    /**
     * Send the caller the response that the attempt received.
     *
     * @param request the request, which the queue has removed
     * @param attempt the id of the attempt whose response is complete
     */
    record Complete<R>(R request, long attempt) implements Decision<R> {}

    /**
     * Send the caller of a repeated request the recorded response.
     *
     * @param request the request, which the queue has removed
     * @param status the recorded HTTP status
     * @param body the recorded body, or null if it was too large to be recorded
     */
    record CompleteRecorded<R>(R request, int status, byte[] body) implements Decision<R> {}

    /**
     * Relay a copy of the request to another sender of the pool whose summary reports a free slot, if there
     * is one, with {@link Submission#onlyIfFree()} set. If the copy gets its response first, call
     * {@link SenderQueue#cancelCompletedElsewhere}.
     *
     * @param request the request, whose local attempt continues
     * @param exclude the backend server of the local attempt
     */
    record HedgeElsewhere<R>(R request, BackendServerId exclude) implements Decision<R> {}
}
