package org.jackdawslip.internal.gateway;

import java.io.IOException;

import org.jackdawslip.AccountName;
import org.jackdawslip.BackendServerId;
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
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against fields that are lost or swapped by encoding and decoding. */
class PeerMessagesTest {

    @Test
    void serverKeepsAllFields() throws IOException {
        PeerMessages.ServerState server =
                new PeerMessages.ServerState(new BackendServerId("i-1"), 4, new LoadReport(3, 2, 3, 140), 87);
        assertEquals(server, PeerMessages.decodeServerState(PeerMessages.encode(server)));
    }

    @Test
    void serverWithoutReportHasNone() throws IOException {
        PeerMessages.ServerState server = new PeerMessages.ServerState(new BackendServerId("i-1"), 0, null, 0);
        assertEquals(server, PeerMessages.decodeServerState(PeerMessages.encode(server)));
    }

    @Test
    void keyUseKeepsAllFields() throws IOException {
        PeerMessages.KeyUse use = new PeerMessages.KeyUse(new ServiceName("sheets"), 65_535);
        assertEquals(use, PeerMessages.decodeKeyUse(PeerMessages.encode(use)));
    }

    @Test
    void moveAnnouncementKeepsAllFields() throws IOException {
        KeySegment segment =
                new KeySegment(16, 31, new BackendServerId("i-1"), 1_700_000_000_000L, new FencingToken(9));
        KeyMoveAnnouncement announcement = new KeyMoveAnnouncement(new ServiceName("sheets"), segment, true);
        assertEquals(announcement, PeerMessages.decodeMoveAnnouncement(PeerMessages.encode(announcement)));
    }

    @Test
    void quotaRequestKeepsAllFields() throws IOException {
        QuotaRequest request =
                new QuotaRequest(Long.MAX_VALUE, new AccountName("mossbank"), 71, new Quota(22.5, 40), 3, 12);
        assertEquals(request, PeerMessages.decodeQuotaRequest(PeerMessages.encode(request)));
    }

    @Test
    void quotaReplyKeepsAllFields() throws IOException {
        QuotaReply reply = new QuotaReply(Long.MAX_VALUE, true, 3, 250, 71, new Quota(22.5, 40));
        assertEquals(reply, PeerMessages.decodeQuotaReply(PeerMessages.encode(reply)));
        QuotaReply notOwner = new QuotaReply(5, false, 0, 500, 0, Quota.UNLIMITED);
        assertEquals(notOwner, PeerMessages.decodeQuotaReply(PeerMessages.encode(notOwner)));
    }

    @Test
    void quotaClaimKeepsAllFields() throws IOException {
        QuotaClaim claim = new QuotaClaim(Long.MAX_VALUE, true);
        assertEquals(claim, PeerMessages.decodeQuotaClaim(PeerMessages.encode(claim)));
    }

    /** Later versions may add fields. */
    @Test
    void unknownFieldsOfQuotaMessagesAreSkipped() throws IOException {
        QuotaReply reply = new QuotaReply(5, true, 3, 250, 71, new Quota(22.5, 40));
        byte[] known = PeerMessages.encode(reply);
        byte[] extended = PeerMessages.encode(output -> {
            output.writeRawBytes(known);
            output.writeString(99, "later");
        });
        assertEquals(reply, PeerMessages.decodeQuotaReply(extended));
    }

    @Test
    void invalidBytesAreRejected() {
        assertThrows(JackdawslipException.class, () -> PeerMessages.decodeServerState(new byte[0]));
        assertThrows(JackdawslipException.class, () -> PeerMessages.decodeQuotaRequest(new byte[0]));
        assertThrows(IOException.class, () -> PeerMessages.decodeServerState(new byte[] {10, 100, 1}));
    }
}
