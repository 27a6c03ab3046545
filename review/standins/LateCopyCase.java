package org.jackdawslip.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A faulty upstream that is being emptied sends a second copy of an earlier answer in front of the answer to a release. */
final class LateCopyCase {

    private static final int UPSTREAMS = 5;
    /** Work that is running when the upstream is emptied; within the requests' time limit of 3 s. */
    private static final long WORK_MILLIS = 1_500;

    private static final int LONG_REQUESTS = 3;
    /** About 2 in 100 of the answers that the upstream gives in the run. */
    private static final int MAX_COPIES = 3;
    private static final long WORK_BEFORE_LEAVING_MILLIS = 300;

    private LateCopyCase() {}

    public static void main(String[] arguments) {
        Trial.run(arguments, LateCopyCase::run);
    }

    private static int run(Trial trial) throws Exception {
        KeyCheck check = new KeyCheck(trial);
        AtomicInteger copies = new AtomicInteger();
        trial.writeManifest();
        for (int i = 1; i <= UPSTREAMS; i++) {
            boolean faulty = i == 2;
            Upstream upstream = new Upstream(trial, "s-" + i, "keyed", check.keys, check::onGrant) {
                @Override
                void beforeReleaseAnswer(Connection connection, boolean busy) throws IOException {
                    byte[] earlier = connection.lastAnswer;
                    if (faulty && trial.trouble && busy && earlier != null && copies.get() < MAX_COPIES) {
                        copies.incrementAndGet();
                        trial.report("a second copy of the last answer on the connection is sent by " + id + ": "
                                + new String(earlier, StandardCharsets.ISO_8859_1)
                                        .replace("\r\n", " | "));
                        connection.write(earlier);
                    }
                }
            };
            check.upstreams.add(upstream);
            upstream.start(false);
        }
        trial.startGateway("front-1", "a");
        trial.startGateway("front-2", "b");
        check.start();
        check.startTraffic(trial.gateways, 4, 60, 60);
        check.awaitAllHeld();
        Thread.sleep(5_000);
        Upstream leaving = check.upstreams.get(1);
        int sent = 0;
        for (int key = 1; key < Upstream.KEYS && sent < LONG_REQUESTS; key += 1_000) {
            if (leaving.life.heldUntil[key] > System.nanoTime()) {
                int busyKey = key;
                int number = sent++;
                new Thread(() -> check.request(trial.gateways.get(1), "long-" + number, busyKey, WORK_MILLIS)).start();
            }
        }
        Thread.sleep(WORK_BEFORE_LEAVING_MILLIS);
        trial.report(leaving.id + " reports that it is draining");
        leaving.state = "draining";
        leaving.writePing();
        Thread.sleep(5_000);
        trial.report("copies sent: " + copies + " of " + leaving.answers + " answers of " + leaving.id);
        return check.result();
    }
}
