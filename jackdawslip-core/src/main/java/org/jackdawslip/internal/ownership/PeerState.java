package org.jackdawslip.internal.ownership;

import java.util.List;
import java.util.Map;

import org.jackdawslip.InstanceId;

/** The state that a peer reported in its newest heartbeat. Not thread-safe; confined to its member. */
final class PeerState {

    long startId;
    private long sentAt;
    TableVersion tableVersion = TableVersion.NONE;
    List<SenderSummary> senders = List.of();
    /**
     * When the first heartbeat with the report that the peer is leaving arrived, in milliseconds of the own
     * monotonic clock.
     */
    long leavingSince = Long.MAX_VALUE;
    /** The epoch of the newest coordinator record that the peer has; 0 if it has none. */
    long recordEpoch;

    Map<InstanceId, Long> permitAges = Map.of();

    void update(long now, Heartbeat heartbeat) {
        // A newer heartbeat arrived first. Acknowledged versions and permit ages must not decrease.
        if (heartbeat.startId() == startId && heartbeat.sentAtMillis() < sentAt) {
            return;
        }
        sentAt = heartbeat.sentAtMillis();
        startId = heartbeat.startId();
        tableVersion = heartbeat.tableVersion();
        senders = heartbeat.senders();
        permitAges = heartbeat.permitAges();
        recordEpoch = heartbeat.coordinator().map(CoordinatorRecord::epoch).orElse(0L);
        if (!heartbeat.leaving()) {
            leavingSince = Long.MAX_VALUE;
        } else if (leavingSince == Long.MAX_VALUE) {
            leavingSince = now;
        }
    }

    boolean leaving() {
        return leavingSince != Long.MAX_VALUE;
    }
}
