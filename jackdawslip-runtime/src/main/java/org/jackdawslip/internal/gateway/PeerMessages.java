package org.jackdawslip.internal.gateway;

import java.io.IOException;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import org.jackdawslip.AccountName;
import org.jackdawslip.BackendServerId;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.FencingToken;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.account.Quota;
import org.jackdawslip.internal.balance.LoadReport;
import org.jackdawslip.internal.keyspace.KeyMoveAnnouncement;
import org.jackdawslip.internal.keyspace.KeySegment;
import org.jackdawslip.internal.quota.QuotaClaim;
import org.jackdawslip.internal.quota.QuotaReply;
import org.jackdawslip.internal.quota.QuotaRequest;

/**
 * Encodes and decodes parts of datagrams between instances in protobuf wire format. Stateless and
 * thread-safe.
 */
final class PeerMessages {

    private static final int MOVE_SERVICE = 1;
    private static final int MOVE_FIRST_SLOT = 2;
    private static final int MOVE_LAST_SLOT = 3;
    private static final int MOVE_OWNER = 4;
    private static final int MOVE_OWNER_STARTED = 5;
    private static final int MOVE_TOKEN = 6;
    private static final int MOVE_GRANTED = 7;
    private static final int SERVER_ID = 1;
    private static final int SERVER_IN_FLIGHT = 2;
    private static final int SERVER_RUNNING = 3;
    private static final int SERVER_WAITING = 4;
    private static final int SERVER_SLOTS = 5;
    private static final int SERVER_SLOWDOWN_PERCENT = 6;
    private static final int SERVER_SERVICE_TIME_PERCENT = 7;
    private static final int LEAVING_ID = 1;
    private static final int LEAVING_STARTED = 2;
    private static final int QUOTA_NUMBER = 1;
    private static final int QUOTA_ACCOUNT = 2;
    private static final int QUOTA_VERSION = 3;
    private static final int QUOTA_RATE = 4;
    private static final int QUOTA_BURST = 5;
    private static final int QUOTA_NEEDED = 6;
    private static final int QUOTA_EXTRA = 7;
    private static final int QUOTA_OWNER = 6;
    private static final int QUOTA_GRANTED = 7;
    private static final int QUOTA_RETRY_MILLIS = 8;
    private static final int CLAIM_NUMBER = 1;
    private static final int CLAIM_COMMIT = 2;
    private static final int KEY_SERVICE = 1;
    private static final int KEY_SLOT = 2;

    private PeerMessages() {}

    /**
     * The state of one backend server as an instance observes it. Immutable and thread-safe.
     *
     * @param id the backend server
     * @param inFlight requests that the instance has in flight at the backend server
     * @param report the load report of the backend server, or null
     * @param serviceTimePercent relative service time of the last request in percent, or 0 if there is none
     */
    record ServerState(BackendServerId id, int inFlight, LoadReport report, int serviceTimePercent) {}

    /**
     * An incarnation of a backend server that stated that it is shutting down. Immutable and thread-safe.
     *
     * @param id the backend server
     * @param startedAtMillis start of the incarnation in milliseconds since the epoch
     */
    record LeavingServer(BackendServerId id, long startedAtMillis) {}

    /**
     * A request for a key. Immutable and thread-safe.
     *
     * @param service the service
     * @param slot the key slot
     */
    record KeyUse(ServiceName service, int slot) {}

