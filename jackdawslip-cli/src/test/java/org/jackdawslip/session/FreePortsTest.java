package org.jackdawslip.session;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

class FreePortsTest {

    private static final Path OUTGOING = Path.of("/proc/sys/net/ipv4/ip_local_port_range");

    /** The first port of outgoing connections where the system does not say otherwise. */
    private static final int USUAL_FIRST_OUTGOING = 32_768;

    /** An instance could not bind its peer address, because an outgoing connection had got the port meanwhile. */
    @Test
    void portsAreNotThoseOfOutgoingConnections() throws IOException {
        int first = firstOutgoing();
        for (int i = 0; i < 100; i++) {
            int port = FreePorts.next();
            assertTrue(port < first, "port " + port + " is not below " + first);
        }
    }

    private static int firstOutgoing() throws IOException {
        if (!Files.isReadable(OUTGOING)) {
            return USUAL_FIRST_OUTGOING;
        }
        // The system hands this file out in one read only.
        try (BufferedReader reader = Files.newBufferedReader(OUTGOING)) {
            return Integer.parseInt(reader.readLine().split("\\s+")[0]);
        }
    }
}
