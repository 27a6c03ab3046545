package org.jackdawslip.internal.entry;

import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.ownership.AssignmentTable;
import org.jackdawslip.internal.ownership.Heartbeat;
import org.jackdawslip.internal.ownership.HeartbeatReply;
import org.jackdawslip.protocol.BackendLoad;
import org.jackdawslip.protocol.Envelope;
import org.jackdawslip.protocol.InstanceAddress;
import org.jackdawslip.protocol.TableUpdate;

/**
 * Encodes and decodes peer messages with the codec of the router, for measurements. The class is in the
 * package of the codec because the codec is package-private, and measurements with a copy of the codec would
 * differ from the router after a change of either. Stateless and thread-safe.
 */
public final class WireFormat {

    private static final int LENGTH_BYTES = 4;

    private WireFormat() {}

    /** Encodes a heartbeat as the runtime sends it, with one load entry for each sender summary. */
    public static byte[] heartbeat(Heartbeat heartbeat) {
        var message =
                OwnershipCodec.toMessage(heartbeat, address(heartbeat.from().value())).toBuilder();
        heartbeat
                .senders()
                .forEach(summary -> message.addLoads(BackendLoad.newBuilder()
                        .setBackendServer(summary.backendServer().value())
                        .setSlots(3)
                        .setFreeSlots(summary.freeSlots())
                        .setQueueLength(summary.queueLength())
                        .setMedianMicros(10_000)));
        return Envelope.newBuilder().setHeartbeat(message).build().toByteArray();
    }

    /** Decodes the frame of a heartbeat. */
    public static Heartbeat heartbeat(byte[] frame) {
        return OwnershipCodec.fromMessage(parse(frame).getHeartbeat());
    }

    /** Encodes the reply to a heartbeat. */
    public static byte[] heartbeatReply(HeartbeatReply reply) {
        return Envelope.newBuilder()
                .setHeartbeatAnswer(
                        OwnershipCodec.toMessage(reply, address(reply.from().value())))
                .build()
                .toByteArray();
    }

    /** Decodes the frame of a reply to a heartbeat. */
    public static HeartbeatReply heartbeatReply(byte[] frame) {
        return OwnershipCodec.fromMessage(parse(frame).getHeartbeatAnswer());
    }

    /** Encodes an assignment table as sent by the given instance. */
    public static byte[] table(AssignmentTable table, String from) {
        TableUpdate message = OwnershipCodec.toMessage(table, new InstanceId(from));
        return Envelope.newBuilder().setTableUpdate(message).build().toByteArray();
    }

    /** Decodes the frame of an assignment table. */
    public static AssignmentTable table(byte[] frame) {
        return OwnershipCodec.fromMessage(parse(frame).getTableUpdate());
    }

    /** Returns the number of bytes that a frame occupies in the stream, with its length prefix. */
    public static long framedLengthBytes(byte[] frame) {
        return frame.length + LENGTH_BYTES;
    }

    private static InstanceAddress address(String instance) {
        return InstanceAddress.newBuilder()
                .setInstance(instance)
                .setFailureDomain("ch-mitte-a")
                .setHost("10.10.10.10")
                .setPeerPort(7000)
                .setStartId(Long.MAX_VALUE)
                .build();
    }

    private static Envelope parse(byte[] frame) {
        try {
            return Envelope.parseFrom(frame);
        } catch (com.google.protobuf.InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("frame of " + frame.length + " bytes is not a valid envelope", e);
        }
    }
}
