package org.jackdawslip.internal.balance;

import java.util.ArrayList;
import java.util.List;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.InstanceId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a cold backend server that gets more requests than it bears from all instances together. */
class WarmupPacerTest {

    @Test
    void fewInstancesSendToAColdServer() {
        List<InstanceId> instances = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            instances.add(new InstanceId("front-" + i));
        }
        for (int i = 0; i < 50; i++) {
            BackendServerId server = new BackendServerId("s-" + i);
            long chosen = instances.stream()
                    .filter(self -> WarmupPacer.chosen(server, self, instances))
                    .count();
            assertEquals(WarmupPacer.SENDERS, chosen);
        }
    }

    /** Two senders, and for a moment four, stay within what a server bears. */
    @Test
    void sendsAreSpacedOut() {
        WarmupPacer pacer = new WarmupPacer();
        int sent = 0;
        for (long now = 0; now < 10_000; now += 10) {
            if (pacer.mayAsk(now)) {
                pacer.sent(now, 4.3);
                sent++;
            }
        }
        assertTrue(sent >= 13 && sent <= 15, "sent " + sent);
    }
}
