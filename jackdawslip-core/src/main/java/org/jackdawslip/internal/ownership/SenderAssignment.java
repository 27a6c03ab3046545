package org.jackdawslip.internal.ownership;

import java.util.Optional;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FencingToken;
import org.jackdawslip.InstanceId;

/**
 * The sender of a backend server that does not check tokens. Immutable and thread-safe.
 *
 * @param backendServer the backend server
 * @param sender the instance that may send; empty while the right to send is moving
 * @param token the sender token; {@link FencingToken#NONE} while the right to send is moving
 */
public record SenderAssignment(BackendServerId backendServer, Optional<InstanceId> sender, FencingToken token) {}
