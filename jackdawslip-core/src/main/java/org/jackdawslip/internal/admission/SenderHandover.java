package org.jackdawslip.internal.admission;

import java.util.List;

import org.jackdawslip.BackendServerId;

/**
 * The state of one backend server that its previous sender transfers to the next one. Immutable.
 *
 * @param server the backend server
 * @param limit the slot limit that its slow start has reached
 * @param startId the start id in its last response, which identifies the incarnation of the server, or null
 * @param registry the request registry, exported after the previous sender stopped dispatching
 * @param decisions the refusals (not run) of requests that waited for this backend server; the previous
 *     sender carries them out
 * @param <R> the handle of a request
 */
public record SenderHandover<R>(
        BackendServerId server, int limit, String startId, RegistrySnapshot registry, List<Decision<R>> decisions) {

    /** Copies the list. */
    public SenderHandover {
        decisions = List.copyOf(decisions);
    }
}
