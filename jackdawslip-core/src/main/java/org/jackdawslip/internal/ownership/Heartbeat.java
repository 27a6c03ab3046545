package org.jackdawslip.internal.ownership;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.jackdawslip.InstanceId;

/**
 * The message that a member sends periodically to each other member. Immutable and thread-safe.
 *
 * @param from the instance that sends the heartbeat
 * @param startId identifies the incarnation: it differs between two processes of the same instance
 * @param bundleVersion the version of the bundle in force
 * @param tableVersion the version of the table in use, which the heartbeat acknowledges
 * @param senders the state of each backend server for which the instance is the sender
 * @param leaving whether the instance is stopping
 * @param sentAtMillis the sending time by the monotonic clock of the sender, echoed in the reply
 * @param permitAges for a successor: the milliseconds since it last issued a permit to each member; all later
 *     permits are for the acknowledged table or a newer one
 * @param coordinator the newest coordinator record that the instance has
 * @param asksConsent whether the instance, as the successor of that record, asks the witness for consent to
 *     take over
 */
public record Heartbeat(
        InstanceId from,
        long startId,
        long bundleVersion,
        TableVersion tableVersion,
        List<SenderSummary> senders,
        boolean leaving,
        long sentAtMillis,
        Map<InstanceId, Long> permitAges,
        Optional<CoordinatorRecord> coordinator,
        boolean asksConsent) {

    /** Makes defensive copies. */
    public Heartbeat {
        senders = List.copyOf(senders);
        permitAges = Map.copyOf(permitAges);
    }
}
