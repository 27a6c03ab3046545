package org.jackdawslip.internal.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import org.jackdawslip.internal.durable.StoreEra;

/**
 * Encodes and decodes the changes that instances pass on to each other, in protobuf wire format. Stateless and
 * thread-safe.
 */
final class ViewChangesCodec {

    private static final int REVISION = 1;
    private static final int AGE = 2;
    private static final int CHANGE = 3;
    /** Missing in messages of earlier versions, and if the store states no era. */
    private static final int ERA = 4;

    private static final int CHANGE_KEY = 1;
    /** Missing if the record was removed. */
    private static final int CHANGE_VALUE = 2;

    private static final int CHANGE_REVISION = 3;
    /** Takes the place of the value if the value is large. */
    private static final int CHANGE_COMPRESSED_VALUE = 4;

    private ViewChangesCodec() {}

    static byte[] encode(DurableStore.Result result, ValueCompressor compressor) {
        return PeerMessages.encode(output -> {
            output.writeInt64(REVISION, result.revision());
            output.writeInt64(AGE, result.ageMillis());
            if (!result.era().equals(StoreEra.NONE)) {
                output.writeInt64(ERA, result.era().number());
            }
            for (DurableStore.StoreRecord change : result.records()) {
                output.writeByteArray(CHANGE, encode(change, compressor));
            }
        });
    }

    private static byte[] encode(DurableStore.StoreRecord change, ValueCompressor compressor) {
        return PeerMessages.encode(output -> {
            output.writeString(CHANGE_KEY, change.key());
            if (change.value() != null && change.value().length >= ValueCompressor.MIN_BYTES) {
                output.writeByteArray(CHANGE_COMPRESSED_VALUE, compressor.compress(change.value()));
            } else if (change.value() != null) {
                output.writeByteArray(CHANGE_VALUE, change.value());
            }
            output.writeInt64(CHANGE_REVISION, change.revision());
        });
    }

    /**
     * Decodes a result.
     *
     * @throws IOException if the bytes are not a valid message
     */
    static DurableStore.Result decode(byte[] bytes) throws IOException {
        CodedInputStream input = CodedInputStream.newInstance(bytes);
        long revision = 0;
        long ageMillis = 0;
        long era = 0;
        List<DurableStore.StoreRecord> changes = new ArrayList<>();
        for (int tag = input.readTag(); tag != 0; tag = input.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case REVISION -> revision = input.readInt64();
                case AGE -> ageMillis = input.readInt64();
                case ERA -> era = input.readInt64();
                case CHANGE -> changes.add(decodeChange(input.readByteArray()));
                default -> input.skipField(tag);
            }
        }
        if (era < 0) {
            throw new IOException("store era " + era + " is negative");
        }
        return new DurableStore.Result(DurableStore.Status.DONE, changes, revision, 0, 0, ageMillis, new StoreEra(era));
    }

    private static DurableStore.StoreRecord decodeChange(byte[] bytes) throws IOException {
        CodedInputStream input = CodedInputStream.newInstance(bytes);
        String key = "";
        byte[] value = null;
        long revision = 0;
        for (int tag = input.readTag(); tag != 0; tag = input.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case CHANGE_KEY -> key = input.readString();
                case CHANGE_VALUE -> value = input.readByteArray();
                case CHANGE_COMPRESSED_VALUE -> value = ValueCompressor.decompress(input.readByteArray());
                case CHANGE_REVISION -> revision = input.readInt64();
                default -> input.skipField(tag);
            }
        }
        return new DurableStore.StoreRecord(key, value, revision);
    }
}