    /** Writes the fields of a message. */
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
            throw new JackdawslipException(ErrorCode.INTERNAL, "cannot encode a peer message", e);
        }
        return bytes.toByteString().toByteArray();
    }

    static byte[] encode(ServerState server) {
        return encode(output -> {
            output.writeString(SERVER_ID, server.id().value());
            output.writeInt32(SERVER_IN_FLIGHT, server.inFlight());
            LoadReport report = server.report();
            if (report != null) {
                output.writeInt32(SERVER_RUNNING, report.running());
                output.writeInt32(SERVER_WAITING, report.waiting());
                output.writeInt32(SERVER_SLOTS, report.slots());
                output.writeInt32(SERVER_SLOWDOWN_PERCENT, report.slowdownPercent());
            }
            if (server.serviceTimePercent() > 0) {
                output.writeInt32(SERVER_SERVICE_TIME_PERCENT, server.serviceTimePercent());
            }
        });
    }

    static ServerState decodeServerState(byte[] bytes) throws IOException {
        CodedInputStream input = CodedInputStream.newInstance(bytes);
        String id = "";
        int[] numbers = new int[SERVER_SERVICE_TIME_PERCENT + 1];
        for (int tag = input.readTag(); tag != 0; tag = input.readTag()) {
            int field = WireFormat.getTagFieldNumber(tag);
            if (field == SERVER_ID) {
                id = input.readString();
            } else if (field <= SERVER_SERVICE_TIME_PERCENT) {
                numbers[field] = input.readInt32();
            } else {
                input.skipField(tag);
            }
        }
        LoadReport report = numbers[SERVER_SLOTS] == 0
                ? null
                : new LoadReport(
                        numbers[SERVER_RUNNING],
                        numbers[SERVER_WAITING],
                        numbers[SERVER_SLOTS],
                        numbers[SERVER_SLOWDOWN_PERCENT]);
        return new ServerState(
                new BackendServerId(id), numbers[SERVER_IN_FLIGHT], report, numbers[SERVER_SERVICE_TIME_PERCENT]);
    }

    static byte[] encode(LeavingServer leaving) {
        return encode(output -> {
            output.writeString(LEAVING_ID, leaving.id().value());
            output.writeInt64(LEAVING_STARTED, leaving.startedAtMillis());
        });
    }

    static LeavingServer decodeLeavingServer(byte[] bytes) throws IOException {
        CodedInputStream input = CodedInputStream.newInstance(bytes);
        String id = "";
        long startedAtMillis = 0;
        for (int tag = input.readTag(); tag != 0; tag = input.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case LEAVING_ID -> id = input.readString();
                case LEAVING_STARTED -> startedAtMillis = input.readInt64();
                default -> input.skipField(tag);
            }
        }
        return new LeavingServer(new BackendServerId(id), startedAtMillis);
    }

    static byte[] encode(KeyUse use) {
        return encode(output -> {
            output.writeString(KEY_SERVICE, use.service().value());
            output.writeInt32(KEY_SLOT, use.slot());
        });
    }

    static KeyUse decodeKeyUse(byte[] bytes) throws IOException {
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

    static byte[] encode(KeyMoveAnnouncement announcement) {
        KeySegment segment = announcement.segment();
        return encode(output -> {
            output.writeString(MOVE_SERVICE, announcement.service().value());
            output.writeInt32(MOVE_FIRST_SLOT, segment.first());
            output.writeInt32(MOVE_LAST_SLOT, segment.last());
            output.writeString(MOVE_OWNER, segment.owner().value());
            output.writeInt64(MOVE_OWNER_STARTED, segment.ownerStartedAtMillis());
            output.writeInt64(MOVE_TOKEN, segment.token().value());
            output.writeBool(MOVE_GRANTED, announcement.granted());
        });
    }

    static KeyMoveAnnouncement decodeMoveAnnouncement(byte[] bytes) throws IOException {
        CodedInputStream input = CodedInputStream.newInstance(bytes);
        String service = "";
        String owner = "";
        long[] numbers = new long[MOVE_GRANTED + 1];
        for (int tag = input.readTag(); tag != 0; tag = input.readTag()) {
            int field = WireFormat.getTagFieldNumber(tag);
            switch (field) {
                case MOVE_SERVICE -> service = input.readString();
                case MOVE_OWNER -> owner = input.readString();
                case MOVE_FIRST_SLOT, MOVE_LAST_SLOT, MOVE_OWNER_STARTED, MOVE_TOKEN, MOVE_GRANTED -> numbers[field] =
                        input.readInt64();
                default -> input.skipField(tag);
            }
        }
        KeySegment segment = new KeySegment(
                (int) numbers[MOVE_FIRST_SLOT],
                (int) numbers[MOVE_LAST_SLOT],
                new BackendServerId(owner),
                numbers[MOVE_OWNER_STARTED],
                new FencingToken(numbers[MOVE_TOKEN]));
        return new KeyMoveAnnouncement(new ServiceName(service), segment, numbers[MOVE_GRANTED] != 0);
    }

    static byte[] encode(QuotaRequest request) {
        return encode(output -> {
            output.writeInt64(QUOTA_NUMBER, request.number());
            output.writeString(QUOTA_ACCOUNT, request.account().value());
            output.writeInt64(QUOTA_VERSION, request.configVersion());
            output.writeDouble(QUOTA_RATE, request.quota().requestsPerSecond());
            output.writeDouble(QUOTA_BURST, request.quota().burst());
            output.writeInt32(QUOTA_NEEDED, request.needed());
            output.writeInt32(QUOTA_EXTRA, request.extra());
        });
    }

    static QuotaRequest decodeQuotaRequest(byte[] bytes) throws IOException {
        CodedInputStream input = CodedInputStream.newInstance(bytes);
        String account = "";
        double rate = 0;
        double burst = 0;
        long[] numbers = new long[QUOTA_EXTRA + 1];
        for (int tag = input.readTag(); tag != 0; tag = input.readTag()) {
            int field = WireFormat.getTagFieldNumber(tag);
            switch (field) {
                case QUOTA_ACCOUNT -> account = input.readString();
                case QUOTA_RATE -> rate = input.readDouble();
                case QUOTA_BURST -> burst = input.readDouble();
                case QUOTA_NUMBER, QUOTA_VERSION, QUOTA_NEEDED, QUOTA_EXTRA -> numbers[field] = input.readInt64();
                default -> input.skipField(tag);
            }
        }
        return new QuotaRequest(
                numbers[QUOTA_NUMBER],
                new AccountName(account),
                numbers[QUOTA_VERSION],
                new Quota(rate, burst),
                (int) numbers[QUOTA_NEEDED],
                (int) numbers[QUOTA_EXTRA]);
    }

    static byte[] encode(QuotaReply reply) {
        return encode(output -> {
            output.writeInt64(QUOTA_NUMBER, reply.number());
            output.writeInt64(QUOTA_VERSION, reply.configVersion());
            output.writeDouble(QUOTA_RATE, reply.quota().requestsPerSecond());
            output.writeDouble(QUOTA_BURST, reply.quota().burst());
            output.writeBool(QUOTA_OWNER, reply.owner());
            output.writeInt32(QUOTA_GRANTED, reply.granted());
            output.writeInt64(QUOTA_RETRY_MILLIS, reply.retryMillis());
        });
    }

    static QuotaReply decodeQuotaReply(byte[] bytes) throws IOException {
        CodedInputStream input = CodedInputStream.newInstance(bytes);
        double rate = 0;
        double burst = 0;
        long[] numbers = new long[QUOTA_RETRY_MILLIS + 1];
        for (int tag = input.readTag(); tag != 0; tag = input.readTag()) {
            int field = WireFormat.getTagFieldNumber(tag);
            switch (field) {
                case QUOTA_RATE -> rate = input.readDouble();
                case QUOTA_BURST -> burst = input.readDouble();
                case QUOTA_NUMBER, QUOTA_VERSION, QUOTA_OWNER, QUOTA_GRANTED, QUOTA_RETRY_MILLIS -> numbers[field] =
                        input.readInt64();
                default -> input.skipField(tag);
            }
        }
        return new QuotaReply(
                numbers[QUOTA_NUMBER],
                numbers[QUOTA_OWNER] != 0,
                (int) numbers[QUOTA_GRANTED],
                numbers[QUOTA_RETRY_MILLIS],
                numbers[QUOTA_VERSION],
                new Quota(rate, burst));
    }

    static byte[] encode(QuotaClaim claim) {
        return encode(output -> {
            output.writeInt64(CLAIM_NUMBER, claim.number());
            output.writeBool(CLAIM_COMMIT, claim.commit());
        });
    }

    static QuotaClaim decodeQuotaClaim(byte[] bytes) throws IOException {
        CodedInputStream input = CodedInputStream.newInstance(bytes);
        long number = 0;
        boolean commit = false;
        for (int tag = input.readTag(); tag != 0; tag = input.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case CLAIM_NUMBER -> number = input.readInt64();
                case CLAIM_COMMIT -> commit = input.readBool();
                default -> input.skipField(tag);
            }
        }
        return new QuotaClaim(number, commit);
    }
}
