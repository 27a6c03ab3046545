package org.jackdawslip.internal.ownership;

import org.jackdawslip.InstanceId;

/**
 * The reply to one heartbeat. Immutable and thread-safe.
 *
 * @param from the instance that replies
 * @param sentAtMillis the sending time of the heartbeat, by the clock of the receiver of this reply
 * @param permit whether the receiver gets a permit
 * @param permitCoversMove whether the permit is also valid for services with the policy {@code move}
 * @param permitVersion the table version for which the permit is valid
 * @param promise whether the replying successor promises not to take over, or the replying witness not to
 *     consent to a takeover, while the promise is valid
 * @param consent whether the replying witness consents to a takeover by the receiving successor
 * @param promiseEpoch the epoch of the promise or consent
 * @param tableVersion the version of the table that the replying instance uses
 * @param bundleVersion the version of the bundle in force at the replying instance
 */
public record HeartbeatReply(
        InstanceId from,
        long sentAtMillis,
        boolean permit,
        boolean permitCoversMove,
        TableVersion permitVersion,
        boolean promise,
        boolean consent,
        long promiseEpoch,
        TableVersion tableVersion,
        long bundleVersion) {}
