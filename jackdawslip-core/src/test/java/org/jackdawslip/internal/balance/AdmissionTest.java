package org.jackdawslip.internal.balance;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.ServiceName;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against queues in which every response is late, and against less urgent requests that fill the queues so that more urgent ones are refused.
 */
class AdmissionTest {

    private static final ServiceName SERVICE = new ServiceName("sheets");
    private static final RequestClass LESS_URGENT = new RequestClass(SERVICE, 2, 1_200, 2_000);
    private static final RequestClass URGENT = new RequestClass(SERVICE, 1, 400, 1_200);
    private static final double USUAL_MILLIS = 100;
    private static final int SLOTS = 2;

    private final Admission admission = new Admission();
    private final BackendTracker server = new BackendTracker(
            new Backend(
                    new BackendServerId("s1"), 0, SERVICE, "127.0.0.1", 1, new FailureDomainId("a"), SLOTS, false, 0),
            0);

    private long limit(long remainingMillis) {
        return admission.responseTimeLimitMillis("sheets", LESS_URGENT, remainingMillis, 0);
    }

    private AdmissionDecision.Reason decide(RequestClass requestClass, long now) {
        return admission
                .decide(requestClass, server, USUAL_MILLIS, requestClass.targetLatencyMillis(), now)
                .reason();
    }

    private void setRequestsAtServer(int count) {
        while (server.inFlight() < count) {
            server.recordChosen();
        }
        while (server.inFlight() > count) {
            server.recordAbandoned();
        }
    }

    @Test
    void firstAttemptIsLimitedToTheTargetLatency() {
        assertEquals(1_200, limit(3_000));
        assertEquals(1_200, limit(2_990));
    }

    @Test
    void retryIsLimitedToTheTimeout() {
        limit(3_000);
        assertEquals(2_000, limit(2_700));
        assertEquals(900, limit(900));
    }

    @Test
    void retriesOfAClassWithMostOfTheRequestsWaitLittleLongerThanItsTargetLatency() {
        decide(URGENT, 0);
        for (int i = 0; i < 9; i++) {
            decide(LESS_URGENT, 0);
        }
        limit(3_000);
        assertEquals(1_208, limit(2_700), "a tenth of the requests are of other classes");
        assertEquals(900, limit(900));
    }

    @Test
    void requestsOfOnePriorityFillTheQueueUpToTheirTargetLatency() {
        RequestClass otherTarget = new RequestClass(SERVICE, LESS_URGENT.priority(), 300, 900);
        setRequestsAtServer(10);
        assertEquals(AdmissionDecision.Reason.TOO_LATE, decide(otherTarget, 0));
        assertEquals(AdmissionDecision.Reason.ADMITTED, decide(LESS_URGENT, 0));
        setRequestsAtServer(30);
        assertEquals(AdmissionDecision.Reason.TOO_LATE, decide(LESS_URGENT, 0));
    }

    @Test
    void queueIsKeptShortForMoreUrgentRequestsWithRecentDemand() {
        for (int i = 0; i < 20; i++) {
            decide(URGENT, 0);
            decide(LESS_URGENT, 0);
        }
        setRequestsAtServer(6);
        assertEquals(AdmissionDecision.Reason.ROOM_FOR_URGENT, decide(LESS_URGENT, 0));
        assertEquals(AdmissionDecision.Reason.ADMITTED, decide(URGENT, 0));
        assertEquals(AdmissionDecision.Reason.ADMITTED, decide(LESS_URGENT, 60_000), "no recent demand");
    }

    @Test
    void serverWithAFreeSlotRefusesNoClass() {
        for (int i = 0; i < 20; i++) {
            decide(URGENT, 0);
        }
        setRequestsAtServer(SLOTS - 1);
        for (int i = 0; i < 20; i++) {
            assertEquals(AdmissionDecision.Reason.ADMITTED, decide(LESS_URGENT, 0));
        }
    }

    @Test
    void classKeepsItsMinimumWhileTheQueueLeavesNoRoom() {
        setRequestsAtServer(6);
        int admitted = 0;
        for (int i = 0; i < 1_000; i++) {
            decide(URGENT, 10L * i);
            AdmissionDecision.Reason reason = decide(LESS_URGENT, 10L * i);
            admitted += reason == AdmissionDecision.Reason.ADMITTED_MINIMUM ? 1 : 0;
        }
        assertTrue(admitted > 400 && admitted < 500, "admitted " + admitted + ": 0.6 of a mean share of 0.7 to 0.8");
    }
}
