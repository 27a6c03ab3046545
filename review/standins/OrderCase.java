package org.jackdawslip.platform;

import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** A client sends a further idempotent request, with a long body, before its first request has been answered. */
final class OrderCase {

    private static final int UPSTREAMS = 3;
    private static final int ROUNDS = 5;
    private static final long WORK_MILLIS = 300;
    /** Below max_body_bytes of the manifest, which is 67,108,864. */
    private static final int BODY_BYTES = 9_000_000;

    private OrderCase() {}

    public static void main(String[] arguments) {
        Trial.run(arguments, OrderCase::run);
    }

    private static int run(Trial trial) throws Exception {
        trial.writeManifest();
        Object lock = new Object();
        for (int i = 1; i <= UPSTREAMS; i++) {
            new Upstream(trial, "s-" + i, "pool", lock, (life, from, target, fence) -> {}).start(false);
        }
        Trial.GatewayProcess gateway = trial.startGateway("front-1", "a");
        int foreign = 0;
        int answered = 0;
        for (int round = 1; round <= ROUNDS; round++) {
            String firstId = "first-" + round;
            String furtherId = "further-" + round;
            try (Caller caller = new Caller(gateway.callerPort)) {
                caller.send("GET", "/x/" + WORK_MILLIS, firstId, 3_000, "");
                trial.record("request " + firstId + " is sent");
                Thread sender = new Thread(() -> sendFurther(trial, caller, furtherId));
                if (trial.trouble) {
                    sender.start();
                }
                foreign += checkAnswer(trial, caller, firstId);
                if (!trial.trouble) {
                    sender.start();
                }
                foreign += checkAnswer(trial, caller, furtherId);
                answered++;
            } catch (EOFException e) {
                trial.report("round " + round + ": " + e.getMessage());
            }
        }
        trial.report(foreign + " answers belonged to another request than the one in whose place they came");
        if (answered == 0) {
            throw new IllegalStateException("no request was answered");
        }
        return foreign > 0 ? Trial.BROKEN : Trial.HELD;
    }

    private static void sendFurther(Trial trial, Caller caller, String id) {
        try {
            caller.send("POST", "/x/50", id, 3_000, "", new byte[BODY_BYTES]);
            trial.record("request " + id + " is sent, " + BODY_BYTES + " bytes");
        } catch (IOException e) {
            trial.record("request " + id + " was not sent whole: " + e.getMessage());
        }
    }

    /** Reads the answer that is due for a request; returns 1 if it belongs to another request. */
    private static int checkAnswer(Trial trial, Caller caller, String id) throws IOException {
        Caller.Response response = caller.read();
        String body = new String(response.body, StandardCharsets.ISO_8859_1);
        String responseId = response.headers.get("request-id");
        trial.report("in the place of the answer to " + id + ": status " + response.status + ", Request-Id " + responseId
                + ", Response-Signature " + response.headers.get("response-signature") + ", body \"" + body + "\"");
        return response.status == 200 && !id.equals(responseId) ? 1 : 0;
    }
}
