package org.jackdawslip.platform;

/** An upstream with keys is partitioned from the store, crashes behind the cut and starts again under its id. */
final class RestartCase {

    /** One of seven is a share of 0.143. */
    private static final int UPSTREAMS = 7;

    private static final long CUT_MILLIS = 2_000;
    private static final long CRASH_AFTER_CUT_MILLIS = 300;
    private static final long DOWN_MILLIS = 300;

    private RestartCase() {}

    public static void main(String[] arguments) {
        Trial.run(arguments, RestartCase::run);
    }

    private static int run(Trial trial) throws Exception {
        KeyCheck check = new KeyCheck(trial);
        trial.writeManifest();
        for (int i = 1; i <= UPSTREAMS; i++) {
            Upstream upstream = new Upstream(trial, "s-" + i, "keyed", check.keys, check::onGrant);
            check.upstreams.add(upstream);
            upstream.start(false);
        }
        trial.startGateway("front-1", "a");
        trial.startGateway("front-2", "b");
        check.start();
        // There are no clients in zone a, so the gateway that gives out the keys passes no requests on.
        check.startTraffic(trial.gateways.subList(1, 2), 4, 60, 60);
        check.awaitAllHeld();
        Thread.sleep(4_000);
        if (trial.trouble) {
            Upstream upstream = check.upstreams.get(1);
            trial.report(upstream.id + " is partitioned from the store");
            upstream.reachesStore = false;
            Thread.sleep(CRASH_AFTER_CUT_MILLIS);
            trial.report(upstream.id + " crashes and starts again");
            upstream.crash();
            Thread.sleep(DOWN_MILLIS);
            upstream.restart();
            Thread.sleep(CUT_MILLIS - CRASH_AFTER_CUT_MILLIS - DOWN_MILLIS);
            trial.report("the partition ends");
            upstream.reachesStore = true;
            upstream.writePing();
        } else {
            Thread.sleep(CUT_MILLIS);
        }
        Thread.sleep(8_000);
        return check.result();
    }
}
