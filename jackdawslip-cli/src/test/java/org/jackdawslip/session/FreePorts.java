package org.jackdawslip.session;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds ports that are bound later, below those that the system gives to outgoing connections, which could take them
 * meanwhile. Stateless and thread-safe.
 */
public final class FreePorts {

    private static final int FIRST_PORT = 20_000;
    private static final int PORTS = 12_000;

    private FreePorts() {}

    /** Returns a port that is free at the moment. */
    public static int next() throws IOException {
        while (true) {
            int port = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORTS);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // It is taken; try another.
                continue;
            }
        }
    }
}
