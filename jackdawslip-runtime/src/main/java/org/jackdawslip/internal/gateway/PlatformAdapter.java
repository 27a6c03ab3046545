package org.jackdawslip.internal.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import org.jackdawslip.internal.balance.LoadReport;
import org.jackdawslip.internal.keyspace.KeySegment;

/**
 * The formats of the platform that the gateway runs on. Implementations translate and decide nothing; they are
 * stateless and thread-safe.
 */
public interface PlatformAdapter {

    /** Returns the names of headers. */
    HeaderNames headers();

    /** Returns whether a GET of this path and query only reads the store, as it is when the call arrives. */
    boolean readsStore(String uri);

    /** Decodes a record of the store, or its removal. */
    PlatformEvent decode(DurableStore.Item item);

    /** Returns the prefix of all keys that the gateway watches. */
    String watchedPrefix();

    /** Returns the key under which this project keeps a record of its own. */
    String ownKey(String name);

    /** Returns the name of a record of this project. */
    String ownName(String key);

    /** Decodes the load header of an answer; null if there is none or it is not valid. */
    LoadReport load(HttpHeaders headers);

    /** Encodes the order to grant a segment to its owner. */
    ControlCall grant(KeySegment segment, long holdMillis, String handover);

    /** Encodes the order that the owner of a segment gives it up. */
    ControlCall release(KeySegment segment);

    /**
     * A call to the control interface of a backend server. Immutable and thread-safe.
     *
     * @param uri the path
     * @param body the JSON body
     */
    record ControlCall(String uri, String body) {}
}
