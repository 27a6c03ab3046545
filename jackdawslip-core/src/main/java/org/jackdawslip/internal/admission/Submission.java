package org.jackdawslip.internal.admission;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.RequestId;
import org.jackdawslip.internal.bundle.ServicePolicy.Execution;

/**
 * A request that is submitted to a {@link SenderQueue}. Immutable.
 *
 * @param request the handle, unique among the requests in the queue, with stable {@code equals}
 * @param urgent whether the request is dispatched before normal requests
 * @param execution whether the request may run more than once
 * @param deadlineMillis the monotonic time in milliseconds after which the caller no longer waits
 * @param keyHash the hash of the key, or of the request id in pools; used only if there is an owner
 * @param requestId the id, or null; required for at-most-once requests
 * @param owner the backend server that must run the request, or null for any
 * @param onlyIfFree whether the request is refused if no slot is free, instead of queued; set for hedges from
 *     other senders
 * @param <R> the type of the handle
 */
public record Submission<R>(
        R request,
        boolean urgent,
        Execution execution,
        long deadlineMillis,
        long keyHash,
        RequestId requestId,
        BackendServerId owner,
        boolean onlyIfFree) {

    /**
     * Checks that an at-most-once request has an id and an owner and is no hedge.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_ARGUMENT} if a component is missing or not
     *     allowed
     */
    public Submission {
        if (request == null || execution == null) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_ARGUMENT,
                    "submission needs a request and an execution: request " + request + ", execution " + execution);
        }
        if (execution == Execution.AT_MOST_ONCE && (requestId == null || owner == null || onlyIfFree)) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_ARGUMENT,
                    "at-most-once request needs an id and an owner and must not be a hedge: id " + requestId
                            + ", owner " + owner);
        }
    }

    boolean atMostOnce() {
        return execution == Execution.AT_MOST_ONCE;
    }
}
