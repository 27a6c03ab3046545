package org.jackdawslip.internal.gateway;

import java.io.IOException;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FencingToken;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.LoadReport;
import org.jackdawslip.internal.keyspace.KeyNotice;
import org.jackdawslip.internal.keyspace.KeySegment;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against fields that are lost or exchanged between instances. */
class PeerMessagesTest {

    @Test
    void serverKeepsAllFields() throws IOException {
        PeerMessages.Server server =
                new PeerMessages.Server(new BackendServerId("i-1"), 4, new LoadReport(3, 2, 3, 140), 87);
        assertEquals(server, PeerMessages.server(PeerMessages.encode(server)));
    }

    @Test
    void serverWithoutReportHasNone() throws IOException {
        PeerMessages.Server server = new PeerMessages.Server(new BackendServerId("i-1"), 0, null, 0);
        assertEquals(server, PeerMessages.server(PeerMessages.encode(server)));
    }

    @Test
    void keyUseKeepsAllFields() throws IOException {
        PeerMessages.KeyUse use = new PeerMessages.KeyUse(new ServiceName("sheets"), 65_535);
        assertEquals(use, PeerMessages.keyUse(PeerMessages.encode(use)));
    }

    @Test
    void noticeKeepsAllFields() throws IOException {
        KeySegment segment =
                new KeySegment(16, 31, new BackendServerId("i-1"), 1_700_000_000_000L, new FencingToken(9));
        KeyNotice notice = new KeyNotice(new ServiceName("sheets"), segment, true);
        assertEquals(notice, PeerMessages.notice(PeerMessages.encode(notice)));
    }

    @Test
    void foreignBytesAreRefused() {
        assertThrows(JackdawslipException.class, () -> PeerMessages.server(new byte[0]));
        assertThrows(IOException.class, () -> PeerMessages.server(new byte[] {10, 100, 1}));
    }
}
