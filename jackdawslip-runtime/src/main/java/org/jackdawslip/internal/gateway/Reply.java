package org.jackdawslip.internal.gateway;

import io.netty.handler.codec.http.HttpHeaders;

/** Takes the one answer to a request. Confined to the event loop. */
interface Reply {

    /** Answers the caller. */
    void answer(int status, HttpHeaders headers, byte[] body);
}
