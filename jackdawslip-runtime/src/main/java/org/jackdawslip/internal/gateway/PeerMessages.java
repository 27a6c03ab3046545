package org.jackdawslip.internal.gateway;

import java.io.IOException;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import org.jackdawslip.BackendServerId;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.FencingToken;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.LoadReport;
import org.jackdawslip.internal.keyspace.KeyNotice;
import org.jackdawslip.internal.keyspace.KeySegment;

/** The parts of datagrams between instances, in the protobuf wire format. Stateless and thread-safe. */
final class PeerMessages {

    private static final int NOTICE_SERVICE = 1;
    private static final int NOTICE_FIRST = 2;
    private static final int NOTICE_LAST = 3;
    private static final int NOTICE_OWNER = 4;
    private static final int NOTICE_STARTED = 5;
    private static final int NOTICE_TOKEN = 6;
    private static final int NOTICE_GRANTED = 7;
    private static final int SERVER_ID = 1;
    private static final int SERVER_IN_FLIGHT = 2;
    private static final int SERVER_RUNNING = 3;
    private static final int SERVER_WAITING = 4;
    private static final int SERVER_SLOTS = 5;
    private static final int SERVER_PACE = 6;
    private static final int SERVER_SPEED = 7;
    private static final int KEY_SERVICE = 1;
    private static final int KEY_SLOT = 2;

    private PeerMessages() {}

    /**
     * What an instance says of one backend server. Immutable and thread-safe.
     *
     * @param id the server
     * @param inFlight requests that the instance has in flight there
     * @param report what the server reported, or null
     * @param speedPercent relative service time of the last request, or 0 if there is none
     */
    record Server(BackendServerId id, int inFlight, LoadReport report, int speedPercent) {}

    /**
     * A request for a key. Immutable and thread-safe.
     *
     * @param service the service
     * @param slot the key slot
     */
    record KeyUse(ServiceName service, int slot) {}

    /** Writes fields of a message. */
    interface Content {
        void write(CodedOutputStream output) throws IOException;
    }

    static byte[] encode(Content content) {
        ByteString.Output bytes = ByteString.newOutput(128);
        CodedOutputStream output = CodedOutputStream.newInstance(bytes);
        try {
            content.write(output);
            output.flush();
        } catch (IOException e) {
            throw new JackdawslipException(ErrorCode.INTERNAL, "encoding in memory failed", e);
        }
        return bytes.toByteString().toByteArray();
    }

    static byte[] encode(Server server) {
        return encode(output -> {
            output.writeString(SERVER_ID, server.id().value());
            output.writeInt32(SERVER_IN_FLIGHT, server.inFlight());
            LoadReport report = server.report();
            if (report != null) {
                output.writeInt32(SERVER_RUNNING, report.running());
                output.writeInt32(SERVER_WAITING, report.waiting());
                output.writeInt32(SERVER_SLOTS, report.slots());
                output.writeInt32(SERVER_PACE, report.pacePercent());
            }
            if (server.speedPercent() > 0) {
                output.writeInt32(SERVER_SPEED, server.speedPercent());
            }
        });
    }

    static Server server(byte[] bytes) throws IOException {
        CodedInputStream input = CodedInputStream.newInstance(bytes);
        String id = "";
        int[] numbers = new int[SERVER_SPEED + 1];
        for (int tag = input.readTag(); tag != 0; tag = input.readTag()) {
            int field = WireFormat.getTagFieldNumber(tag);
            if (field == SERVER_ID) {
                id = input.readString();
            } else if (field <= SERVER_SPEED) {
                numbers[field] = input.readInt32();
            } else {
                input.skipField(tag);
            }
        }
        LoadReport report = numbers[SERVER_SLOTS] == 0
                ? null
                : new LoadReport(
                        numbers[SERVER_RUNNING], numbers[SERVER_WAITING], numbers[SERVER_SLOTS], numbers[SERVER_PACE]);
        return new Server(new BackendServerId(id), numbers[SERVER_IN_FLIGHT], report, numbers[SERVER_SPEED]);
    }

    static byte[] encode(KeyUse use) {
        return encode(output -> {
            output.writeString(KEY_SERVICE, use.service().value());
            output.writeInt32(KEY_SLOT, use.slot());
        });
    }

    static KeyUse keyUse(byte[] bytes) throws IOException {
        CodedInputStream input = CodedInputStream.newInstance(bytes);
        String service = "";
        int slot = 0;
        for (int tag = input.readTag(); tag != 0; tag = input.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case KEY_SERVICE -> service = input.readString();
                case KEY_SLOT -> slot = input.readInt32();
                default -> input.skipField(tag);
            }
        }
        return new KeyUse(new ServiceName(service), Math.floorMod(slot, KeySegment.SLOTS));
    }

    static byte[] encode(KeyNotice notice) {
        KeySegment segment = notice.segment();
        return encode(output -> {
            output.writeString(NOTICE_SERVICE, notice.service().value());
            output.writeInt32(NOTICE_FIRST, segment.first());
            output.writeInt32(NOTICE_LAST, segment.last());
            output.writeString(NOTICE_OWNER, segment.owner().value());
            output.writeInt64(NOTICE_STARTED, segment.ownerStartedAtMillis());
            output.writeInt64(NOTICE_TOKEN, segment.token().value());
            output.writeBool(NOTICE_GRANTED, notice.granted());
        });
    }

    static KeyNotice notice(byte[] bytes) throws IOException {
        CodedInputStream input = CodedInputStream.newInstance(bytes);
        String service = "";
        String owner = "";
        long[] numbers = new long[NOTICE_GRANTED + 1];
        for (int tag = input.readTag(); tag != 0; tag = input.readTag()) {
            int field = WireFormat.getTagFieldNumber(tag);
            switch (field) {
                case NOTICE_SERVICE -> service = input.readString();
                case NOTICE_OWNER -> owner = input.readString();
                case NOTICE_FIRST, NOTICE_LAST, NOTICE_STARTED, NOTICE_TOKEN, NOTICE_GRANTED -> numbers[field] =
                        input.readInt64();
                default -> input.skipField(tag);
            }
        }
        KeySegment segment = new KeySegment(
                (int) numbers[NOTICE_FIRST],
                (int) numbers[NOTICE_LAST],
                new BackendServerId(owner),
                numbers[NOTICE_STARTED],
                new FencingToken(numbers[NOTICE_TOKEN]));
        return new KeyNotice(new ServiceName(service), segment, numbers[NOTICE_GRANTED] != 0);
    }
}
