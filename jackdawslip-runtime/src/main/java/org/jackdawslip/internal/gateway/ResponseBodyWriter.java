package org.jackdawslip.internal.gateway;

import io.netty.buffer.ByteBuf;

/**
 * Writes the body of one response to the caller in parts. A response that ends early is visible to the caller as
 * incomplete. Confined to the event loop.
 */
interface ResponseBodyWriter {

    /** Returns whether the caller reads fast enough for another part. */
    boolean isWritable();

    /** Writes a part and takes ownership of its reference. */
    void write(ByteBuf part);

    /** Completes the response. */
    void end();

    /**
     * Abandons the response.
     *
     * @return whether nothing was sent to the caller yet, so that another response may be written instead; if not,
     *     the connection of the caller is closed
     */
    boolean abandon();
}
