package org.jackdawslip.internal.gateway;

import io.netty.handler.codec.http.HttpHeaders;

/** Writes the response to one request. Confined to the event loop. */
interface ResponseWriter {

    /** The content length of a response whose length is not known before its end. */
    long UNKNOWN_LENGTH = -1;

    /** Sends a whole response to the caller; the only one, or the one after an abandoned response. */
    void write(int status, HttpHeaders headers, byte[] body);

    /** Returns whether a response of this length can be written in parts. */
    boolean canWriteParts(long contentLength);

    /**
     * Starts a response whose body is written in parts.
     *
     * @param contentLength length of the body in bytes, or {@link #UNKNOWN_LENGTH}
     * @param onWritable runs each time the caller accepts more parts again
     */
    ResponseBodyWriter start(int status, HttpHeaders headers, long contentLength, Runnable onWritable);
}
