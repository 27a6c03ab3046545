package org.jackdawslip.internal.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import org.jackdawslip.internal.balance.LoadReport;
import org.jackdawslip.internal.keyspace.KeySegment;

/**
 * Translates between the gateway and the formats of the platform on which it runs. Implementations make no
 * decisions; they are stateless and thread-safe.
 */
public interface PlatformAdapter {

    /** Returns the names of the HTTP headers of the platform. */
    HeaderNames headers();

    /** Returns whether a GET of this URI only reads the store, in its state when the call arrives. */
    boolean isStoreRead(String uri);

    /** Returns whether the record with this store key is the configuration. */
    boolean isConfiguration(String key);

    /** Decodes a record of the store, or the removal of a record. */
    PlatformEvent decode(DurableStore.StoreRecord storeRecord);

    /** Returns the prefix of all keys that the gateway watches. */
    String watchedPrefix();

    /** Returns the store key of a record of this router with the given name. */
    String routerRecordKey(String name);

    /** Returns the name of the record of this router with the given store key. */
    String routerRecordName(String key);

    /**
     * Decodes the load report in the headers of a response; returns null if there is none or it is not valid.
     */
    LoadReport decodeLoadReport(HttpHeaders headers);

    /**
     * Encodes the call that grants a segment to its owner.
     *
     * @param holdMillis the term of the grant
     * @param handover the state that the previous owner handed over, or null
     */
    OwnershipCall encodeGrantCall(KeySegment segment, long holdMillis, String handover);

    /** Encodes the call that requests the owner of a segment to release it. */
    OwnershipCall encodeReleaseCall(KeySegment segment);

    /**
     * An ownership call to a backend server. Immutable and thread-safe.
     *
     * @param uri the path
     * @param body the JSON body
     */
    record OwnershipCall(String uri, String body) {}
}
