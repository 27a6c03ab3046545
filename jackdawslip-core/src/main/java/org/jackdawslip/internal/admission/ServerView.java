package org.jackdawslip.internal.admission;

import org.jackdawslip.BackendServerId;

/**
 * The state of a backend server as observed by its sender, for heartbeats and status. Immutable.
 *
 * @param id the backend server
 * @param accepting whether the server gets new requests
 * @param limit the number of slots that the slow start allows at present
 * @param inFlight the number of attempts that occupy a slot
 * @param straggler whether the server is a straggler, which gets only probes
 * @param medianMicros the median latency of the last 20 successful responses in microseconds, or -1 if there
 *     are fewer
 * @param startId the start id in the last response, which identifies the incarnation of the server, or null
 */
public record ServerView(
        BackendServerId id,
        boolean accepting,
        int limit,
        int inFlight,
        boolean straggler,
        long medianMicros,
        String startId) {

    /** Returns the number of slots that new requests can use. A straggler gets one probe at a time. */
    public int usableSlots() {
        if (!accepting) {
            return 0;
        }
        return straggler ? 1 : limit;
    }

    /** Returns the number of usable slots that are free. */
    public int freeSlots() {
        return Math.max(0, usableSlots() - inFlight);
    }
}
